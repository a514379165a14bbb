#include "ModelConcurrency.h"

#include "MaximumFlow.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace filbertspoke {

namespace internal {

/** \returns the tokens a second that the engines of a model can serve together */
double modelCapacity(const ModelConfiguration& model, const EndpointView& view)
{
    const EndpointView::EngineGroups* groups = view.engines(model.id, model.version);
    if (!groups)
        return 0;
    RangeCapacities capacities;
    for (const auto& [layers, group] : *groups)
        capacities.emplace(layers, group.capacity());
    return maximumFlow(capacities, LayerRange(0, model.layers));
}

}

std::optional<std::uint32_t> ModelConcurrency::limit(const ModelConfiguration& model, const EndpointView& view, std::uint32_t daemons)
{
    const std::uint64_t revision = view.capacityRevision() + 1; // 0 marks a new cache entry
    Cached& cached = this->capacityByModel[{ model.id, model.version }];
    if (cached.revision != revision)
        cached = { revision, internal::modelCapacity(model, view) };
    if (cached.tokensPerSecond <= 0)
        return std::nullopt;
    const double streams = cached.tokensPerSecond * std::chrono::duration<double>(targetInterTokenLatency).count();
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::lround(streams / std::max<std::uint32_t>(daemons, 1))));
}

}
