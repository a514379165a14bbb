#ifndef FILBERTSPOKE_LATCHED_SIGNAL_H
#define FILBERTSPOKE_LATCHED_SIGNAL_H

#include <filbertspoke/Core>

#include <algorithm>
#include <optional>

namespace filbertspoke::internal {

/** \brief A signal of leaving that stays active until two contradictions in a row clear it.
 *
 * A contradiction is ignored within the transit delay after the signal, because it may have been sent before
 * the signal was observed. Two are needed, because one may have waited in a buffer while this process was paused.
 */
class LatchedSignal {
public:
    bool active() const { return this->observedAt.has_value(); }
    std::optional<TimePoint> observed() const { return this->observedAt; }

    void observe(TimePoint when)
    {
        this->observedAt = this->observedAt ? std::max(*this->observedAt, when) : when;
        this->contradictedSince.reset();
    }

    /** \param delay maximum transit time of a contradiction
     * \param confirmation minimum time between the first contradiction and the one that clears the signal */
    void contradict(TimePoint now, Duration delay, Duration confirmation)
    {
        if (!this->observedAt || now <= *this->observedAt + delay)
            return;
        if (!this->contradictedSince)
            this->contradictedSince = now;
        else if (now >= *this->contradictedSince + confirmation)
            *this = LatchedSignal();
    }

private:
    std::optional<TimePoint> observedAt;
    std::optional<TimePoint> contradictedSince;
};

}

#endif
