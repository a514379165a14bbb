#include <filbertspoke/Proxy>

#include <ctime>

namespace filbertspoke {

TimePoint bootNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

bool wasHeldUp(TimePoint startedAt, Duration limit)
{
    // Timers of a busy daemon are late by a few tens of milliseconds.
    constexpr Duration usualDelay = std::chrono::milliseconds(100);
    return bootNow() - startedAt > limit + usualDelay;
}

}
