#ifndef FILBERTSPOKE_KEY_COVERAGE_H
#define FILBERTSPOKE_KEY_COVERAGE_H

#include "CallerKey.h"

#include <filbertspoke/Core>

#include <algorithm>
#include <optional>

namespace filbertspoke {

/** \brief Which keys a reader of the log may judge: those of which it can't have missed a record.
 *
 * A record that the log dropped unread was written before any record that the log still keeps,
 * and a claim is written at most the tolerance before its key's time by another clock. So only
 * keys made well after the oldest record that was read are covered. It rests on the times in
 * the keys and records, not on the reader's own clock.
 */
class KeyCoverage {
public:
    explicit KeyCoverage(Duration clockTolerance)
        : tolerance(clockTolerance)
    {
    }

    /** \brief Records written before \a time were dropped unread. */
    void missedBefore(WallTime time) { this->raise(time + 2 * this->tolerance); }
    /** \brief The reader has forgotten the keys made before \a time. */
    void forgotBefore(WallTime time) { this->raise(time); }

    bool covers(const CallerKey& key) const { return !this->since || key.time() > *this->since; }

private:
    void raise(WallTime time) { this->since = std::max(this->since.value_or(time), time); }

    Duration tolerance;
    std::optional<WallTime> since;
};

}

#endif
