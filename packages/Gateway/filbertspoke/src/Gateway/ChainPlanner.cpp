#include <filbertspoke/Gateway>

#include "internal/StageTimes.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <map>
#include <set>
#include <utility>

namespace filbertspoke {

namespace {

constexpr double bitsPerByte = 8;
// Longest chain that engines accept.
constexpr std::size_t maximumStages = 32;
// Cost of a full engine relative to an empty one, minus 1. It spreads load over the engines before queues build up.
constexpr double crowdingFactor = 2;
constexpr double crowdingExponent = 6;
// Weight of the transfer time on a link between failure domains. The link is shared, and other generations wait for the transfer.
constexpr double crossingCostFactor = 10;

// Penalty for a chain whose first engine is in another failure domain than the daemon: its events cross the link between the domains,
// and the load information about that domain is older.
constexpr double remoteChainPenaltyMs = 800;

// Share of the link rate for the average traffic of generations; the rest absorbs bursts from their prompts.
constexpr double linkUtilizationLimit = 0.6;
// Duration of a generation of usual length.
constexpr double usualGenerationSeconds = 2.5;

/** \returns the time in ms to transfer the activations of \a tokens between failure domains, without the propagation delay */
double crossingMs(const EngineProfile& profile, double tokens)
{
    if (profile.crossDomainMegabitsPerSecond <= 0)
        return 0;
    return tokens * profile.activationBytes * bitsPerByte / (profile.crossDomainMegabitsPerSecond * 1000);
}

using internal::hopOverheadMs;
using internal::stageTimes;
using internal::StageTimes;

/** \brief Cheapest partial chain that ends at a layer boundary in a failure domain. */
struct Label {
    double cost = std::numeric_limits<double>::infinity();
    double firstTokenMs = 0;
    double perTokenMs = 0;
    std::size_t candidate = 0;
    std::uint32_t previousLayer = 0;
    FailureDomainId previousDomain;
};

/** \brief Shortest-path search over pairs of a layer boundary and a failure domain. */
class Search {
public:
    Search(const EngineProfile& profile, const std::vector<StageCandidate>& candidates, const ChainRequest& request)
        : profile(profile)
        , candidates(candidates)
        , request(request)
        , labels(profile.layers + 1)
    {
        for (const StageCandidate& candidate : candidates)
            this->boundaries.insert(candidate.layers.first());
        this->boundaries.insert(profile.layers);
    }

    /** \brief Makes the engine run all its layers from the boundary where the chain enters it, so that the chain can't use it twice. */
    void forbidSplit(std::size_t candidate) { this->unsplit.insert(candidate); }

    void run()
    {
        Label start;
        start.cost = 0;
        this->labels[0].emplace(this->request.origin, start);
        for (std::uint32_t layer = 0; layer < this->profile.layers; ++layer) {
            if (this->labels[layer].empty())
                continue;
            for (std::size_t index = 0; index < this->candidates.size(); ++index)
                this->extend(layer, index);
        }
    }

    /** \brief Sets the latencies of \a chain to those of the best chain.
     * \returns the indices of its candidates with their layers, in layer order; empty when there is no chain */
    std::vector<std::pair<std::size_t, LayerRange>> best(LayerChain& chain) const
    {
        const auto& ends = this->labels[this->profile.layers];
        const auto end = std::min_element(ends.begin(), ends.end(), [](const auto& a, const auto& b) { return a.second.cost < b.second.cost; });
        std::vector<std::pair<std::size_t, LayerRange>> stages;
        if (end == ends.end())
            return stages;
        chain.firstToken = std::chrono::microseconds(static_cast<std::int64_t>(end->second.firstTokenMs * 1000));
        chain.perToken = std::chrono::microseconds(static_cast<std::int64_t>(end->second.perTokenMs * 1000));
        std::uint32_t layer = this->profile.layers;
        const Label* label = &end->second;
        while (layer > 0) {
            stages.emplace_back(label->candidate, LayerRange(label->previousLayer, layer));
            layer = label->previousLayer;
            label = &this->labels[layer].at(label->previousDomain);
        }
        std::reverse(stages.begin(), stages.end());
        return stages;
    }

private:
    bool mayBegin(const StageCandidate& candidate) const
    {
        return candidate.acceptsRequests && (this->request.firstStages.empty() || this->request.firstStages.contains(candidate.endpoint));
    }

    void extend(std::uint32_t layer, std::size_t index)
    {
        const StageCandidate& candidate = this->candidates[index];
        if (candidate.layers.first() > layer || candidate.layers.last() <= layer || (layer == 0 && !this->mayBegin(candidate)))
            return;
        this->relax(layer, candidate.layers.last(), index);
        if (this->unsplit.contains(index))
            return;
        for (auto end = this->boundaries.upper_bound(layer); end != this->boundaries.end() && *end < candidate.layers.last(); ++end)
            this->relax(layer, *end, index);
    }

