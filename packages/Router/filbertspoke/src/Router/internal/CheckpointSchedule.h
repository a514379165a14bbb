#ifndef FILBERTSPOKE_INTERNAL_CHECKPOINT_SCHEDULE_H
#define FILBERTSPOKE_INTERNAL_CHECKPOINT_SCHEDULE_H

#include <filbertspoke/Core>

#include <optional>

namespace filbertspoke::internal {

/** \brief Decides when this daemon appends a checkpoint of the configuration.
 *
 * Daemons don't coordinate. A checkpoint is due once per interval, within seconds when the log has truncated half
 * of the records after the last one, and within a second when a new reader would find no usable checkpoint. Random
 * jitter lets one daemon append first; the others postpone theirs when they read its checkpoint.
 */
class CheckpointSchedule {
public:
    explicit CheckpointSchedule(Random& random)
        : random(random)
    {
    }

    /** \brief Records that the log has a checkpoint of all records before \a next. */
    void checkpointSeen(LogOffset next, TimePoint);

    /** \brief Updates the schedule from the range of offsets that the log holds. */
    void logRead(LogOffset oldest, LogOffset next, TimePoint);

    /** \returns whether a checkpoint is to be appended now; after true it returns false until the read-back timeout */
    bool takeDue(TimePoint);

    std::optional<TimePoint> nextWake() const { return this->dueAt; }

private:
    TimePoint withJitter(TimePoint, Duration longest);
    void scheduleInterval(TimePoint);

    Random& random;
    LogOffset coveredUpTo = 0; ///< all records before this offset are in a checkpoint that was read
    std::optional<TimePoint> dueAt;
    bool urgent = false; ///< dueAt is earlier than the regular interval
};

}

#endif
