#include "Planner.h"

#include "internal/Candidates.h"

#include <map>

namespace filbertspoke {

namespace internal {

/** \brief The cheapest chain found so far that ends at a layer boundary. */
struct PartialChain {
    double cost = 0;
    ChainStage stage; ///< its last stage; default at the boundary where chains begin
};

/** \brief Partial chains by the layer boundary where they end. */
using PartialChains = std::map<std::uint32_t, PartialChain>;

/** \returns the cheapest chain for \a range, which must be complete, by following the stages back from its end */
Chain backtrack(const PartialChains& boundaries, const LayerRange& range)
{
    Chain chain;
    for (std::uint32_t boundary = range.last(); boundary != range.first();) {
        const ChainStage& stage = boundaries.at(boundary).stage;
        chain.push_back(stage);
        boundary = stage.layers.first();
    }
    std::reverse(chain.begin(), chain.end());
    return chain;
}

}

Result<Chain> Planner::plan(const PlanRequest& request, const EndpointView& view, Random& random, TimePoint now) const
{
    const EndpointView::EngineGroups* groups = view.engines(request.model(), request.version());
    if (!groups || request.layers().empty())
        return make_error_code(ErrorCode::NoPipeline);

    const auto usable = [&](const EndpointState& state) { return state.available(now) && !request.excludes(state.endpoint().id()); };
    const auto stageCost = [&](const EndpointState& state) { return this->cost(state, request, now); };

    // Groups are ordered by first layer, so all chains that end at a boundary are known before the groups that begin there.
    internal::PartialChains boundaries { { request.layers().first(), {} } };
    for (const auto& [layers, group] : *groups) {
        auto start = boundaries.find(layers.first());
        if (start == boundaries.end() || layers.empty() || layers.last() > request.layers().last())
            continue;
        const internal::Candidate best = internal::sampleCheapest(group, this->samplesPerSide, usable, stageCost, random);
        if (!best.state)
            continue;
        const double totalCost = start->second.cost + best.cost;
        auto [end, isNew] = boundaries.try_emplace(layers.last());
        if (isNew || totalCost < end->second.cost)
            end->second = { totalCost, { best.state->endpoint().id(), layers } };
    }

    if (!boundaries.contains(request.layers().last()))
        return make_error_code(ErrorCode::NoPipeline);
    return internal::backtrack(boundaries, request.layers());
}

}
