#ifndef FILBERTSPOKE_KEY_COVERAGE_H
#define FILBERTSPOKE_KEY_COVERAGE_H

#include "CallerKey.h"
#include "KeyRecord.h"

#include <filbertspoke/Core>

#include <algorithm>
#include <optional>

namespace filbertspoke {

/** \brief Which keys a reader of the log may judge: those of which it can't have missed a record.
 *
 * A reader that finds records dropped looks for a record whose writer had read past the dropped
 * ones: the time in that record is later than theirs. A claim is made at most the tolerance
 * before its key's time by another clock, so keys made well after that time are covered.
 * A record's own time alone proves nothing, since a paused writer's record comes late.
 */
class KeyCoverage {
public:
    explicit KeyCoverage(Duration maximumClockSkew)
        : maximumClockSkew(maximumClockSkew)
    {
    }

    /** \brief The records before \a end were dropped unread. Nothing is covered until the gap is closed. */
    void openGap(LogOffset end) { this->gapEnd = end; }
    bool hasGap() const { return this->gapEnd.has_value(); }
    /** \brief Closes the gap where the record's writer had read past it. */
    void closeGap(const KeyRecord& record)
    {
        if (this->gapEnd && record.readUpTo >= *this->gapEnd)
            this->closeGap(record.createdAt);
    }
    /** \brief Closes the gap: what was dropped had been written before \a time. */
    void closeGap(WallTime time)
    {
        this->gapEnd.reset();
        this->raiseLowerBound(time + 2 * this->maximumClockSkew);
    }
    /** \brief The reader has forgotten the keys made before \a time. */
    void excludeBefore(WallTime time) { this->raiseLowerBound(time); }

    bool covers(const CallerKey& key) const { return !this->gapEnd && (!this->coveredAfter || key.time() > *this->coveredAfter); }

private:
    void raiseLowerBound(WallTime time) { this->coveredAfter = std::max(this->coveredAfter.value_or(time), time); }

    Duration maximumClockSkew;
    std::optional<LogOffset> gapEnd;
    std::optional<WallTime> coveredAfter;
};

}

#endif
