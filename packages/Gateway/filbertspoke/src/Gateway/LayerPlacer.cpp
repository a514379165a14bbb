#include <filbertspoke/Gateway>

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <utility>

namespace filbertspoke {

namespace {

// Room for KV cache beside each layer that a placement aims for, in sequences of the usual length.
constexpr double wantedSequences = 80;
// The least such room with which an engine still helps.
constexpr double leastSequences = 8;
// Room below which a gap is better left to chains through other failure domains than filled.
constexpr double leastRepairSequences = 20;
// Engines whose steps take less than this part of the slowest one's belong to the fast part of a copy.
constexpr double fastFraction = 0.5;

// The most sequences that a search for a placement considers, and its step.
constexpr double maximumSequences = 400;
constexpr double sequencesStep = 4;
// Time that each further engine of a chain adds to a token: handing over, and waiting for the pass in progress.
constexpr double stageOverheadMs = 0.6;
// Engines in one chain that a placement may lead to; the longest path that engines accept is somewhat longer.
constexpr double maximumStages = 24;
// A boundary moves when the engine that takes a layer over still has so many times the room of the other.
constexpr double balanceFactor = 1.3;

using Pool = std::vector<PlaceableEngine>;

/** \brief Sizes of layers and KV cache, in megabytes. */
class LayerSizes {
public:
    explicit LayerSizes(const EngineProfile& profile)
        : layer(profile.layerMegabytes)
        , sequence((profile.usualPromptTokens + profile.usualOutputTokens) * profile.kvMegabytesPerTokenLayer())
    {
    }

    /** \returns how many layers fit beside KV cache for \a sequences */
    std::uint32_t fitting(const PlaceableEngine& engine, double sequences) const
    {
        return static_cast<std::uint32_t>(engine.accelerator.memoryMegabytes / (this->layer + sequences * this->sequence));
    }

    /** \returns for how many sequences there is KV cache where so many megabytes stand behind each layer */
    double sequences(double megabytesPerLayer) const { return (megabytesPerLayer - this->layer) / this->sequence; }

    /** \returns the megabytes of KV cache for each of \a layers layers that the engine has room for */
    double room(const PlaceableEngine& engine, std::uint32_t layers) const
    {
        return layers == 0 ? 0 : engine.accelerator.memoryMegabytes / layers - this->layer;
    }

private:
    double layer;
    double sequence;
};

bool isFaster(const PlaceableEngine& a, const PlaceableEngine& b)
{
    if (a.accelerator.stepFactor != b.accelerator.stepFactor)
        return a.accelerator.stepFactor < b.accelerator.stepFactor;
    if (a.accelerator.memoryMegabytes != b.accelerator.memoryMegabytes)
        return a.accelerator.memoryMegabytes > b.accelerator.memoryMegabytes;
    return a.endpoint < b.endpoint;
}

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

std::vector<std::uint32_t> copiesByLayer(const Pool& pool, std::uint32_t layers)
{
    std::vector<std::uint32_t> copies(layers, 0);
    for (const PlaceableEngine& engine : pool) {
        for (std::uint32_t layer = engine.layers.first(); layer < std::min(engine.layers.last(), layers); ++layer)
            ++copies[layer];
    }
    return copies;
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

/** \brief Repairs a pool, with as much room left at every engine as can be. */
std::vector<LayerAssignment> repair(const EngineProfile& profile, const Pool& pool)
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
        const auto changes = fresh ? placeAnew(profile, pool) : repair(profile, pool);
        assignments.insert(assignments.end(), changes.begin(), changes.end());
    }
    return assignments;
}

}
