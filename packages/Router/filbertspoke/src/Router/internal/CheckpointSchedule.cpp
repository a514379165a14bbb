#include "CheckpointSchedule.h"

#include <algorithm>
#include <random>

namespace filbertspoke::internal {

namespace {

using namespace std::chrono_literals;

constexpr Duration interval = 10min; // the log must keep records for at least twice as long
constexpr Duration intervalSpread = 1min;
constexpr Duration agingSpread = 10s;
constexpr Duration missingSpread = 1s;
constexpr Duration appendTime = 10s; // until an appended checkpoint should have been read back

}

TimePoint CheckpointSchedule::delayed(TimePoint now, Duration longest)
{
    std::uniform_int_distribution<Duration::rep> delay(0, longest.count());
    return now + Duration(delay(this->random));
}

void CheckpointSchedule::planInterval(TimePoint now)
{
    this->dueAt = this->delayed(now + interval, intervalSpread);
    this->urgent = false;
}

void CheckpointSchedule::seen(LogOffset next, TimePoint now)
{
    this->newest = std::max(this->newest, next);
    this->planInterval(now);
}

void CheckpointSchedule::logRead(LogOffset oldest, LogOffset next, TimePoint now)
{
    const bool truncated = oldest > 0;
    const bool missing = truncated && this->newest < oldest;
    const bool aging = truncated && this->newest < oldest + (next - oldest) / 2;
    if (!this->dueAt)
        this->planInterval(now);
    if (!missing && !aging) {
        if (this->urgent)
            this->planInterval(now);
        return;
    }
    const TimePoint wanted = this->delayed(now, missing ? missingSpread : agingSpread);
    if (this->urgent && *this->dueAt <= wanted)
        return;
    if (!this->urgent || missing)
        this->dueAt = std::min(*this->dueAt, wanted);
    this->urgent = true;
}

bool CheckpointSchedule::takeDue(TimePoint now)
{
    if (!this->dueAt || now < *this->dueAt)
        return false;
    this->dueAt = now + appendTime;
    this->urgent = true;
    return true;
}

}
