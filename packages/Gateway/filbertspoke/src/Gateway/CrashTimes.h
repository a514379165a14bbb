#ifndef FILBERTSPOKE_CRASH_TIMES_H
#define FILBERTSPOKE_CRASH_TIMES_H

#include "EndpointRegistry.h"

#include <filbertspoke/Core>

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace filbertspoke {

/** \brief Between which times an endpoint crashed. */
struct CrashInterval {
    TimePoint earliest;
    TimePoint latest;

    auto operator<=>(const CrashInterval&) const = default;
};

/** \brief When endpoints crashed, and which of them crashed together, whichever requests they had.
 *
 * Load pattern: three or four engines crash within a fraction of a second for a common cause, each under sound requests of several accounts. Each account's
 * common prompt part was at several of the engines, though none of its requests was.
 */
class CrashTimes {
public:
    /** \brief Records the crash of a run, as one of the requests at the endpoint shows it.
     * \param sentAt when the request was sent; \a at if the time of the crash is unknown. Then the crash counts as that of the latest such request */
    void note(const EndpointRun&, TimePoint at, TimePoint sentAt);

    /** \returns when the run crashed, or nothing if it is not known to have crashed */
    std::optional<CrashInterval> when(const EndpointRun&) const;
    /** \returns whether a request that was sent at the time was too late to be at the endpoint when it crashed */
    bool isAfterCrash(const EndpointRun&, TimePoint sentAt) const;
    /** \returns whether two crashes belong to a series of three or more within 300 ms */
    bool areTogether(TimePoint first, TimePoint second) const;
    /** \returns the runs that crashed within 300 ms before or after the time */
    std::vector<EndpointRun> around(TimePoint) const;
    /** \brief Erases the crashes that are older than all evidence of them. */
    void forget(TimePoint now);

private:
    struct Crash {
        TimePoint at;
        bool exact = false; ///< whether a connection broke at the time
    };

    void erase(std::map<EndpointRun, Crash>::iterator);

    std::map<EndpointRun, Crash> crashes;
    std::set<std::pair<TimePoint, EndpointRun>> byTime;
};

}

#endif
