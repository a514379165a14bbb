#include "LayerRepair.h"
#include "LayerBalance.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace filbertspoke::internal {

namespace {

/** \brief Result of an attempt to fill the gaps of a pool. */
enum class GapResult {
    AllFilled,
    AwaitingAssignments, ///< engines can fill the gaps once pending assignments have made them redundant
    Unfilled, ///< no engine can fill the remaining gaps
};

/** \brief Collects changes to a pool that holds layers already. */
class Repair {
public:
    Repair(const EngineProfile& profile, Pool pool)
        : profile(profile)
        , sizes(profile)
        , pool(std::move(pool))
    {
    }

    /** \brief Fills the gaps such that every changed engine keeps KV cache for \a sequences. */
    GapResult fillGaps(double sequences)
    {
        while (true) {
            const std::vector<LayerRange> open = gaps(this->copies());
            if (open.empty())
                return GapResult::AllFilled;
            PlaceableEngine* engine = this->pickEmpty();
            if (!engine)
                engine = this->pickRedundant();
            // Reducing the KV cache of an engine in use is avoided when another engine can fill the gap seconds later.
            if (!engine && this->willHaveRedundantEngine())
                return GapResult::AwaitingAssignments;
            const bool filled = engine ? this->fill(open.front(), *engine, sequences) : this->extendAdjacent(open.front(), sequences);
            if (!filled)
                return GapResult::Unfilled;
        }
    }

    /** \brief Assigns the layers with the fewest copies to engines that hold none. */
    void assignEmptyEngines()
    {
        while (PlaceableEngine* engine = this->pickEmpty()) {
            const std::uint32_t size = std::min(this->profile.layers, this->sizes.fittingLayers(*engine, targetSequences));
            if (size == 0)
                return;
            this->assign(*engine, this->rangeWithFewestCopies(size));
        }
    }

    const std::vector<LayerAssignment>& changes() const { return this->assignments; }

private:
    std::vector<std::uint32_t> copies() const { return copiesByLayer(this->pool, this->profile.layers); }

    /** \brief Assigns the gap, or its first part, to an engine that is free to change.
     * \returns whether the engine can hold any layer */
    bool fill(const LayerRange& gap, PlaceableEngine& engine, double sequences)
    {
        const std::uint32_t maximumLayers = this->sizes.fittingLayers(engine, sequences);
        const std::uint32_t size = std::min(gap.size(), maximumLayers);
        return size > 0 && this->assign(engine, size < gap.size() ? LayerRange(gap.first(), gap.first() + size) : this->widen(gap, maximumLayers));
    }

    /** \returns the gap extended on both sides to \a size layers, as far as the model has them */
    LayerRange widen(const LayerRange& gap, std::uint32_t size) const
    {
        const std::uint32_t spare = size - gap.size();
        const std::uint32_t before = std::min(gap.first(), spare / 2);
        const std::uint32_t after = std::min(this->profile.layers - gap.last(), spare - before);
        return LayerRange(gap.first() - before, gap.last() + after);
    }

    /** \returns the fastest engine that holds no layers, or nullptr */
    PlaceableEngine* pickEmpty()
    {
        PlaceableEngine* best = nullptr;
        for (PlaceableEngine& engine : this->pool) {
            if (engine.layers.empty() && (!best || isFaster(engine, *best)))
                best = &engine;
        }
        return best;
    }

    /** \returns whether the engine holds its layers now; a pending assignment takes seconds and may be lost */
    bool holds(const PlaceableEngine& engine) const
    {
        return !engine.changing && std::none_of(this->assignments.begin(), this->assignments.end(), [&](const LayerAssignment& assignment) { return assignment.endpoint == engine.endpoint; });
    }

    /** \returns whether an engine will be redundant once the pending assignments are carried out */
    bool willHaveRedundantEngine() const
    {
        const auto copies = this->copies();
        return std::any_of(this->pool.begin(), this->pool.end(), [&](const PlaceableEngine& engine) { return isRedundant(engine, copies); });
    }

