#include <filbertspoke/Gateway>

#include "internal/LayerPartition.h"
#include "internal/LayerPool.h"
#include "internal/LayerRepair.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>

namespace filbertspoke {

namespace {

using internal::isFaster;
using internal::LayerPartition;
using internal::LayerSizes;
using internal::minimumSequences;
using internal::partitionCapacity;
using internal::partitionEvenly;
using internal::PartitionStage;
using internal::partitionThroughput;
using internal::Pool;

// Engines whose step time is less than this share of the slowest engine's belong to the fast part of a copy.
constexpr double fastStepRatio = 0.5;

// Largest number of concurrent sequences that the placement search tries, and its increment.
constexpr double maximumSequences = 400;
constexpr double sequencesStep = 4;

/** \returns the number of layers that fit on the engines beside KV cache for \a sequences */
std::uint32_t totalFitting(const LayerSizes& sizes, const Pool& pool, double sequences)
{
    std::uint32_t total = 0;
    for (const PlaceableEngine& engine : pool)
        total += sizes.fittingLayers(engine, sequences);
    return total;
}

/** \brief Splits the engines into \a count groups of similar total memory: each engine joins the group with the least memory. */
std::vector<Pool> splitByMemory(const Pool& engines, std::size_t count)
{
    std::vector<Pool> groups(count);
    std::vector<double> memory(count, 0);
    for (const PlaceableEngine& engine : engines) {
        const auto smallest = static_cast<std::size_t>(std::min_element(memory.begin(), memory.end()) - memory.begin());
        groups[smallest].push_back(engine);
        memory[smallest] += engine.accelerator.memoryMegabytes;
    }
    return groups;
}

/** \brief A placement of layers on empty engines, with its expected throughput. */
struct Placement {
    std::vector<LayerPartition> partitions;
    double sequencesPerMs = 0; ///< throughput in a steady state
};

void add(Placement& placement, LayerPartition partition, double sequencesPerMs)
{
    placement.partitions.push_back(std::move(partition));
    placement.sequencesPerMs += sequencesPerMs;
}

/** \returns the placement of complete copies of the model with the highest throughput; empty when the engines can't hold one */
Placement placeCompleteCopies(const EngineProfile& profile, const LayerSizes& sizes, const Pool& engines)
{
    Placement best;
    const std::size_t maximumCopies = totalFitting(sizes, engines, minimumSequences) / profile.layers;
    for (std::size_t copies = 1; copies <= maximumCopies; ++copies) {
        Placement placement;
        for (const Pool& group : splitByMemory(engines, copies)) {
            LayerPartition partition = partitionEvenly(sizes, group, LayerRange(0, profile.layers));
            const double sequences = partitionCapacity(profile, partition);
            const double perMs = sequences >= minimumSequences ? partitionThroughput(profile, partition, sequences, 0, 1) : 0;
            if (perMs > 0)
                add(placement, std::move(partition), perMs);
        }
        if (placement.sequencesPerMs > best.sequencesPerMs)
            best = std::move(placement);
    }
    return best;
}

/** \brief Searches for the placement of an empty pool with the highest throughput.
 *
 * A placement consists of one partition that starts on the fastest engines, one or more copies of its last layers (tails) on slower
 * engines, and complete copies on the unused engines. */
class PlacementSearch {
public:
    PlacementSearch(const EngineProfile& profile, Pool engines)
        : profile(profile)
        , sizes(profile)
        , pool(std::move(engines))
    {
        std::sort(this->pool.begin(), this->pool.end(), isFaster);
    }

    Placement run()
    {
        for (double sequences = minimumSequences; sequences <= maximumSequences; sequences += sequencesStep)
            this->tryFastPart(sequences);
        return this->best;
    }

private:
    bool isFast(std::size_t index) const { return this->pool[index].accelerator.stepFactor < fastStepRatio * this->pool.back().accelerator.stepFactor; }

    /** \brief Tries the placements whose fast engines keep KV cache for \a sequences. */
    void tryFastPart(double sequences)
    {
        LayerPartition fast;
        std::uint32_t position = 0;
        while (fast.size() < this->pool.size() && this->isFast(fast.size()) && position < this->profile.layers) {
            const PlaceableEngine& engine = this->pool[fast.size()];
            const std::uint32_t size = std::min(this->sizes.fittingLayers(engine, sequences), this->profile.layers - position);
            fast.push_back({ engine, LayerRange(position, position + size) });
            position += size;
        }
        const LayerRange rest(position, this->profile.layers);
        if (rest.empty()) {
            this->consider(fast, {}, fast.size(), sequences);
            return;
        }
        const std::size_t slow = this->pool.size() - fast.size();
        for (std::size_t copies = 1; copies <= slow; ++copies) {
            this->tryAllOnTail(fast, rest, copies, sequences);
            if (!this->tryShortTail(fast, rest, copies, sequences))
                return;
        }
    }

