#ifndef FILBERTSPOKE_ENDPOINT_STATE_H
#define FILBERTSPOKE_ENDPOINT_STATE_H

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
    /** \returns whether membership allows new work */
    bool takesNewWork() const { return this->newWorkAllowed && !this->latestLoad.draining; }
    const LoadReport& load() const { return this->latestLoad; }
    /** \returns when the latest load report came, if there was one */
    std::optional<TimePoint> reportedAt() const { return this->reportTime; }
    /** \returns steps or calls of this daemon that have no answer yet */
    std::uint32_t ownInFlight() const { return this->ownWork; }
    std::uint32_t consecutiveFailures() const { return this->failures; }

    /** \returns steps and calls at the endpoint: those reported, with this daemon's own part
     * replaced by what it has in flight now */
    std::uint32_t expectedLoad() const
    {
        const std::uint32_t reported = this->latestLoad.queued + this->latestLoad.running;
        const std::uint32_t others = reported - std::min(reported, this->ownWorkAtReport);
        return others + this->ownWork;
    }

    /** \returns the smoothed time from sending work to its answer; zero before the first answer */
    Duration smoothedLatency() const { return this->latency; }

private:
    friend class EndpointView;
    friend class internal::EndpointGroup;

    Endpoint description;
    bool newWorkAllowed = true;
    LoadReport latestLoad;
    std::optional<TimePoint> reportTime;
    std::uint32_t ownWork = 0;
    std::uint32_t ownWorkAtReport = 0;
    std::uint32_t failures = 0;
    Duration latency {};
    std::size_t groupPosition = 0;
};

}

#endif
