#ifndef FILBERTSPOKE_TIME_H
#define FILBERTSPOKE_TIME_H

#include <chrono>

namespace filbertspoke {

using Duration = std::chrono::microseconds;

/** \brief A time of the daemon's monotonic clock; comparable only within one process. */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** \brief A UTC time, in microseconds since 1970. */
using WallTime = std::chrono::sys_time<Duration>;

/** \returns the duration multiplied by \a factor, truncated to microseconds */
constexpr Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

/** \brief Simultaneous readings of both clocks, passed in to packages that don't read clocks themselves. */
class Now {
public:
    Now(TimePoint monotonic, WallTime wall)
        : monotonicTime(monotonic)
        , wallTime(wall)
    {
    }

    TimePoint monotonic() const { return this->monotonicTime; }
    WallTime wall() const { return this->wallTime; }

    /** \returns both times advanced by \a elapsed */
    Now after(Duration elapsed) const { return Now(this->monotonicTime + elapsed, this->wallTime + elapsed); }

    auto operator<=>(const Now&) const = default;

private:
    TimePoint monotonicTime;
    WallTime wallTime;
};

}

#endif
