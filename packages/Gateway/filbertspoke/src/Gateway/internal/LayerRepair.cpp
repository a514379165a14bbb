#include "LayerRepair.h"
#include "LayerBalance.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace filbertspoke::internal {

namespace {

/** \brief How the gaps of a pool stand after a repair. */
enum class GapsLeft {
    None,
    UntilOrdersEnd, ///< engines that can fill them are relieved by orders under way
    Some, ///< no engine can fill them
};

/** \brief Changes to a pool that holds layers already. */
class Repair {
public:
    Repair(const EngineProfile& profile, Pool pool)
        : profile(profile)
        , sizes(profile)
        , pool(std::move(pool))
    {
    }

    /** \brief Fills the gaps, such that every engine that changes keeps room for so many sequences. */
    GapsLeft fillGaps(double sequences)
    {
        while (true) {
            const std::vector<LayerRange> open = gaps(this->copies());
            if (open.empty())
                return GapsLeft::None;
            PlaceableEngine* engine = this->pickEmpty();
            if (!engine)
                engine = this->pickRedundant();
            // An engine in use is not squeezed for a gap that another one can fill seconds later.
            if (!engine && this->isRelievedSoon())
                return GapsLeft::UntilOrdersEnd;
            const bool filled = engine ? this->fill(open.front(), *engine, sequences) : this->extendNeighbour(open.front(), sequences);
            if (!filled)
                return GapsLeft::Some;
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

    bool fill(const LayerRange& gap, PlaceableEngine& engine, double sequences)
    {
        const std::uint32_t most = this->sizes.fitting(engine, sequences);
        const std::uint32_t size = std::min(gap.size(), most);
        return size > 0 && this->assign(engine, size < gap.size() ? LayerRange(gap.first(), gap.first() + size) : this->widened(gap, most));
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

    /** \returns whether the engine holds its layers now; an order may be lost, and takes seconds */
    bool holds(const PlaceableEngine& engine) const
    {
        return !engine.changing && std::none_of(this->assignments.begin(), this->assignments.end(), [&](const LayerAssignment& assignment) { return assignment.endpoint == engine.endpoint; });
    }

    /** \returns whether an engine's layers will all have other holders once the orders under way are carried out */
    bool isRelievedSoon() const
    {
        const auto copies = this->copies();
        return std::any_of(this->pool.begin(), this->pool.end(), [&](const PlaceableEngine& engine) { return isRedundant(engine, copies); });
    }

    /** \returns an engine all of whose layers others hold, so that no layer is without a holder while it changes */
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

    bool extendNeighbour(const LayerRange& gap, double sequences)
    {
        PlaceableEngine* best = nullptr;
        std::uint32_t bestRoom = 0;
        for (PlaceableEngine& engine : this->pool) {
            const bool touches = engine.layers.last() == gap.first() || engine.layers.first() == gap.last();
            const std::uint32_t most = this->sizes.fittingInUse(engine, sequences);
            if (engine.changing || engine.layers.empty() || !touches || most <= engine.layers.size())
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
        const GapsLeft left = attempt.fillGaps(sequences);
        if (left == GapsLeft::UntilOrdersEnd)
            return attempt.changes();
        if (left == GapsLeft::None) {
            attempt.useEmpty();
            return attempt.changes().empty() ? balanceLayers(profile, pool) : attempt.changes();
        }
        best = attempt.changes();
    }
    // The neighbours of a gap are full: engines farther off take layers over from them, until they can fill it.
    return best.empty() ? balanceLayers(profile, pool) : best;
}

}
