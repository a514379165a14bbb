#include "CheckpointSchedule.h"

#include <algorithm>
#include <random>

namespace filbertspoke::internal {

namespace {

using namespace std::chrono_literals;

constexpr Duration checkpointInterval = 10min; // the log's retention must be at least twice as long
constexpr Duration intervalJitter = 1min;
constexpr Duration agingJitter = 10s;
constexpr Duration missingJitter = 1s;
constexpr Duration readBackTimeout = 10s; // an appended checkpoint that isn't read back by then is appended again

}

TimePoint CheckpointSchedule::withJitter(TimePoint now, Duration longest)
{
    std::uniform_int_distribution<Duration::rep> delay(0, longest.count());
    return now + Duration(delay(this->random));
}

void CheckpointSchedule::scheduleInterval(TimePoint now)
{
    this->dueAt = this->withJitter(now + checkpointInterval, intervalJitter);
    this->urgent = false;
}

void CheckpointSchedule::checkpointSeen(LogOffset next, TimePoint now)
{
    this->coveredUpTo = std::max(this->coveredUpTo, next);
    this->scheduleInterval(now);
}

void CheckpointSchedule::logRead(LogOffset oldest, LogOffset next, TimePoint now)
{
    const bool truncated = oldest > 0;
    const bool missing = truncated && this->coveredUpTo < oldest;
    const bool aging = truncated && this->coveredUpTo < oldest + (next - oldest) / 2;
    if (!this->dueAt)
        this->scheduleInterval(now);
    if (!missing && !aging) {
        if (this->urgent)
            this->scheduleInterval(now);
        return;
    }
    const TimePoint urgentDue = this->withJitter(now, missing ? missingJitter : agingJitter);
    if (this->urgent && *this->dueAt <= urgentDue)
        return;
    if (!this->urgent || missing)
        this->dueAt = std::min(*this->dueAt, urgentDue);
    this->urgent = true;
}

bool CheckpointSchedule::takeDue(TimePoint now)
{
    if (!this->dueAt || now < *this->dueAt)
        return false;
    this->dueAt = now + readBackTimeout;
    this->urgent = true;
    return true;
}

}
