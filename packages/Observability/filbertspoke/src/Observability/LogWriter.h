#ifndef FILBERTSPOKE_LOG_WRITER_H
#define FILBERTSPOKE_LOG_WRITER_H

#include <filbertspoke/Router>

#include <ostream>
#include <string>

namespace filbertspoke {

/** \brief Writes the log as one JSON object per line, with the time, level, daemon, event and fields of the event.
 *
 * A process has one log, since Boost.Log has one core per process.
 */
class LogWriter {
public:
    /** \brief Sends the log to \a stream, which must stay valid until the last line is written.
     * \param minimumLevel "debug", "info", "warning" or "error"; lines of a lower level are discarded
     * \param daemon id that is part of every line
     */
    static void open(std::ostream& stream, const std::string& minimumLevel, const DaemonId& daemon);

    /** \brief Sends the log to a file descriptor, which must stay open until the last line is written.
     *
     * Writing does not block. If the reader is too slow or stops reading, lines are dropped; the event `log-lines-dropped` states their
     * number. */
    static void open(int descriptor, const std::string& minimumLevel, const DaemonId& daemon);

    /** \brief Writes one line to the log. */
    static void write(const WriteLog&);
};

}

#endif
