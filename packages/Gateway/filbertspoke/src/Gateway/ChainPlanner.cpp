#include <filbertspoke/Gateway>

#include "internal/StageTimes.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <utility>

namespace filbertspoke {

namespace {

constexpr double bitsPerByte = 8;
// Engines in one chain: the longest path that engines accept.
constexpr std::size_t maximumStages = 32;
// Price of a full engine beside an idle one, so that load spreads before queues grow.
constexpr double crowdingFactor = 2;
constexpr double crowdingExponent = 6;
// Price of the shared link between failure domains, times the transfer itself: others wait for it.
constexpr double crossingFactor = 10;

// Price of a chain whose first engine is in another failure domain than the daemon: its events travel between them, and
// what is known of the load there is older.
constexpr double remoteChainMs = 800;

// Part of a link that generations may fill; the rest takes the bursts of their prompts.
constexpr double linkUse = 0.6;
// How long a generation of usual length stays in its chain.
constexpr double usualStaySeconds = 2.5;

double crossingMs(const EngineProfile& profile, double tokens)
{
    if (profile.crossDomainMegabitsPerSecond <= 0)
        return 0;
    return tokens * profile.activationBytes * bitsPerByte / (profile.crossDomainMegabitsPerSecond * 1000);
}

using internal::handOverMs;
using internal::stageTimes;
using internal::StageTimes;

/** \brief A partial chain that ends at a layer boundary in a failure domain. */
struct Label {
    double cost = std::numeric_limits<double>::infinity();
    double firstTokenMs = 0;
    double perTokenMs = 0;
    std::size_t candidate = 0;
    std::uint32_t previousLayer = 0;
    FailureDomainId previousDomain;
};

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

    /** \brief Makes the engine run all of its layers from where the chain enters it, so that it can't stand in the chain twice. */
    void keepWhole(std::size_t candidate) { this->whole.insert(candidate); }

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

    /** \returns the candidates of the best chain with their layers, in order; empty without a chain */
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
        return this->request.firstStages.empty() || this->request.firstStages.contains(candidate.endpoint);
    }

    void extend(std::uint32_t layer, std::size_t index)
    {
        const StageCandidate& candidate = this->candidates[index];
        if (candidate.layers.first() > layer || candidate.layers.last() <= layer || (layer == 0 && !this->mayBegin(candidate)))
            return;
        this->relax(layer, candidate.layers.last(), index);
        if (this->whole.contains(index))
            return;
        for (auto end = this->boundaries.upper_bound(layer); end != this->boundaries.end() && *end < candidate.layers.last(); ++end)
            this->relax(layer, *end, index);
    }

    void relax(std::uint32_t from, std::uint32_t to, std::size_t index)
    {
        const StageCandidate& candidate = this->candidates[index];
        const double need = (this->request.promptTokens + this->request.outputTokens) * (to - from);
        if (need > candidate.freeTokenLayers || (from == 0 && this->profile.slots > 0 && candidate.sequences >= this->profile.slots))
            return;
        const StageTimes times = stageTimes(this->profile, candidate, this->request.promptTokens, this->request.outputTokens, to - from);
        const double capacity = candidate.accelerator.memoryMegabytes - candidate.layers.size() * this->profile.layerMegabytes;
        const double capacityTokenLayers = std::max(1.0, capacity / this->profile.kvMegabytesPerTokenLayer());
        const double used = 1 - std::min(1.0, (candidate.freeTokenLayers - need) / capacityTokenLayers);
        const double crowding = 1 + crowdingFactor * std::pow(used, crowdingExponent);
        for (const auto& [domain, label] : this->labels[from]) {
            const bool crosses = from > 0 && domain != candidate.failureDomain;
            if (crosses && this->request.fullLinks.contains(DomainLink(domain, candidate.failureDomain)))
                continue;
            const double crossPrefill = crosses ? crossingMs(this->profile, this->request.promptTokens) + this->profile.crossDomainDelayMs : 0;
            const double crossStep = crosses ? crossingMs(this->profile, 1) + this->profile.crossDomainDelayMs : 0;
            Label next;
            next.firstTokenMs = label.firstTokenMs + times.prefillMs + handOverMs + crossPrefill;
            next.perTokenMs = label.perTokenMs + times.stepMs + handOverMs + crossStep;
            const double own = times.prefillMs + handOverMs + this->request.outputTokens * (times.stepMs + handOverMs);
            const double crossing = crossPrefill + this->request.outputTokens * crossStep;
            const double remote = from == 0 && this->request.origin != candidate.failureDomain ? remoteChainMs : 0;
            next.cost = label.cost + crowding * own + crossingFactor * crossing + remote;
            next.candidate = index;
            next.previousLayer = from;
            next.previousDomain = domain;
            Label& slot = this->labels[to][candidate.failureDomain];
            if (next.cost < slot.cost)
                slot = next;
        }
    }

    const EngineProfile& profile;
    const std::vector<StageCandidate>& candidates;
    const ChainRequest& request;
    std::vector<std::map<FailureDomainId, Label>> labels; ///< by layer boundary
    std::set<std::uint32_t> boundaries;
    std::set<std::size_t> whole;
};

}

double linkCapacity(const EngineProfile& profile)
{
    const double megabits = (profile.usualPromptTokens + profile.usualOutputTokens) * profile.activationBytes * bitsPerByte / 1e6;
    if (megabits <= 0 || profile.crossDomainMegabitsPerSecond <= 0)
        return std::numeric_limits<double>::infinity();
    return linkUse * profile.crossDomainMegabitsPerSecond * usualStaySeconds / megabits;
}

std::optional<LayerChain> planLayerChain(const EngineProfile& profile, const std::vector<StageCandidate>& candidates, const ChainRequest& request)
{
    if (profile.layers == 0)
        return std::nullopt;
    std::set<std::size_t> whole;
    // Each round keeps at least one more engine whole, so that the rounds end.
    for (std::size_t round = 0; round <= candidates.size(); ++round) {
        Search search(profile, candidates, request);
        for (const std::size_t index : whole)
            search.keepWhole(index);
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
                whole.insert(index);
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
        return chain;
    }
    return std::nullopt;
}

}
