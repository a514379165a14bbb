#ifndef FILBERTSPOKE_LINE_BUFFER_H
#define FILBERTSPOKE_LINE_BUFFER_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <streambuf>
#include <string>

namespace filbertspoke {

/** \brief Writes lines to a file descriptor and never waits for its reader.
 *
 * Lines that the reader does not take yet are kept up to a limit; further ones are dropped whole and counted.
 */
class LineBuffer : public std::streambuf {
public:
    /** \returns a line that says how many lines were dropped */
    using DropNote = std::function<std::string(std::uint64_t lines)>;

    /** \param descriptor stays open as long as this lives
     * \param keptBytes of lines that wait for the reader */
    LineBuffer(int descriptor, std::size_t keptBytes, DropNote);

protected:
    int_type overflow(int_type) override;
    std::streamsize xsputn(const char*, std::streamsize) override;
    /** \brief Takes what was put since the last call as one line. */
    int sync() override;

private:
    void writeKept();

    int descriptor;
    std::size_t keptBytes;
    DropNote dropNote;
    std::string line; ///< in progress
    std::string kept; ///< whole lines that wait for the reader
    std::uint64_t dropped = 0; ///< lines since the last note
};

}

#endif
