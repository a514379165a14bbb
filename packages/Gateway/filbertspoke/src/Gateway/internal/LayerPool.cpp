#include "LayerPool.h"

#include <algorithm>

namespace filbertspoke::internal {

bool isFaster(const PlaceableEngine& a, const PlaceableEngine& b)
{
    if (a.accelerator.stepFactor != b.accelerator.stepFactor)
        return a.accelerator.stepFactor < b.accelerator.stepFactor;
    if (a.accelerator.memoryMegabytes != b.accelerator.memoryMegabytes)
        return a.accelerator.memoryMegabytes > b.accelerator.memoryMegabytes;
    return a.endpoint < b.endpoint;
}

std::vector<std::uint32_t> copiesByLayer(const Pool& pool, std::uint32_t layers)
{
    std::vector<std::uint32_t> copies(layers, 0);
    for (const PlaceableEngine& engine : pool) {
        for (std::uint32_t layer = engine.layers.first(); layer < std::min(engine.layers.last(), layers); ++layer)
            ++copies[layer];
    }
    return copies;
}

bool isRedundant(const PlaceableEngine& engine, const std::vector<std::uint32_t>& copies)
{
    if (engine.layers.empty())
        return false;
    for (std::uint32_t layer = engine.layers.first(); layer < engine.layers.last(); ++layer) {
        if (layer >= copies.size() || copies[layer] < 2)
            return false;
    }
    return true;
}

std::vector<LayerRange> gaps(const std::vector<std::uint32_t>& copies)
{
    std::vector<LayerRange> found;
    std::uint32_t layer = 0;
    const auto layers = static_cast<std::uint32_t>(copies.size());
    while (layer < layers) {
        std::uint32_t end = layer;
        while (end < layers && copies[end] == 0)
            ++end;
        if (end > layer)
            found.emplace_back(layer, end);
        layer = std::max(end, layer + 1);
    }
    return found;
}

}
