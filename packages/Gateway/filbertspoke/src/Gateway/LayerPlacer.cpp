#include <filbertspoke/Gateway>

#include "internal/LayerPool.h"
#include "internal/LayerRepair.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <utility>

namespace filbertspoke {

namespace {

using internal::isFaster;
using internal::LayerSizes;
using internal::leastSequences;
using internal::Pool;

// Engines whose steps take less than this part of the slowest one's belong to the fast part of a copy.
constexpr double fastFraction = 0.5;

// The most sequences that a search for a placement considers, and its step.
constexpr double maximumSequences = 400;
constexpr double sequencesStep = 4;
// Time that each further engine of a chain adds to a token: handing over, and waiting for the pass in progress.
constexpr double stageOverheadMs = 0.6;
// Engines in one chain that a placement may lead to; the longest path that engines accept is somewhat longer.
constexpr double maximumStages = 24;

std::uint32_t totalFitting(const LayerSizes& sizes, const Pool& pool, double sequences)
{
    std::uint32_t total = 0;
    for (const PlaceableEngine& engine : pool)
        total += sizes.fitting(engine, sequences);
    return total;
}

/** \brief Gives the layers [first, last) to engines in proportion to their memory, none more than it can hold. */
void spread(const LayerSizes& sizes, const Pool& engines, LayerRange layers, std::vector<LayerAssignment>& assignments)
{
    double memoryLeft = 0;
    for (const PlaceableEngine& engine : engines)
        memoryLeft += engine.accelerator.memoryMegabytes;
    std::uint32_t position = layers.first();
    for (const PlaceableEngine& engine : engines) {
        const std::uint32_t remaining = layers.last() - position;
        if (remaining == 0)
            return;
        const double share = engine.accelerator.memoryMegabytes / memoryLeft;
        const auto wanted = static_cast<std::uint32_t>(std::lround(remaining * share));
        const std::uint32_t size = std::min({ std::max(1U, wanted), remaining, sizes.fitting(engine, leastSequences) });
        if (size > 0)
            assignments.push_back({ engine.endpoint, LayerRange(position, position + size) });
        position += size;
        memoryLeft -= engine.accelerator.memoryMegabytes;
    }
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
    double sequences = 0; ///< for which the fast engines leave room
    std::size_t fastEngines = 0; ///< of the pool in order of speed; they hold the first layers
    std::uint32_t fastLayers = 0;
    std::size_t copies = 1; ///< of the other layers, on the other engines
    double sequencesPerMs = 0; ///< that begin and end in a steady state
};

double stepMs(const EngineProfile& profile, const PlaceableEngine& engine, double layers, double batch)
{
    const double context = profile.stepMsPerThousandContextTokens * (profile.usualPromptTokens + profile.usualOutputTokens / 2) / 1000;
    return layers / profile.layers * engine.accelerator.stepFactor * (profile.stepMs + batch * (profile.stepMsPerSequence + context));
}

/** \brief Works out the draft's throughput: sequences that find room, over the time that each of them stays. */
void rate(const EngineProfile& profile, const LayerSizes& sizes, const Pool& pool, Draft& draft)
{
    double perToken = 0;
    for (std::size_t index = 0; index < draft.fastEngines; ++index) {
        const double layers = sizes.fitting(pool[index], draft.sequences);
        perToken += stepMs(profile, pool[index], layers, draft.sequences / static_cast<double>(pool.size())) + stageOverheadMs;
    }
    double carried = draft.fastEngines > 0 ? draft.sequences : maximumSequences;
    const std::uint32_t rest = profile.layers - draft.fastLayers;
    if (rest > 0) {
        double memory = 0;
        for (std::size_t index = draft.fastEngines; index < pool.size(); ++index)
            memory += pool[index].accelerator.memoryMegabytes;
        const auto copies = static_cast<double>(draft.copies);
        const double stages = static_cast<double>(pool.size() - draft.fastEngines) / copies;
        const double perCopy = sizes.sequences(memory / copies / rest);
        carried = std::min(carried, copies * perCopy);
        perToken += stepMs(profile, pool.back(), rest, carried / copies / stages) + stages * stageOverheadMs;
        if (perCopy < leastSequences || static_cast<double>(draft.fastEngines) + stages > maximumStages)
            return;
    }
    carried = std::min(carried, static_cast<double>(std::max(1U, profile.slots)));
    draft.sequencesPerMs = carried / (profile.usualPromptTokens / profile.prefillTokensPerMs + profile.usualOutputTokens * perToken);
}

Draft bestDraft(const EngineProfile& profile, const LayerSizes& sizes, const Pool& pool)
{
    const double slowest = pool.back().accelerator.stepFactor;
    Draft best;
    for (double sequences = leastSequences; sequences <= maximumSequences; sequences += sequencesStep) {
        Draft draft;
        draft.sequences = sequences;
        while (draft.fastEngines < pool.size() && pool[draft.fastEngines].accelerator.stepFactor < fastFraction * slowest && draft.fastLayers < profile.layers) {
            draft.fastLayers = std::min(profile.layers, draft.fastLayers + sizes.fitting(pool[draft.fastEngines], sequences));
            ++draft.fastEngines;
        }
        const std::size_t slow = pool.size() - draft.fastEngines;
        if (slow == 0 && draft.fastLayers < profile.layers)
            continue;
        for (draft.copies = 1; draft.copies <= std::max<std::size_t>(1, slow); ++draft.copies) {
            draft.sequencesPerMs = 0;
            rate(profile, sizes, pool, draft);
            if (draft.sequencesPerMs > best.sequencesPerMs)
                best = draft;
        }
    }
    return best;
}

std::vector<LayerAssignment> placeAnew(const EngineProfile& profile, Pool pool)
{
    std::vector<LayerAssignment> assignments;
    const LayerSizes sizes(profile);
    std::sort(pool.begin(), pool.end(), isFaster);
    const Draft draft = bestDraft(profile, sizes, pool);
    if (draft.sequencesPerMs <= 0)
        return assignments;
    std::uint32_t position = 0;
    for (std::size_t index = 0; index < draft.fastEngines; ++index) {
        const std::uint32_t size = std::min(sizes.fitting(pool[index], draft.sequences), profile.layers - position);
        if (size > 0)
            assignments.push_back({ pool[index].endpoint, LayerRange(position, position + size) });
        position += size;
    }
    const Pool slow(pool.begin() + static_cast<std::ptrdiff_t>(draft.fastEngines), pool.end());
    if (position == profile.layers || slow.empty())
        return assignments;
    for (const Pool& group : deal(slow, draft.copies))
        spread(sizes, group, LayerRange(position, profile.layers), assignments);
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
