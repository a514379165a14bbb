#ifndef FILBERTSPOKE_REPORT_LOG_FOLD_H
#define FILBERTSPOKE_REPORT_LOG_FOLD_H

#include "CallerReturns.h"
#include "LogLine.h"
#include "PlacementEvent.h"
#include "SecondRow.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace filbertspoke::report {

/** \brief Folds the log lines of many gateways into a Report.
 *
 * The lines of one gateway come in their order; those of different gateways in any order. Memory grows with the number of requests,
 * by some 60 bytes each, not with the lines.
 */
class LogFold {
public:
    /** \brief Takes a line of a log. */
    void add(std::string_view text);

    /** \brief Computes the table.
     * \param start second zero, in us by the clock of the lines; nothing for the earliest line, or for zero where lines have offsets */
    Report finish(std::optional<std::int64_t> start = std::nullopt) const;

private:
    using SecondKey = std::pair<std::int64_t, std::string>; ///< whole seconds by the clock of the lines, and the service

    struct TimedEvent {
        std::int64_t instant = 0; ///< in us
        PlacementEvent event;
    };

    void addLine(const LogLine&);
    void addRequestLine(const LogLine&);
    void addEnded(const LogLine&);
    void addGivenUp(const LogLine&);
    void addFailed(const LogLine&);
    void startRun(const LogLine&);
    void endRun(const LogLine&);
    void addRun(std::int64_t instant, const std::string& service, std::int64_t change);
    void endRunsOf(const std::string& daemon, std::int64_t instant);
    SecondCounts& counts(std::int64_t instant, std::string_view service);
    std::uint32_t serviceIndex(std::string_view service);

    void foldReturns(std::map<SecondKey, SecondRow>&) const;
    void foldPlacement(std::map<SecondKey, SecondRow>&, std::vector<CopiesRow>&) const;
    void foldRunning(std::map<SecondKey, SecondRow>&) const;

    LineCounts lines;
    bool hasOffsets = false;
    std::optional<std::int64_t> earliest; ///< in us
    std::map<SecondKey, SecondCounts> bySecond;
    std::map<SecondKey, std::int64_t> runsStarted; ///< less the runs that ended
    std::unordered_map<std::string, std::map<std::string, std::string>> runs; ///< by daemon: the services of requests in progress
    std::unordered_set<std::string> takenOver; ///< daemon and request
    std::vector<TimedEvent> placement;
    CallerReturns returns;
    std::vector<std::string> services; ///< by index
};

}

#endif
