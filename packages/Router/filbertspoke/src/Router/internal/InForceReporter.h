#ifndef FILBERTSPOKE_INTERNAL_IN_FORCE_REPORTER_H
#define FILBERTSPOKE_INTERNAL_IN_FORCE_REPORTER_H

#include <filbertspoke/Configuration>
#include <filbertspoke/Core>

#include <cstddef>
#include <optional>
#include <vector>

namespace filbertspoke::internal {

/** \brief Collects the times at which revisions came into force here, and reports them in batches.
 *
 * Each daemon delays its report by one second per known daemon, so that all daemons together append about
 * one report per second regardless of their number.
 */
class InForceReporter {
public:
    /** \brief Records that a revision came into force at this daemon at \a now. */
    void take(LogOffset revision, const Now& now);

    void setDaemons(std::size_t count) { this->daemons = count; }

    /** \returns the revisions of a report that is due, or none; appended() or failed() must follow a report */
    std::vector<RevisionInForce> takeDue(TimePoint);

    void appended() { this->inFlight.clear(); }
    /** \brief Returns the revisions of the failed report to the next one; reporting a revision twice is harmless. */
    void failed(TimePoint);

    std::optional<TimePoint> nextWake() const { return this->dueAt; }

private:
    void schedule(TimePoint);

    std::size_t daemons = 1;
    std::vector<RevisionInForce> pending;
    std::vector<RevisionInForce> inFlight;
    std::optional<TimePoint> dueAt;
};

}

#endif
