#include <filbertspoke/Gateway>

#include "internal/LayerLane.h"
#include "internal/LayerPool.h"
#include "internal/LayerRepair.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>

namespace filbertspoke {

namespace {

using internal::isFaster;
using internal::Lane;
using internal::laneSequences;
using internal::LaneStage;
using internal::laneThroughput;
using internal::LayerSizes;
using internal::leastSequences;
using internal::Pool;
using internal::spreadEvenly;

// Engines whose steps take less than this part of the slowest one's belong to the fast part of a copy.
constexpr double fastFraction = 0.5;

// The most sequences that a search for a placement considers, and its step.
constexpr double maximumSequences = 400;
constexpr double sequencesStep = 4;

std::uint32_t totalFitting(const LayerSizes& sizes, const Pool& pool, double sequences)
{
    std::uint32_t total = 0;
    for (const PlaceableEngine& engine : pool)
        total += sizes.fitting(engine, sequences);
    return total;
}

/** \brief Deals engines out to \a count groups with memory as even as can be. */
std::vector<Pool> deal(const Pool& engines, std::size_t count)
{
    std::vector<Pool> groups(count);
    std::vector<double> memory(count, 0);
    for (const PlaceableEngine& engine : engines) {
        const auto least = static_cast<std::size_t>(std::min_element(memory.begin(), memory.end()) - memory.begin());
        groups[least].push_back(engine);
        memory[least] += engine.accelerator.memoryMegabytes;
    }
    return groups;
}

/** \brief One way to place a pool anew, and what it is expected to carry. */
struct Draft {
    std::vector<Lane> lanes;
    double sequencesPerMs = 0; ///< that begin and end in a steady state
};

void add(Draft& draft, Lane lane, double sequencesPerMs)
{
    draft.lanes.push_back(std::move(lane));
    draft.sequencesPerMs += sequencesPerMs;
}

/** \returns the best number of whole copies on the engines, or nothing when they can't hold one */
Draft wholeCopies(const EngineProfile& profile, const LayerSizes& sizes, const Pool& engines)
{
    Draft best;
    const std::size_t most = totalFitting(sizes, engines, leastSequences) / profile.layers;
    for (std::size_t copies = 1; copies <= most; ++copies) {
        Draft draft;
        for (const Pool& group : deal(engines, copies)) {
            Lane lane = spreadEvenly(sizes, group, LayerRange(0, profile.layers));
            const double sequences = laneSequences(profile, lane);
            const double perMs = sequences >= leastSequences ? laneThroughput(profile, lane, sequences, 0, 1) : 0;
            if (perMs > 0)
                add(draft, std::move(lane), perMs);
        }
        if (draft.sequencesPerMs > best.sequencesPerMs)
            best = std::move(draft);
    }
    return best;
}

/** \brief Searches for the best placement of an empty pool: a lane that the fastest engines begin, whose last layers
 * slower ones hold, and whole copies on the engines that it leaves. */
class DraftSearch {
public:
    DraftSearch(const EngineProfile& profile, Pool engines)
        : profile(profile)
        , sizes(profile)
        , pool(std::move(engines))
    {
        std::sort(this->pool.begin(), this->pool.end(), isFaster);
    }

    Draft run()
    {
        for (double sequences = leastSequences; sequences <= maximumSequences; sequences += sequencesStep)
            this->tryFastPart(sequences);
        return this->best;
    }

private:
    bool isFast(std::size_t index) const { return this->pool[index].accelerator.stepFactor < fastFraction * this->pool.back().accelerator.stepFactor; }

