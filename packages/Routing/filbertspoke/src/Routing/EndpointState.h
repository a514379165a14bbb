#ifndef FILBERTSPOKE_ENDPOINT_STATE_H
#define FILBERTSPOKE_ENDPOINT_STATE_H

#include "CircuitBreaker.h"
#include "internal/LatencyEstimator.h"

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

/** \brief State of one endpoint as seen by this daemon: its load reports and this daemon's work there. */
class EndpointState {
public:
    explicit EndpointState(Endpoint endpoint)
        : description(std::move(endpoint))
    {
    }

    /** \returns the endpoint's description */
    const Endpoint& endpoint() const { return this->description; }
    /** \returns whether membership and the endpoint itself allow new work */
    bool takesNewWork() const { return this->newWorkAllowed && !this->latestLoad.draining; }
    /** \returns whether new work may be sent now: the endpoint takes it and the circuit breaker allows it */
    bool available(TimePoint now) const { return this->takesNewWork() && this->breaker.allows(now); }
    /** \returns the latest load report */
    const LoadReport& load() const { return this->latestLoad; }
    /** \returns the arrival time of the latest load report, if any */
    std::optional<TimePoint> reportedAt() const { return this->reportTime; }
    /** \returns the number of steps and calls of this daemon that are in flight */
    std::uint32_t ownInFlight() const { return this->inFlight; }
    /** \returns the number of open chains of this daemon with a stage at the endpoint */
    std::uint32_t ownChains() const { return this->openChains; }
    /** \returns the number of chains, open or closed, for which this daemon chose the endpoint */
    std::uint64_t chainsPlaced() const { return this->placedChains; }

    /** \returns the number of steps and calls of other daemons at the endpoint, as of the latest report */
    std::uint32_t othersLoad() const
    {
        const std::uint32_t reported = this->latestLoad.queued + this->latestLoad.running;
        return reported - std::min(reported, this->inFlightAtReport);
    }
    /** \returns the estimated number of steps and calls at the endpoint: those of other daemons as of the
     * latest report, and those that this daemon has in flight now */
    std::uint32_t expectedLoad() const { return this->othersLoad() + this->inFlight; }

    /** \returns the smoothed time from sending work to its answer; zero before the first answer */
    Duration smoothedLatency() const { return this->latency.smoothed(); }
    /** \returns the time from sending work to its answer under little load; zero before the first answer */
    Duration minimumLatency() const { return this->latency.minimum(); }
    /** \returns the smoothed latency in excess of the minimum latency; zero when the latest sample is older
     * than a second, so that an endpoint that was slow gets work again */
    Duration queueingDelay(TimePoint now) const;
    /** \returns the smoothed prefill time for one prompt token, in microseconds; zero before the first prompt */
    double prefillMicrosecondsPerToken() const { return this->prefillTime; }
    /** \returns the timeout of an answer to work on \a positions token positions */
    Duration answerTimeout(std::uint32_t positions = 1) const;

    /** \returns the tokens or calls a second that the endpoint serves at full load: the reported rate, else
     * one for each minimum latency, else a default of 100 */
    double rate() const;

private:
    friend class EndpointView;
    friend class internal::EndpointGroup;

    Endpoint description;
    bool newWorkAllowed = true;
    LoadReport latestLoad;
    std::optional<TimePoint> reportTime;
    std::uint32_t inFlight = 0;
    std::uint32_t inFlightAtReport = 0;
    std::uint32_t openChains = 0;
    std::uint64_t placedChains = 0;
    std::optional<TimePoint> latencyTime; ///< time of the latest latency sample
    internal::LatencyEstimator latency; ///< latency of calls and of work on one token position
    double prefillTime = 0; ///< smoothed, in microseconds for each prompt token
    CircuitBreaker breaker;
    std::size_t groupPosition = 0;
    double countedCapacity = 0; ///< this endpoint's contribution to the capacity of its group
};

}

#endif
