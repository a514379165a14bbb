#include "ReplicaPicker.h"

#include "internal/Candidates.h"

#include <algorithm>

namespace filbertspoke {

namespace internal {

constexpr std::size_t replicasDrawn = 2; ///< from each side: own and other failure domains

}

Result<EndpointId> ReplicaPicker::pick(const ServiceId& service, const std::vector<EndpointId>& excluded,
    const EndpointView& view, Random& random, TimePoint now) const
{
    const internal::EndpointGroup* replicas = view.replicas(service);
    if (!replicas)
        return make_error_code(ErrorCode::NoEndpoint);

    const auto usable = [&](const EndpointState& state) {
        return state.available(now) && std::find(excluded.begin(), excluded.end(), state.endpoint().id()) == excluded.end();
    };
    const auto expectedTime = [&](const EndpointState& state) {
        const double delay = std::chrono::duration<double>(state.recentDelay(now)).count();
        return (state.expectedLoad() + 1) / state.rate() + delay;
    };
    const internal::Candidate best = internal::cheapest(*replicas, internal::replicasDrawn, usable, expectedTime, random);
    if (!best.state)
        return make_error_code(ErrorCode::NoEndpoint);
    return best.state->endpoint().id();
}

}
