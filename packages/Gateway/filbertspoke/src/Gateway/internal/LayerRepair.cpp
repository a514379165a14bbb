#include "LayerRepair.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace filbertspoke::internal {

namespace {

// Room below which a gap is better left to chains through other failure domains than filled.
constexpr double leastRepairSequences = 20;
// A boundary moves when the engine that takes a layer over still has so many times the room of the other.
constexpr double balanceFactor = 1.3;

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

    /** \brief Moves one boundary between engines of which one is much shorter of room than the other: the roomier one
     * takes layers over first, and in a later call the other one gives them up. */
    void balance()
    {
        if (this->giveUpOverlap())
            return;
        PlaceableEngine* tight = this->tightest();
        if (!tight || tight->layers.size() < 2 || this->isRoomy(*tight))
            return;
        for (PlaceableEngine& engine : this->pool) {
            if (engine.layers.empty() || &engine == tight)
                continue;
            const bool before = engine.layers.last() == tight->layers.first();
            const bool behind = engine.layers.first() == tight->layers.last();
            const double shared = this->sizes.room(engine, engine.layers.size() + 1);
            if ((!before && !behind) || shared < balanceFactor * this->sizes.room(*tight, tight->layers.size()))
                continue;
            const std::uint32_t added = this->evenShare(engine, *tight);
            const LayerRange grown = before ? LayerRange(engine.layers.first(), engine.layers.last() + added) : LayerRange(engine.layers.first() - added, engine.layers.last());
            this->assign(engine, grown);
            return;
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

    /** \returns how many layers the roomy engine takes over so that both have about the same room; at least one */
    std::uint32_t evenShare(const PlaceableEngine& roomy, const PlaceableEngine& tight) const
    {
        const double memory = roomy.accelerator.memoryMegabytes + tight.accelerator.memoryMegabytes;
        const double even = (roomy.layers.size() + tight.layers.size()) * roomy.accelerator.memoryMegabytes / memory;
        const double added = std::min<double>(even - roomy.layers.size(), tight.layers.size() - 1);
        return static_cast<std::uint32_t>(std::max(1.0, std::floor(added)));
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

    bool isRoomy(const PlaceableEngine& engine) const
    {
        return this->sizes.sequences(engine.accelerator.memoryMegabytes / engine.layers.size()) >= wantedSequences;
    }

    /** \returns the engine with the least room that no other engine relieves */
    PlaceableEngine* tightest()
    {
        const auto copies = this->copies();
        PlaceableEngine* best = nullptr;
        for (PlaceableEngine& engine : this->pool) {
            if (engine.layers.empty() || isRedundant(engine, copies))
                continue;
            if (!best || this->sizes.room(engine, engine.layers.size()) < this->sizes.room(*best, best->layers.size()))
                best = &engine;
        }
        return best;
    }

    /** \brief Takes layers that a neighbour holds as well from the engine with the least room. */
    bool giveUpOverlap()
    {
        PlaceableEngine* tight = this->tightest();
        if (!tight || this->isRoomy(*tight))
            return false;
        const auto copies = this->copies();
        std::uint32_t first = tight->layers.first();
        std::uint32_t last = tight->layers.last();
        while (first < last && copies[first] > 1)
            ++first;
        while (last > first && copies[last - 1] > 1)
            --last;
        const LayerRange kept(first, last);
        return !kept.empty() && kept != tight->layers && this->assign(*tight, kept);
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
            if (attempt.changes().empty())
                attempt.balance();
            return attempt.changes();
        }
        best = attempt.changes();
    }
    // The neighbours of a gap are full: engines farther off take layers over from them, until they can fill it.
    if (best.empty()) {
        Repair attempt(profile, pool);
        attempt.balance();
        return attempt.changes();
    }
    return best;
}

}