    void relax(std::uint32_t from, std::uint32_t to, std::size_t index)
    {
        const StageCandidate& candidate = this->candidates[index];
        const double need = (this->request.promptTokens + this->request.outputTokens) * (to - from);
        const double capacityTokenLayers = std::max(1.0, kvCapacity(this->profile, candidate.accelerator, candidate.layers));
        if (requiredTokenLayers(need, capacityTokenLayers, this->request.reservedShare) > candidate.freeTokenLayers)
            return;
        if (from == 0 && this->profile.slots > 0 && candidate.sequences >= usableSlots(this->profile.slots, this->request.reservedShare))
            return;
        const StageTimes times = stageTimes(this->profile, candidate, this->request.promptTokens, this->request.outputTokens, to - from);
        const double used = 1 - std::min(1.0, (candidate.freeTokenLayers - need) / capacityTokenLayers);
        const double crowding = 1 + crowdingFactor * std::pow(used, crowdingExponent);
        const double weight = crowding * (1 + candidate.draw * candidate.spread);
        for (const auto& [domain, label] : this->labels[from]) {
            const bool crosses = from > 0 && domain != candidate.failureDomain;
            if (crosses && this->request.fullLinks.contains(DomainLink(domain, candidate.failureDomain)))
                continue;
            const double crossingPrefillMs = crosses ? crossingMs(this->profile, this->request.promptTokens) + this->profile.crossDomainDelayMs : 0;
            const double crossingStepMs = crosses ? crossingMs(this->profile, 1) + this->profile.crossDomainDelayMs : 0;
            Label next;
            next.firstTokenMs = label.firstTokenMs + times.prefillMs + hopOverheadMs + crossingPrefillMs;
            next.perTokenMs = label.perTokenMs + times.stepMs + hopOverheadMs + crossingStepMs;
            const double stageCost = times.prefillMs + hopOverheadMs + this->request.outputTokens * (times.stepMs + hopOverheadMs);
            const double crossingCost = crossingPrefillMs + this->request.outputTokens * crossingStepMs;
            const double remotePenalty = from == 0 && this->request.origin != candidate.failureDomain ? remoteChainPenaltyMs : 0;
            next.cost = label.cost + weight * stageCost + crossingCostFactor * crossingCost + remotePenalty;
            next.candidate = index;
            next.previousLayer = from;
            next.previousDomain = domain;
            Label& incumbent = this->labels[to][candidate.failureDomain];
            if (next.cost < incumbent.cost)
                incumbent = next;
        }
    }

    const EngineProfile& profile;
    const std::vector<StageCandidate>& candidates;
    const ChainRequest& request;
    std::vector<std::map<FailureDomainId, Label>> labels; ///< by layer boundary
    std::set<std::uint32_t> boundaries; ///< where a stage may end before the last layer of its engine
    std::set<std::size_t> unsplit; ///< candidates that must run all their layers
};

}

double linkCapacity(const EngineProfile& profile)
{
    const double megabits = (profile.usualPromptTokens + profile.usualOutputTokens) * profile.activationBytes * bitsPerByte / 1e6;
    if (megabits <= 0 || profile.crossDomainMegabitsPerSecond <= 0)
        return std::numeric_limits<double>::infinity();
    return linkUtilizationLimit * profile.crossDomainMegabitsPerSecond * usualGenerationSeconds / megabits;
}

std::optional<LayerChain> planLayerChain(const EngineProfile& profile, const std::vector<StageCandidate>& candidates, const ChainRequest& request)
{
    if (profile.layers == 0)
        return std::nullopt;
    std::set<std::size_t> unsplit;
    // Each repeated round forbids splitting at least one more engine, so that the loop terminates.
    for (std::size_t round = 0; round <= candidates.size(); ++round) {
        Search search(profile, candidates, request);
        for (const std::size_t index : unsplit)
            search.forbidSplit(index);
        search.run();
        LayerChain chain;
        const auto stages = search.best(chain);
        if (stages.empty() || stages.size() > maximumStages)
            return std::nullopt;
        std::set<std::size_t> seen;
        std::optional<std::size_t> previous;
        bool repeated = false;
        for (const auto& [index, layers] : stages) {
            if (!seen.insert(index).second) {
                unsplit.insert(index);
                repeated = true;
            }
            if (previous && candidates[*previous].failureDomain != candidates[index].failureDomain)
                chain.crossings.emplace_back(candidates[*previous].failureDomain, candidates[index].failureDomain);
            previous = index;
            chain.stages.push_back({ candidates[index].endpoint, layers });
        }
        if (repeated)
            continue;
        chain.perEvent = chain.perToken * profile.tokensPerEvent;
        chain.tokens = request.promptTokens + request.outputTokens;
        chain.spread = candidates[stages.front().first].spread;
        return chain;
    }
    return std::nullopt;
}

std::optional<LayerChain> planAroundRefusals(const EngineProfile& profile, const std::vector<StageCandidate>& candidates, const ChainRequest& request)
{
    std::vector<StageCandidate> others;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(others), [](const StageCandidate& candidate) { return !candidate.refusing; });
    auto chain = planLayerChain(profile, others, request);
    return chain || others.size() == candidates.size() ? chain : planLayerChain(profile, candidates, request);
}

double kvCapacity(const EngineProfile& profile, const AcceleratorProfile& accelerator, LayerRange held)
{
    return (accelerator.memoryMegabytes - held.size() * profile.layerMegabytes) / profile.kvMegabytesPerTokenLayer();
}

}
