#include "Policy.h"

#include <limits>
#include <memory>

namespace filbertspoke::bench {

const std::vector<Policy>& allPolicies()
{
    static const std::vector<Policy> policies { Policy::ExpectedTime, Policy::RoundRobin, Policy::Random, Policy::LeastReported, Policy::ShortestStatic };
    return policies;
}

Planner makePlanner(Policy policy, Random::result_type seed)
{
    constexpr std::size_t all = std::numeric_limits<std::size_t>::max();
    switch (policy) {
    case Policy::ExpectedTime:
        return Planner();
    case Policy::RoundRobin:
        return Planner([](const EndpointState& state, const PlanRequest&, TimePoint) { return static_cast<double>(state.chainsPlaced()); }, all);
    case Policy::Random: {
        auto random = std::make_shared<Random>(seed);
        return Planner([random](const EndpointState&, const PlanRequest&, TimePoint) { return static_cast<double>((*random)() >> 32); }, all);
    }
    case Policy::LeastReported:
        return Planner([](const EndpointState& state, const PlanRequest&, TimePoint) { return (state.load().queued + state.load().running + 1) / state.rate(); }, all);
    case Policy::ShortestStatic:
        return Planner([](const EndpointState& state, const PlanRequest&, TimePoint) { return 1 / state.rate(); }, all);
    }
    return Planner();
}

}
