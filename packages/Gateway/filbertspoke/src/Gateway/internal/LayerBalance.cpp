#include "LayerBalance.h"
#include "LayerPartition.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <numeric>
#include <tuple>

namespace filbertspoke::internal {

namespace {

// Smallest factor by which the capacity of the bottleneck must grow to justify moving layers.
constexpr double minimumGain = 1.3;
// With fewer layers in total than this many copies of the model, the engines are balanced as one partition. With more, only the
// engines of a partition through the bottleneck are balanced.
constexpr std::uint32_t multipleCopies = 2;

class Balancer {
public:
    Balancer(const EngineProfile& profile, const Pool& pool)
        : profile(profile)
        , sizes(profile)
        , pool(pool)
        , singlePartition(std::accumulate(pool.begin(), pool.end(), 0U, [](std::uint32_t sum, const PlaceableEngine& engine) { return sum + engine.layers.size(); }) < multipleCopies * profile.layers)
    {
    }

    std::vector<LayerAssignment> run() const
    {
        const PlaceableEngine* bottleneck = this->findBottleneck();
        if (!bottleneck || this->sequences(*bottleneck, bottleneck->layers.size()) >= targetSequences)
            return {};
        const Pool engines = this->singlePartition ? this->holdersInLayerOrder() : this->partitionThrough(*bottleneck);
        const bool changing = std::any_of(engines.begin(), engines.end(), [](const PlaceableEngine& engine) { return engine.changing; });
        const LayerPartition target = partitionEvenly(this->sizes, engines, LayerRange(0, this->profile.layers));
        const bool usesAllEngines = std::none_of(target.begin(), target.end(), [](const PartitionStage& stage) { return stage.layers.empty(); });
        if (changing || !usesAllEngines || this->smallestCapacity(target) < minimumGain * std::max(1.0, this->sequences(*bottleneck, bottleneck->layers.size())))
            return {};
        std::vector<LayerAssignment> assignments;
        for (const PartitionStage& stage : target) {
            const LayerRange next = this->nextRange(target, stage);
            if (next != stage.engine.layers)
                assignments.push_back({ stage.engine.endpoint, next });
        }
        return assignments;
    }

private:
    /** \returns for how many sequences the engine has KV cache when it holds so many layers */
    double sequences(const PlaceableEngine& engine, std::uint32_t layers) const { return this->sizes.sequences(engine.accelerator.memoryMegabytes / layers); }

    double smallestCapacity(const LayerPartition& partition) const
    {
        double smallest = std::numeric_limits<double>::infinity();
        for (const PartitionStage& stage : partition)
            smallest = std::min(smallest, this->sequences(stage.engine, stage.layers.size()));
        return smallest;
    }

    /** \returns the engine with the least capacity, or nullptr; with several copies, only engines with a layer that no other engine holds
     * are considered */
    const PlaceableEngine* findBottleneck() const
    {
        const auto copies = copiesByLayer(this->pool, this->profile.layers);
        const PlaceableEngine* best = nullptr;
        for (const PlaceableEngine& engine : this->pool) {
            if (engine.layers.empty() || (!this->singlePartition && isRedundant(engine, copies)))
                continue;
            if (!best || this->sequences(engine, engine.layers.size()) < this->sequences(*best, best->layers.size()))
                best = &engine;
        }
        return best;
    }

    /** \returns all engines that hold layers, in layer order */
    Pool holdersInLayerOrder() const
    {
        Pool holders;
        std::copy_if(this->pool.begin(), this->pool.end(), std::back_inserter(holders), [](const PlaceableEngine& engine) { return !engine.layers.empty(); });
        std::sort(holders.begin(), holders.end(), [](const PlaceableEngine& a, const PlaceableEngine& b) { return std::tie(a.layers, a.endpoint) < std::tie(b.layers, b.endpoint); });
        return holders;
    }

    /** \returns engines that together hold all layers that have a holder, including \a bottleneck, in layer order */
    Pool partitionThrough(const PlaceableEngine& bottleneck) const
    {
        Pool holders;
        std::uint32_t position = 0;
        while (position < this->profile.layers) {
            const PlaceableEngine* next = nullptr;
            for (const PlaceableEngine& engine : this->pool) {
                if (engine.layers.first() > position || engine.layers.last() <= position)
                    continue;
                if (&engine == &bottleneck || !next || (next != &bottleneck && engine.layers.last() > next->layers.last()))
                    next = &engine;
            }
            if (next)
                holders.push_back(*next);
            position = next ? next->layers.last() : position + 1;
        }
        return holders;
    }

    /** \returns whether the engine that the target assigns the layer to holds it already */
    static bool targetHolderReady(const LayerPartition& target, std::uint32_t layer)
    {
        return std::any_of(target.begin(), target.end(), [layer](const PartitionStage& stage) {
            const LayerRange& held = stage.engine.layers;
            return stage.layers.first() <= layer && layer < stage.layers.last() && held.first() <= layer && layer < held.last();
        });
    }

    /** \returns the layers that the engine can hold after the next step towards the target */
    LayerRange nextRange(const LayerPartition& target, const PartitionStage& stage) const
    {
        std::uint32_t first = stage.engine.layers.first();
        std::uint32_t last = stage.engine.layers.last();
        while (first < std::min(last, stage.layers.first()) && targetHolderReady(target, first))
            ++first;
        while (last > std::max(first, stage.layers.last()) && targetHolderReady(target, last - 1))
            --last;
        const std::uint32_t maximumLayers = this->sizes.fittingLayersInUse(stage.engine, minimumRepairSequences);
        while (last - first < maximumLayers && first > stage.layers.first())
            --first;
        while (last - first < maximumLayers && last < stage.layers.last())
            ++last;
        return LayerRange(first, last);
    }

    const EngineProfile& profile;
    LayerSizes sizes;
    const Pool& pool;
    const bool singlePartition;
};

}

std::vector<LayerAssignment> balanceLayers(const EngineProfile& profile, const Pool& pool)
{
    return Balancer(profile, pool).run();
}

}