    void tryFastPart(double sequences)
    {
        Lane fast;
        std::uint32_t position = 0;
        while (fast.size() < this->pool.size() && this->isFast(fast.size()) && position < this->profile.layers) {
            const PlaceableEngine& engine = this->pool[fast.size()];
            const std::uint32_t size = std::min(this->sizes.fitting(engine, sequences), this->profile.layers - position);
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

    /** \brief Deals all slow engines out to copies of the last layers. */
    void tryAllOnTail(const Lane& fast, const LayerRange& rest, std::size_t copies, double sequences)
    {
        const Pool slow(this->pool.begin() + static_cast<std::ptrdiff_t>(fast.size()), this->pool.end());
        std::vector<Lane> tails;
        for (const Pool& group : deal(slow, copies))
            tails.push_back(spreadEvenly(this->sizes, group, rest));
        this->consider(fast, tails, this->pool.size(), sequences);
    }

    /** \brief Takes as few slow engines for the last layers as hold them with the room that the fast ones leave.
     * \returns whether there are enough */
    bool tryShortTail(const Lane& fast, const LayerRange& rest, std::size_t copies, double sequences)
    {
        std::vector<Lane> tails;
        std::size_t used = fast.size();
        for (std::size_t copy = 0; copy < copies; ++copy) {
            Pool group;
            while (totalFitting(this->sizes, group, sequences / static_cast<double>(copies)) < rest.size()) {
                if (used == this->pool.size())
                    return false;
                group.push_back(this->pool[used++]);
            }
            tails.push_back(spreadEvenly(this->sizes, group, rest));
        }
        this->consider(fast, tails, used, sequences);
        return true;
    }

    /** \brief Rates a lane with its last layers, and whole copies on the engines from \a used on. */
    void consider(const Lane& fast, const std::vector<Lane>& tails, std::size_t used, double sequences)
    {
        Lane lane = fast;
        double room = fast.empty() ? maximumSequences : sequences;
        double tailRoom = 0;
        for (const Lane& tail : tails)
            tailRoom += laneSequences(this->profile, tail);
        if (!tails.empty()) {
            lane.insert(lane.end(), tails.front().begin(), tails.front().end());
            room = std::min(room, tailRoom);
            if (tailRoom < leastSequences * static_cast<double>(tails.size()))
                return;
        }
        if (this->profile.slots > 0)
            room = std::min(room, static_cast<double>(this->profile.slots));
        const double perMs = laneThroughput(this->profile, lane, room, fast.size(), std::max(1.0, static_cast<double>(tails.size())));
        if (perMs <= 0)
            return;
        const Draft& others = this->copiesBehind(used);
        if (perMs + others.sequencesPerMs <= this->best.sequencesPerMs)
            return;
        this->best = others;
        add(this->best, std::move(lane), perMs);
        if (!tails.empty())
            this->best.lanes.insert(this->best.lanes.end(), tails.begin() + 1, tails.end());
    }

    const Draft& copiesBehind(std::size_t used)
    {
        auto entry = this->copies.find(used);
        if (entry == this->copies.end()) {
            const Pool rest(this->pool.begin() + static_cast<std::ptrdiff_t>(used), this->pool.end());
            entry = this->copies.emplace(used, wholeCopies(this->profile, this->sizes, rest)).first;
        }
        return entry->second;
    }

    const EngineProfile& profile;
    const LayerSizes sizes;
    Pool pool; ///< in order of speed
    std::map<std::size_t, Draft> copies; ///< of whole copies on the engines from an index on
    Draft best;
};

std::vector<LayerAssignment> placeAnew(const EngineProfile& profile, const Pool& pool)
{
    std::vector<LayerAssignment> assignments;
    for (const Lane& lane : DraftSearch(profile, pool).run().lanes) {
        for (const LaneStage& stage : lane) {
            if (!stage.layers.empty())
                assignments.push_back({ stage.engine.endpoint, stage.layers });
        }
    }
    return assignments;
}

/** \brief Failure domains that can hold a copy stand alone; the others are taken together. */
std::vector<Pool> poolsOf(const EngineProfile& profile, const std::vector<PlaceableEngine>& engines)
{
    std::map<FailureDomainId, Pool> byDomain;
    for (const PlaceableEngine& engine : engines)
        byDomain[engine.failureDomain].push_back(engine);
    const LayerSizes sizes(profile);
    std::vector<Pool> pools;
    Pool together;
    for (auto& [domain, pool] : byDomain) {
        if (totalFitting(sizes, pool, leastSequences) >= profile.layers)
            pools.push_back(std::move(pool));
        else
            together.insert(together.end(), pool.begin(), pool.end());
    }
    if (!together.empty())
        pools.push_back(std::move(together));
    return pools;
}

}

std::vector<LayerAssignment> placeLayers(const EngineProfile& profile, const std::vector<PlaceableEngine>& engines)
{
    std::vector<LayerAssignment> assignments;
    for (Pool& pool : poolsOf(profile, engines)) {
        const bool fresh = std::all_of(pool.begin(), pool.end(), [](const PlaceableEngine& engine) { return engine.layers.empty(); });
        const auto changes = fresh ? placeAnew(profile, pool) : internal::repairLayers(profile, pool);
        assignments.insert(assignments.end(), changes.begin(), changes.end());
    }
    return assignments;
}

}
