#ifndef FILBERTSPOKE_HELD_SIGN_H
#define FILBERTSPOKE_HELD_SIGN_H

#include <filbertspoke/Core>

#include <algorithm>
#include <optional>

namespace filbertspoke::internal {

/** \brief A sign of leaving that stands until it is contradicted late enough, and twice.
 *
 * Late enough, since a contradiction may have been under way when the sign was seen; twice, since
 * a single one may have waited in a buffer while this process was paused.
 */
class HeldSign {
public:
    bool stands() const { return this->seen.has_value(); }
    std::optional<TimePoint> observed() const { return this->seen; }

    void observe(TimePoint when)
    {
        this->seen = this->seen ? std::max(*this->seen, when) : when;
        this->contradictedSince.reset();
    }

    /** \param delay how long a contradiction may have been under way
     * \param confirmation least time between the first contradiction and the one that ends the sign */
    void contradict(TimePoint now, Duration delay, Duration confirmation)
    {
        if (!this->seen || now <= *this->seen + delay)
            return;
        if (!this->contradictedSince)
            this->contradictedSince = now;
        else if (now >= *this->contradictedSince + confirmation)
            *this = HeldSign();
    }

private:
    std::optional<TimePoint> seen;
    std::optional<TimePoint> contradictedSince;
};

}

#endif
