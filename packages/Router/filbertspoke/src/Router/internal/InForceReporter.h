#ifndef FILBERTSPOKE_INTERNAL_IN_FORCE_REPORTER_H
#define FILBERTSPOKE_INTERNAL_IN_FORCE_REPORTER_H

#include <filbertspoke/Configuration>
#include <filbertspoke/Core>

#include <cstddef>
#include <optional>
#include <vector>

namespace filbertspoke::internal {

/** \brief Gathers when this daemon took revisions into force, and reports several in one record.
 *
 * All daemons together append about one report a second, however many they are: each waits a second for
 * every daemon that is known.
 */
class InForceReporter {
public:
    /** \brief Takes note that a revision is in force here from \a now on. */
    void take(LogOffset revision, const Now& now);

    void setDaemons(std::size_t count) { this->daemons = count; }

    /** \returns the revisions of a report that is due; appended() or failed() follows */
    std::vector<RevisionInForce> takeDue(TimePoint);

    void appended() { this->sent.clear(); }
    /** \brief Keeps the revisions of the last report for the next one; reported twice does no harm. */
    void failed(TimePoint);

    std::optional<TimePoint> nextWake() const { return this->dueAt; }

private:
    void plan(TimePoint);

    std::size_t daemons = 1;
    std::vector<RevisionInForce> waiting;
    std::vector<RevisionInForce> sent;
    std::optional<TimePoint> dueAt;
};

}

#endif
