#include "Planner.h"

#include "internal/Candidates.h"

#include <map>

namespace filbertspoke {

namespace internal {

/** \brief The cheapest way found so far to a layer boundary. */
struct Reached {
    double cost = 0;
    ChainStage stage; ///< the last stage; empty at the boundary where the chain begins
};

using ReachedBoundaries = std::map<std::uint32_t, Reached>;

/** \brief Follows the stages back from the end of \a range. */
Chain trace(const ReachedBoundaries& boundaries, const LayerRange& range)
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

    // Groups are ordered by their first layer, so a boundary is final before a group that begins there is met.
    internal::ReachedBoundaries boundaries { { request.layers().first(), {} } };
    for (const auto& [layers, group] : *groups) {
        auto start = boundaries.find(layers.first());
        if (start == boundaries.end() || layers.empty() || layers.last() > request.layers().last())
            continue;
        const internal::Candidate best = internal::cheapest(group, this->drawsPerSide, usable, stageCost, random);
        if (!best.state)
            continue;
        const double reached = start->second.cost + best.cost;
        auto [end, isNew] = boundaries.try_emplace(layers.last());
        if (isNew || reached < end->second.cost)
            end->second = { reached, { best.state->endpoint().id(), layers } };
    }

    if (!boundaries.contains(request.layers().last()))
        return make_error_code(ErrorCode::NoPipeline);
    return internal::trace(boundaries, request.layers());
}

}