    /** \brief Tries the placement that uses all slow engines for copies of the last layers. */
    void tryAllOnTail(const LayerPartition& fast, const LayerRange& rest, std::size_t copies, double sequences)
    {
        const Pool slow(this->pool.begin() + static_cast<std::ptrdiff_t>(fast.size()), this->pool.end());
        std::vector<LayerPartition> tails;
        for (const Pool& group : splitByMemory(slow, copies))
            tails.push_back(partitionEvenly(this->sizes, group, rest));
        this->consider(fast, tails, this->pool.size(), sequences);
    }

    /** \brief Tries the placement that uses as few slow engines for the last layers as have KV cache for \a sequences.
     * \returns whether there are enough slow engines */
    bool tryShortTail(const LayerPartition& fast, const LayerRange& rest, std::size_t copies, double sequences)
    {
        std::vector<LayerPartition> tails;
        std::size_t used = fast.size();
        for (std::size_t copy = 0; copy < copies; ++copy) {
            Pool group;
            while (totalFitting(this->sizes, group, sequences / static_cast<double>(copies)) < rest.size()) {
                if (used == this->pool.size())
                    return false;
                group.push_back(this->pool[used++]);
            }
            tails.push_back(partitionEvenly(this->sizes, group, rest));
        }
        this->consider(fast, tails, used, sequences);
        return true;
    }

    /** \brief Evaluates a partition with its tails, and complete copies on the engines from index \a used on. */
    void consider(const LayerPartition& fast, const std::vector<LayerPartition>& tails, std::size_t used, double sequences)
    {
        LayerPartition partition = fast;
        double sequenceLimit = fast.empty() ? maximumSequences : sequences;
        double tailSequences = 0;
        for (const LayerPartition& tail : tails)
            tailSequences += partitionCapacity(this->profile, tail);
        if (!tails.empty()) {
            partition.insert(partition.end(), tails.front().begin(), tails.front().end());
            sequenceLimit = std::min(sequenceLimit, tailSequences);
            if (tailSequences < minimumSequences * static_cast<double>(tails.size()))
                return;
        }
        if (this->profile.slots > 0)
            sequenceLimit = std::min(sequenceLimit, static_cast<double>(this->profile.slots));
        const double perMs = partitionThroughput(this->profile, partition, sequenceLimit, fast.size(), std::max(1.0, static_cast<double>(tails.size())));
        if (perMs <= 0)
            return;
        const Placement& others = this->copiesFrom(used);
        if (perMs + others.sequencesPerMs <= this->best.sequencesPerMs)
            return;
        this->best = others;
        add(this->best, std::move(partition), perMs);
        if (!tails.empty())
            this->best.partitions.insert(this->best.partitions.end(), tails.begin() + 1, tails.end());
    }

    /** \returns the best complete copies on the engines from index \a used on */
    const Placement& copiesFrom(std::size_t used)
    {
        auto entry = this->copies.find(used);
        if (entry == this->copies.end()) {
            const Pool rest(this->pool.begin() + static_cast<std::ptrdiff_t>(used), this->pool.end());
            entry = this->copies.emplace(used, placeCompleteCopies(this->profile, this->sizes, rest)).first;
        }
        return entry->second;
    }

    const EngineProfile& profile;
    const LayerSizes sizes;
    Pool pool; ///< fastest engine first
    std::map<std::size_t, Placement> copies; ///< results of copiesFrom(), by index
    Placement best;
};

std::vector<LayerAssignment> placeEmptyPool(const EngineProfile& profile, const Pool& pool)
{
    std::vector<LayerAssignment> assignments;
    for (const LayerPartition& partition : PlacementSearch(profile, pool).run().partitions) {
        for (const PartitionStage& stage : partition) {
            if (!stage.layers.empty())
                assignments.push_back({ stage.engine.endpoint, stage.layers });
        }
    }
    return assignments;
}

/** \returns a pool for each failure domain that can hold a complete copy, and one for the engines of all other domains */
std::vector<Pool> poolsByDomain(const EngineProfile& profile, const std::vector<PlaceableEngine>& engines)
{
    std::map<FailureDomainId, Pool> byDomain;
    for (const PlaceableEngine& engine : engines)
        byDomain[engine.failureDomain].push_back(engine);
    const LayerSizes sizes(profile);
    std::vector<Pool> pools;
    Pool combined;
    for (auto& [domain, pool] : byDomain) {
        if (totalFitting(sizes, pool, minimumSequences) >= profile.layers)
            pools.push_back(std::move(pool));
        else
            combined.insert(combined.end(), pool.begin(), pool.end());
    }
    if (!combined.empty())
        pools.push_back(std::move(combined));
    return pools;
}

}

std::vector<LayerAssignment> placeLayers(const EngineProfile& profile, const std::vector<PlaceableEngine>& engines)
{
    std::vector<LayerAssignment> assignments;
    for (Pool& pool : poolsByDomain(profile, engines)) {
        const bool allEmpty = std::all_of(pool.begin(), pool.end(), [](const PlaceableEngine& engine) { return engine.layers.empty(); });
        const auto changes = allEmpty ? placeEmptyPool(profile, pool) : internal::repairLayers(profile, pool);
        assignments.insert(assignments.end(), changes.begin(), changes.end());
    }
    return assignments;
}

}
