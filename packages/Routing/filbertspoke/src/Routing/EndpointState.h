#ifndef FILBERTSPOKE_ENDPOINT_STATE_H
#define FILBERTSPOKE_ENDPOINT_STATE_H

#include "CircuitBreaker.h"
#include "internal/LatencyHistory.h"

#include <filbertspoke/Core>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

namespace filbertspoke {

class EndpointView;

namespace internal {
class EndpointGroup;
}

/** \brief What the daemon knows of one endpoint: its own word, and the daemon's own work there. */
class EndpointState {
public:
    explicit EndpointState(Endpoint endpoint)
        : description(std::move(endpoint))
    {
    }

    const Endpoint& endpoint() const { return this->description; }
    /** \returns whether membership and the endpoint itself allow new work */
    bool takesNewWork() const { return this->newWorkAllowed && !this->latestLoad.draining; }
    /** \returns whether new work may be sent now: it is taken, and the breaker lets it pass */
    bool available(TimePoint now) const { return this->takesNewWork() && this->breaker.allows(now); }
    const LoadReport& load() const { return this->latestLoad; }
    /** \returns when the latest load report came, if there was one */
    std::optional<TimePoint> reportedAt() const { return this->reportTime; }
    /** \returns steps or calls of this daemon that have no answer yet */
    std::uint32_t ownInFlight() const { return this->ownWork; }
    /** \returns chains of this daemon that have a stage at the endpoint */
    std::uint32_t ownChains() const { return this->openChains; }
    /** \returns chains that this daemon has ever given a stage at the endpoint */
    std::uint64_t chainsPlaced() const { return this->placedChains; }

    /** \returns steps and calls that others have at the endpoint, as of the latest report */
    std::uint32_t othersLoad() const
    {
        const std::uint32_t reported = this->latestLoad.queued + this->latestLoad.running;
        return reported - std::min(reported, this->ownWorkAtReport);
    }
    /** \returns steps and calls at the endpoint: those reported, with this daemon's own part
     * replaced by what it has in flight now */
    std::uint32_t expectedLoad() const { return this->othersLoad() + this->ownWork; }

    /** \returns the smoothed time from sending work to its answer; zero before the first answer */
    Duration smoothedLatency() const { return this->latency.smoothed(); }
    /** \returns the time from sending work to its answer with little load; zero before the first answer */
    Duration minimumLatency() const { return this->latency.smallest(); }
    /** \returns how much longer than with little load answers have taken lately; zero when none came
     * for a while, so that an endpoint that was slow is tried again */
    Duration recentDelay(TimePoint now) const;
    /** \returns the time that an engine takes for one token of a prompt; zero before the first prompt */
    double prefillMicrosecondsPerToken() const { return this->prefillTime; }
    /** \returns how long an answer for work on \a positions tokens may take before the endpoint is suspected */
    Duration answerTimeout(std::uint32_t positions = 1) const;

    /** \returns the tokens or calls a second that the endpoint serves at full load: its own word, or
     * else what its latency allows */
    double rate() const;

private:
    friend class EndpointView;
    friend class internal::EndpointGroup;

    Endpoint description;
    bool newWorkAllowed = true;
    LoadReport latestLoad;
    std::optional<TimePoint> reportTime;
    std::uint32_t ownWork = 0;
    std::uint32_t ownWorkAtReport = 0;
    std::uint32_t openChains = 0;
    std::uint64_t placedChains = 0;
    std::optional<TimePoint> latencyTime; ///< of the latest sample in the history
    internal::LatencyHistory latency; ///< of work on one token position, and of calls
    double prefillTime = 0;
    CircuitBreaker breaker;
    std::size_t groupPosition = 0;
    double countedCapacity = 0; ///< the part of its group's capacity
};

}

#endif
