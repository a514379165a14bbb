#include <filbertspoke/Proxy>

#include <algorithm>
#include <set>
#include <vector>

namespace filbertspoke {

namespace {

// Callers estimate the median output length; capacity is reserved for somewhat longer outputs.
constexpr double outputMargin = 1.2;

double expectedOutput(const CallerRequest& request, const EngineProfile& profile)
{
    const double estimate = request.expectedOutputTokens.value_or(profile.usualOutputTokens) * outputMargin;
    return request.maximumOutputTokens > 0 ? std::min(estimate, request.maximumOutputTokens) : estimate;
}

StageCandidate stageCandidate(const LoadTracker& loads, const RequestRateLimits& limits, const EndpointRecord& record, const EngineProfile& profile, TimePoint now)
{
    StageCandidate candidate;
    candidate.endpoint = record.endpoint.id;
    candidate.layers = record.endpoint.layers;
    candidate.failureDomain = record.endpoint.failureDomain;
    const auto accelerator = profile.accelerators.find(record.endpoint.accelerator);
    if (accelerator != profile.accelerators.end())
        candidate.accelerator = accelerator->second;
    const WorkInProgress load = loads.total(record.endpoint.id);
    const double memory = candidate.accelerator.memoryMegabytes - candidate.layers.size() * profile.layerMegabytes;
    candidate.acceptsRequests = limits.permits(record.endpoint.id, now);
    candidate.sequences = load.requests;
    candidate.freeTokenLayers = memory / profile.kvMegabytesPerTokenLayer() - load.tokenLayers;
    return candidate;
}

std::set<DomainLink> fullLinks(const LoadTracker& loads, const std::vector<StageCandidate>& candidates, double capacity)
{
    std::set<FailureDomainId> domains;
    for (const StageCandidate& candidate : candidates)
        domains.insert(candidate.failureDomain);
    std::set<DomainLink> full;
    for (const FailureDomainId& a : domains) {
        for (const FailureDomainId& b : domains) {
            const DomainLink link(a, b);
            if (a < b && loads.total(link.name()).requests >= capacity)
                full.insert(link);
        }
    }
    return full;
}

}

std::optional<LayerChain> planStream(const ForwardTask& task, const AttemptHistory& history)
{
    const ForwardedService* service = task.context.table->findService(task.service);
    if (!service || !service->engine)
        return std::nullopt;
    const EngineProfile& engine = *service->engine;
    std::vector<StageCandidate> candidates;
    const TimePoint now = bootNow();
    for (const EndpointRecord* record : task.context.registry.candidates(task.service, now)) {
        const EndpointId& id = record->endpoint.id;
        const bool permitted = history.mayUse(id) || (history.wasRefusedBy(id) && !EndpointRegistry::isRefusing(*record, now));
        if (!record->endpoint.layers.empty() && permitted)
            candidates.push_back(stageCandidate(task.context.loads, task.context.rateLimits, *record, engine, now));
    }
    ChainRequest request;
    request.origin = task.context.settings.failureDomain;
    request.promptTokens = task.request.promptTokens;
    request.outputTokens = expectedOutput(task.request, engine);
    if (history.attemptsExhausted())
        request.firstStages = history.used();
    request.reservedShare = reservedShare(task.rank());
    request.fullLinks = fullLinks(task.context.loads, candidates, linkCapacity(engine));
    return planLayerChain(engine, candidates, request);
}

}
