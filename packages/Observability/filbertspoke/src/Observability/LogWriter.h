#ifndef FILBERTSPOKE_LOG_WRITER_H
#define FILBERTSPOKE_LOG_WRITER_H

#include <filbertspoke/Router>

#include <ostream>
#include <string>

namespace filbertspoke {

/** \brief Writes the log: one JSON object a line, with time, level, event and the event's fields.
 *
 * There is one log a process, since the library keeps one core.
 */
class LogWriter {
public:
    /** \brief Directs the log to \a stream, which outlives the process's last line.
     * \param leastLevel "debug", "info", "warning" or "error"
     * \param daemon stands in every line
     */
    static void open(std::ostream& stream, const std::string& leastLevel, const DaemonId& daemon);

    /** \brief As above, to a file descriptor whose reader may fall behind or stop: lines are dropped then, and a line
     * `log-lines-dropped` tells how many. */
    static void open(int descriptor, const std::string& leastLevel, const DaemonId& daemon);

    static void write(const WriteLog&);
};

}

#endif
