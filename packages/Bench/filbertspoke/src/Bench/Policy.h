#ifndef FILBERTSPOKE_POLICY_H
#define FILBERTSPOKE_POLICY_H

#include <filbertspoke/Routing>

#include <string_view>
#include <vector>

namespace filbertspoke::bench {

/** \brief How chains are chosen: as the daemon does, or by a baseline to compare it with. */
enum class Policy {
    ExpectedTime, ///< the daemon's own
    RoundRobin, ///< the endpoint of each range that was given the fewest chains so far
    Random,
    LeastReported, ///< the lowest reported load over the rate
    ShortestStatic, ///< the highest rate
};

constexpr std::string_view name(Policy policy)
{
    switch (policy) {
    case Policy::ExpectedTime:
        return "expected-time";
    case Policy::RoundRobin:
        return "round-robin";
    case Policy::Random:
        return "random";
    case Policy::LeastReported:
        return "least-reported";
    case Policy::ShortestStatic:
        return "shortest-static";
    }
    return "";
}

const std::vector<Policy>& allPolicies();

/** \param seed of the policy Random */
Planner makePlanner(Policy, Random::result_type seed);

}

#endif
