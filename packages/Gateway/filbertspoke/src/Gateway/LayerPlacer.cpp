#include <filbertspoke/Gateway>

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <utility>

namespace filbertspoke {

namespace {

// Room for KV cache beside each layer that a placement aims for, in sequences of the usual length.
constexpr double wantedSequences = 70;
// The least such room with which an engine still helps.
constexpr double leastSequences = 8;
// Engines whose steps take less than this part of the slowest one's belong to the fast part of a copy.
constexpr double fastFraction = 0.5;

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

    double megabytes(std::uint32_t layers) const { return layers * this->layer; }

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

/** \brief The largest number of sequences, up to the wanted one, with which the pool covers all layers. */
std::optional<double> sequencesThatCover(const LayerSizes& sizes, const Pool& pool, std::uint32_t layers)
{
    for (double sequences = wantedSequences; sequences >= leastSequences; sequences -= 1) {
        if (totalFitting(sizes, pool, sequences) >= layers)
            return sequences;
    }
    return std::nullopt;
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

std::vector<LayerAssignment> placeAnew(const EngineProfile& profile, Pool pool)
{
    std::vector<LayerAssignment> assignments;
    const LayerSizes sizes(profile);
    const std::optional<double> sequences = sequencesThatCover(sizes, pool, profile.layers);
    if (!sequences)
        return assignments;
    std::sort(pool.begin(), pool.end(), isFaster);
    const double slowest = pool.back().accelerator.stepFactor;
    std::uint32_t position = 0;
    std::size_t next = 0;
    for (; next < pool.size() && pool[next].accelerator.stepFactor < fastFraction * slowest && position < profile.layers; ++next) {
        const std::uint32_t size = std::min(sizes.fitting(pool[next], *sequences), profile.layers - position);
        if (size == 0)
            continue;
        assignments.push_back({ pool[next].endpoint, LayerRange(position, position + size) });
        position += size;
    }
    const Pool slow(pool.begin() + static_cast<std::ptrdiff_t>(next), pool.end());
    const std::uint32_t rest = profile.layers - position;
    if (rest == 0 || slow.empty())
        return assignments;
    const std::size_t copies = std::max<std::size_t>(1, totalFitting(sizes, slow, *sequences) / rest);
    for (const Pool& group : deal(slow, copies))
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

/** \brief Fills gaps of a pool that holds layers already. */
class Repair {
public:
    Repair(const EngineProfile& profile, Pool pool)
        : profile(profile)
        , sizes(profile)
        , pool(std::move(pool))
    {
    }

    std::vector<LayerAssignment> run()
    {
        while (true) {
            const std::vector<LayerRange> open = gaps(copiesByLayer(this->pool, this->profile.layers));
            if (open.empty() || !this->fill(open.front()))
                break;
        }
        this->useEmpty();
        return this->assignments;
    }

private:
    bool fill(const LayerRange& gap)
    {
        PlaceableEngine* engine = this->pickEmpty();
        if (!engine)
            engine = this->pickRedundant();
        if (engine) {
            const std::uint32_t size = std::min(gap.size(), this->sizes.fitting(*engine, leastSequences));
            return size > 0 && this->assign(*engine, LayerRange(gap.first(), gap.first() + size));
        }
        return this->extendNeighbour(gap);
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
        const auto copies = copiesByLayer(this->pool, this->profile.layers);
        for (PlaceableEngine& engine : this->pool) {
            if (isRedundant(engine, copies))
                return &engine;
        }
        return nullptr;
    }

    bool extendNeighbour(const LayerRange& gap)
    {
        PlaceableEngine* best = nullptr;
        std::uint32_t bestRoom = 0;
        for (PlaceableEngine& engine : this->pool) {
            const bool touches = engine.layers.last() == gap.first() || engine.layers.first() == gap.last();
            const std::uint32_t most = this->sizes.fitting(engine, leastSequences);
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

    /** \brief Gives engines that hold nothing the layers with the fewest copies. */
    void useEmpty()
    {
        const auto open = gaps(copiesByLayer(this->pool, this->profile.layers));
        while (PlaceableEngine* engine = open.empty() ? this->pickEmpty() : nullptr) {
            const std::uint32_t size = std::min(this->profile.layers, this->sizes.fitting(*engine, wantedSequences));
            if (size == 0)
                return;
            const auto copies = copiesByLayer(this->pool, this->profile.layers);
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
            this->assign(*engine, LayerRange(best, best + size));
        }
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
        const auto changes = fresh ? placeAnew(profile, pool) : Repair(profile, pool).run();
        assignments.insert(assignments.end(), changes.begin(), changes.end());
    }
    return assignments;
}

}