    /** \returns the largest engine whose layers all have other holders now, so that each layer keeps a holder while the engine changes; or
     * nullptr */
    PlaceableEngine* pickRedundant()
    {
        Pool holders;
        std::copy_if(this->pool.begin(), this->pool.end(), std::back_inserter(holders), [this](const PlaceableEngine& engine) { return this->holds(engine); });
        const auto copies = copiesByLayer(holders, this->profile.layers);
        PlaceableEngine* best = nullptr;
        for (PlaceableEngine& engine : this->pool) {
            if (this->holds(engine) && isRedundant(engine, copies) && (!best || best->accelerator.memoryMegabytes < engine.accelerator.memoryMegabytes))
                best = &engine;
        }
        return best;
    }

    /** \brief Extends the engine next to the gap that can take the most additional layers.
     * \returns whether there is such an engine */
    bool extendAdjacent(const LayerRange& gap, double sequences)
    {
        PlaceableEngine* best = nullptr;
        std::uint32_t bestExtra = 0;
        for (PlaceableEngine& engine : this->pool) {
            const bool touches = engine.layers.last() == gap.first() || engine.layers.first() == gap.last();
            const std::uint32_t maximumLayers = this->sizes.fittingLayersInUse(engine, sequences);
            if (engine.changing || engine.layers.empty() || !touches || maximumLayers <= engine.layers.size())
                continue;
            if (maximumLayers - engine.layers.size() > bestExtra) {
                bestExtra = maximumLayers - engine.layers.size();
                best = &engine;
            }
        }
        if (!best)
            return false;
        const std::uint32_t added = std::min(gap.size(), bestExtra);
        if (best->layers.last() == gap.first())
            return this->assign(*best, LayerRange(best->layers.first(), best->layers.last() + added));
        return this->assign(*best, LayerRange(best->layers.first() - added, best->layers.last()));
    }

    /** \returns the range of \a size layers with the fewest copies in total; the last one of several */
    LayerRange rangeWithFewestCopies(std::uint32_t size) const
    {
        const auto copies = this->copies();
        std::uint32_t best = 0;
        std::uint32_t bestSum = UINT32_MAX;
        for (std::uint32_t first = 0; first + size <= this->profile.layers; ++first) {
            std::uint32_t sum = 0;
            for (std::uint32_t layer = first; layer < first + size; ++layer)
                sum += copies[layer];
            // The last layers are on the slowest engines, so an additional copy of them helps the most.
            if (sum <= bestSum) {
                bestSum = sum;
                best = first;
            }
        }
        return LayerRange(best, best + size);
    }

    bool assign(PlaceableEngine& engine, const LayerRange& layers)
    {
        engine.layers = layers;
        std::erase_if(this->assignments, [&](const LayerAssignment& assignment) { return assignment.endpoint == engine.endpoint; });
        this->assignments.push_back({ engine.endpoint, layers });
        return true;
    }

    const EngineProfile& profile;
    LayerSizes sizes;
    Pool pool;
    std::vector<LayerAssignment> assignments;
};

}

std::vector<LayerAssignment> repairLayers(const EngineProfile& profile, const Pool& pool)
{
    std::vector<LayerAssignment> best;
    for (double sequences = targetSequences; sequences >= minimumRepairSequences; sequences /= 2) {
        Repair repair(profile, pool);
        const GapResult result = repair.fillGaps(sequences);
        if (result == GapResult::AwaitingAssignments)
            return repair.changes();
        if (result == GapResult::AllFilled) {
            repair.assignEmptyEngines();
            return repair.changes().empty() ? balanceLayers(profile, pool) : repair.changes();
        }
        best = repair.changes();
    }
    // The engines next to the gap are full. Balancing moves layers from them to other engines until they can fill it.
    return best.empty() ? balanceLayers(profile, pool) : best;
}

}
