#ifndef FILBERTSPOKE_KEY_COVERAGE_H
#define FILBERTSPOKE_KEY_COVERAGE_H

#include "CallerKey.h"
#include "KeyRecord.h"

#include <filbertspoke/Core>

#include <algorithm>
#include <optional>

namespace filbertspoke {

/** \brief Tells for which keys a reader of the log has certainly seen all records.
 *
 * When the log has dropped records before they were read, the reader waits for a record whose writer
 * had read past the dropped range, because such a record was created after the dropped ones.
 * A key may be claimed up to the maximum clock skew before its own timestamp, and the clocks of two
 * writers may differ by as much, so keys created more than twice the skew after that time are
 * covered. The creation time of a record is not enough by itself, because a writer that was paused
 * appends its record late.
 */
class KeyCoverage {
public:
    /** \param maximumClockSkew largest difference between any two clocks */
    explicit KeyCoverage(Duration maximumClockSkew)
        : maximumClockSkew(maximumClockSkew)
    {
    }

    /** \brief Opens a gap: the records before \a end were dropped unread. No key is covered until the gap is closed. */
    void openGap(LogOffset end) { this->gapEnd = end; }
    /** \returns whether a gap is open */
    bool hasGap() const { return this->gapEnd.has_value(); }
    /** \brief Closes the gap if the writer of \a record had read past it when it created the record. */
    void closeGap(const KeyRecord& record)
    {
        if (this->gapEnd && record.readUpTo >= *this->gapEnd)
            this->closeGap(record.createdAt);
    }
    /** \brief Closes the gap; every dropped record was written before \a time. */
    void closeGap(WallTime time)
    {
        this->gapEnd.reset();
        this->raiseLowerBound(time + 2 * this->maximumClockSkew);
    }
    /** \brief Excludes the keys created before \a time, whose state the reader has deleted. */
    void excludeBefore(WallTime time) { this->raiseLowerBound(time); }

    /** \returns whether every record of \a key has been seen */
    bool covers(const CallerKey& key) const { return !this->gapEnd && (!this->coveredAfter || key.time() > *this->coveredAfter); }

private:
    void raiseLowerBound(WallTime time) { this->coveredAfter = std::max(this->coveredAfter.value_or(time), time); }

    Duration maximumClockSkew;
    std::optional<LogOffset> gapEnd;
    std::optional<WallTime> coveredAfter;
};

}

#endif
