#ifndef FILBERTSPOKE_INTERNAL_CHECKPOINT_SCHEDULE_H
#define FILBERTSPOKE_INTERNAL_CHECKPOINT_SCHEDULE_H

#include <filbertspoke/Core>

#include <optional>

namespace filbertspoke::internal {

/** \brief When this daemon appends a checkpoint of the configuration.
 *
 * Every daemon decides alone: one is due in each interval, sooner when the log has forgotten half of
 * what follows the last one, and at once when a fresh reader would find none that counts. A random delay
 * lets one daemon come first; what the others read of its checkpoint puts theirs off.
 */
class CheckpointSchedule {
public:
    explicit CheckpointSchedule(Random& random)
        : random(random)
    {
    }

    /** \brief Takes note of a checkpoint in the log, of all records before \a next. */
    void seen(LogOffset next, TimePoint);

    /** \brief Takes note of the records that the log holds. */
    void logRead(LogOffset oldest, LogOffset next, TimePoint);

    /** \returns whether a checkpoint is to be appended now; true once until it is seen or has had its time */
    bool takeDue(TimePoint);

    std::optional<TimePoint> nextWake() const { return this->dueAt; }

private:
    TimePoint delayed(TimePoint, Duration longest);
    void planInterval(TimePoint);

    Random& random;
    LogOffset newest = 0; ///< every record before it is in a checkpoint that was seen
    std::optional<TimePoint> dueAt;
    bool urgent = false; ///< dueAt is sooner than the interval asks for
};

}

#endif
