#include "ServicePicker.h"

#include "internal/Candidates.h"

#include <algorithm>

namespace filbertspoke {

Result<EndpointId> ServicePicker::pick(const ServiceId& service, const std::vector<EndpointId>& excluded,
    const EndpointView& view, Random& random, TimePoint) const
{
    const internal::EndpointGroup* replicas = view.replicas(service);
    if (!replicas)
        return make_error_code(ErrorCode::NoEndpoint);

    const auto usable = [&](const EndpointState& state) {
        return state.takesNewWork() && std::find(excluded.begin(), excluded.end(), state.endpoint().id()) == excluded.end();
    };
    const EndpointState* best = internal::leastLoaded(*replicas, usable, random);
    if (!best)
        return make_error_code(ErrorCode::NoEndpoint);
    return best->endpoint().id();
}

}
