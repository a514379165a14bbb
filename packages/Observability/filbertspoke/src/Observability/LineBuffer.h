#ifndef FILBERTSPOKE_LINE_BUFFER_H
#define FILBERTSPOKE_LINE_BUFFER_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <streambuf>
#include <string>

namespace filbertspoke {

/** \brief Stream buffer that writes lines to a file descriptor without blocking.
 *
 * Lines that cannot be written yet are queued up to a limit. Further lines are dropped as a whole and counted; once the queue has become
 * empty, a notice with their number precedes the next line.
 */
class LineBuffer : public std::streambuf {
public:
    /** \brief Formats the notice about dropped lines.
     * \param lines number of lines dropped since the last notice
     * \returns the notice with a newline at its end */
    using DropNotice = std::function<std::string(std::uint64_t lines)>;

    /** \param descriptor not owned; must stay open for the lifetime of the buffer
     * \param maxPendingBytes limit for the queued lines, in bytes */
    LineBuffer(int descriptor, std::size_t maxPendingBytes, DropNotice);

protected:
    int_type overflow(int_type) override;
    std::streamsize xsputn(const char*, std::streamsize) override;
    /** \brief Queues the characters put since the last call as one line, and writes as much of the queue as possible.
     * \returns 0, also if the line was dropped */
    int sync() override;

private:
    /** \brief Writes pending lines until the descriptor would block. */
    void writePending();

    int descriptor;
    std::size_t maxPendingBytes;
    DropNotice makeDropNotice;
    std::string line; ///< characters put since the last sync()
    std::string pending; ///< complete lines that are not written yet
    std::uint64_t droppedLines = 0; ///< lines dropped since the last notice
};

}

#endif
