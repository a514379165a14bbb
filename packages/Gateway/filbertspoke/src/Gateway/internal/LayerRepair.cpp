#include "LayerRepair.h"
#include "LayerBalance.h"

#include <algorithm>
#include <utility>

namespace filbertspoke::internal {

namespace {

/** \brief Changes to a pool that holds layers already. */
class Repair {
public:
    Repair(const EngineProfile& profile, Pool pool)
        : profile(profile)
        , sizes(profile)
        , pool(std::move(pool))
    {
    }

    /** \brief Fills all gaps, such that every engine that changes keeps room for so many sequences.
     * \returns whether no gap is left */
    bool fillGaps(double sequences)
    {
        while (true) {
            const std::vector<LayerRange> open = gaps(this->copies());
            if (open.empty())
                return true;
            if (!this->fill(open.front(), sequences))
                return false;
        }
    }

    /** \brief Gives engines that hold nothing the layers with the fewest copies. */
    void useEmpty()
    {
        while (PlaceableEngine* engine = this->pickEmpty()) {
            const std::uint32_t size = std::min(this->profile.layers, this->sizes.fitting(*engine, wantedSequences));
            if (size == 0)
                return;
            this->assign(*engine, this->leastCovered(size));
        }
    }

    const std::vector<LayerAssignment>& changes() const { return this->assignments; }

private:
    std::vector<std::uint32_t> copies() const { return copiesByLayer(this->pool, this->profile.layers); }

    bool fill(const LayerRange& gap, double sequences)
    {
        PlaceableEngine* engine = this->pickEmpty();
        if (!engine)
            engine = this->pickRedundant();
        if (!engine)
            return this->extendNeighbour(gap, sequences);
        const std::uint32_t most = this->sizes.fitting(*engine, sequences);
        const std::uint32_t size = std::min(gap.size(), most);
        return size > 0 && this->assign(*engine, size < gap.size() ? LayerRange(gap.first(), gap.first() + size) : this->widened(gap, most));
    }

    /** \returns the gap with as many layers round it as an engine of the size relieves its neighbours of */
    LayerRange widened(const LayerRange& gap, std::uint32_t size) const
    {
        const std::uint32_t spare = size - gap.size();
        const std::uint32_t before = std::min(gap.first(), spare / 2);
        const std::uint32_t behind = std::min(this->profile.layers - gap.last(), spare - before);
        return LayerRange(gap.first() - before, gap.last() + behind);
    }

    PlaceableEngine* pickEmpty()
    {
        PlaceableEngine* best = nullptr;
        for (PlaceableEngine& engine : this->pool) {
            if (engine.layers.empty() && (!best || isFaster(engine, *best)))
                best = &engine;
        }
        return best;
    }

    PlaceableEngine* pickRedundant()
    {
        const auto copies = this->copies();
        PlaceableEngine* best = nullptr;
        for (PlaceableEngine& engine : this->pool) {
            if (isRedundant(engine, copies) && (!best || best->accelerator.memoryMegabytes < engine.accelerator.memoryMegabytes))
                best = &engine;
        }
        return best;
    }

    bool extendNeighbour(const LayerRange& gap, double sequences)
    {
        PlaceableEngine* best = nullptr;
        std::uint32_t bestRoom = 0;
        for (PlaceableEngine& engine : this->pool) {
            const bool touches = engine.layers.last() == gap.first() || engine.layers.first() == gap.last();
            const std::uint32_t most = this->sizes.fitting(engine, sequences);
            if (engine.layers.empty() || !touches || most <= engine.layers.size())
                continue;
            if (most - engine.layers.size() > bestRoom) {
                bestRoom = most - engine.layers.size();
                best = &engine;
            }
        }
        if (!best)
            return false;
        const std::uint32_t added = std::min(gap.size(), bestRoom);
        if (best->layers.last() == gap.first())
            return this->assign(*best, LayerRange(best->layers.first(), best->layers.last() + added));
        return this->assign(*best, LayerRange(best->layers.first() - added, best->layers.last()));
    }

    LayerRange leastCovered(std::uint32_t size) const
    {
        const auto copies = this->copies();
        std::uint32_t best = 0;
        std::uint32_t bestSum = UINT32_MAX;
        for (std::uint32_t first = 0; first + size <= this->profile.layers; ++first) {
            std::uint32_t sum = 0;
            for (std::uint32_t layer = first; layer < first + size; ++layer)
                sum += copies[layer];
            // The last layers stand on the slowest engines, which need help first.
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
    for (double sequences = wantedSequences; sequences >= leastRepairSequences; sequences /= 2) {
        Repair attempt(profile, pool);
        const bool whole = attempt.fillGaps(sequences);
        if (whole) {
            attempt.useEmpty();
            return attempt.changes().empty() ? balanceLayers(profile, pool) : attempt.changes();
        }
        best = attempt.changes();
    }
    // The neighbours of a gap are full: engines farther off take layers over from them, until they can fill it.
    return best.empty() ? balanceLayers(profile, pool) : best;
}

}
