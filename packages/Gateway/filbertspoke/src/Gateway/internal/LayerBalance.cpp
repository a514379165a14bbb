#include "LayerBalance.h"
#include "LayerLane.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <numeric>
#include <tuple>

namespace filbertspoke::internal {

namespace {

// Boundaries move when the engine with the least room gains so many times its room.
constexpr double balanceFactor = 1.3;
// Engines that hold fewer layers than so many copies of the model are evened out as one lane; with more, those that
// share a lane with the one that has the least room.
constexpr std::uint32_t severalCopies = 2;

class Balance {
public:
    Balance(const EngineProfile& profile, const Pool& pool)
        : profile(profile)
        , sizes(profile)
        , pool(pool)
        , oneLane(std::accumulate(pool.begin(), pool.end(), 0U, [](std::uint32_t sum, const PlaceableEngine& engine) { return sum + engine.layers.size(); }) < severalCopies * profile.layers)
    {
    }

    std::vector<LayerAssignment> run() const
    {
        const PlaceableEngine* tight = this->tightest();
        if (!tight || this->sequences(*tight, tight->layers.size()) >= wantedSequences)
            return {};
        const Pool engines = this->oneLane ? this->inOrder() : this->laneThrough(*tight);
        const bool changing = std::any_of(engines.begin(), engines.end(), [](const PlaceableEngine& engine) { return engine.changing; });
        const Lane target = spreadEvenly(this->sizes, engines, LayerRange(0, this->profile.layers));
        const bool whole = std::none_of(target.begin(), target.end(), [](const LaneStage& stage) { return stage.layers.empty(); });
        if (changing || !whole || this->leastRoom(target) < balanceFactor * std::max(1.0, this->sequences(*tight, tight->layers.size())))
            return {};
        std::vector<LayerAssignment> assignments;
        for (const LaneStage& stage : target) {
            const LayerRange next = this->stepTowards(target, stage);
            if (next != stage.engine.layers)
                assignments.push_back({ stage.engine.endpoint, next });
        }
        return assignments;
    }

private:
    double sequences(const PlaceableEngine& engine, std::uint32_t layers) const { return this->sizes.sequences(engine.accelerator.memoryMegabytes / layers); }

    double leastRoom(const Lane& lane) const
    {
        double least = std::numeric_limits<double>::infinity();
        for (const LaneStage& stage : lane)
            least = std::min(least, this->sequences(stage.engine, stage.layers.size()));
        return least;
    }

    /** \returns the engine with the least room that no other engine relieves */
    const PlaceableEngine* tightest() const
    {
        const auto copies = copiesByLayer(this->pool, this->profile.layers);
        const PlaceableEngine* best = nullptr;
        for (const PlaceableEngine& engine : this->pool) {
            if (engine.layers.empty() || (!this->oneLane && isRedundant(engine, copies)))
                continue;
            if (!best || this->sequences(engine, engine.layers.size()) < this->sequences(*best, best->layers.size()))
                best = &engine;
        }
        return best;
    }

    /** \returns all engines that hold layers, in the order of these */
    Pool inOrder() const
    {
        Pool lane;
        std::copy_if(this->pool.begin(), this->pool.end(), std::back_inserter(lane), [](const PlaceableEngine& engine) { return !engine.layers.empty(); });
        std::sort(lane.begin(), lane.end(), [](const PlaceableEngine& a, const PlaceableEngine& b) { return std::tie(a.layers, a.endpoint) < std::tie(b.layers, b.endpoint); });
        return lane;
    }

    /** \returns engines from the first layer to the last, among them \a tight, in the order of what they hold */
    Pool laneThrough(const PlaceableEngine& tight) const
    {
        Pool lane;
        std::uint32_t position = 0;
        while (position < this->profile.layers) {
            const PlaceableEngine* next = nullptr;
            for (const PlaceableEngine& engine : this->pool) {
                if (engine.layers.first() > position || engine.layers.last() <= position)
                    continue;
                if (&engine == &tight || !next || (next != &tight && engine.layers.last() > next->layers.last()))
                    next = &engine;
            }
            if (next)
                lane.push_back(*next);
            position = next ? next->layers.last() : position + 1;
        }
        return lane;
    }

    static bool ownerHolds(const Lane& target, std::uint32_t layer)
    {
        return std::any_of(target.begin(), target.end(), [layer](const LaneStage& stage) {
            const LayerRange& held = stage.engine.layers;
            return stage.layers.first() <= layer && layer < stage.layers.last() && held.first() <= layer && layer < held.last();
        });
    }

    /** \returns what the engine can hold next on its way to what the target gives it */
    LayerRange stepTowards(const Lane& target, const LaneStage& stage) const
    {
        std::uint32_t first = stage.engine.layers.first();
        std::uint32_t last = stage.engine.layers.last();
        while (first < std::min(last, stage.layers.first()) && ownerHolds(target, first))
            ++first;
        while (last > std::max(first, stage.layers.last()) && ownerHolds(target, last - 1))
            --last;
        const std::uint32_t most = this->sizes.fittingInUse(stage.engine, leastRepairSequences);
        while (last - first < most && first > stage.layers.first())
            --first;
        while (last - first < most && last < stage.layers.last())
            ++last;
        return LayerRange(first, last);
    }

    const EngineProfile& profile;
    LayerSizes sizes;
    const Pool& pool;
    const bool oneLane;
};

}

std::vector<LayerAssignment> balanceLayers(const EngineProfile& profile, const Pool& pool)
{
    return Balance(profile, pool).run();
}

}
