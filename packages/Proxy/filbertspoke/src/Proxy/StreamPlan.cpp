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
    candidate.acceptsRequests = limits.permits(record.endpoint.id, now);
    candidate.sequences = load.requests;
    candidate.freeTokenLayers = kvCapacity(profile, candidate.accelerator, candidate.layers) - load.tokenLayers;
    return candidate;
}

/** \brief Sets the random part of the engine's cost, and whether it refuses work.
 * \param others number of other gateways */
void addSpread(GatewayContext& context, std::size_t others, StageCandidate& candidate, const EndpointRecord& record, const EngineProfile& profile, TimePoint now)
{
    const double layerShare = static_cast<double>(candidate.layers.size()) / profile.layers;
    candidate.spread = context.loads.unreportedShare(others, layerShare, kvCapacity(profile, candidate.accelerator, candidate.layers), now);
    candidate.draw = context.randomFraction();
    candidate.refusing = EndpointRegistry::isRefusing(record, now);
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
    const std::size_t others = std::max(task.context.siteGateways().value_or(0), task.context.roster.size()) - 1;
    for (const EndpointRecord* record : task.context.registry.candidates(task.service, now, RefusingCandidates::Included)) {
        const EndpointId& id = record->endpoint.id;
        const bool permitted = history.mayUse(id) || (history.wasRefusedBy(id) && !record->refusals.hasJustRefused(now));
        if (record->endpoint.layers.empty() || !permitted)
            continue;
        candidates.push_back(stageCandidate(task.context.loads, task.context.rateLimits, *record, engine, now));
        addSpread(task.context, others, candidates.back(), *record, engine, now);
    }
    ChainRequest request;
    request.origin = task.context.settings.failureDomain;
    request.promptTokens = task.request.promptTokens;
    request.outputTokens = expectedOutput(task.request, engine);
    if (history.attemptsExhausted())
        request.firstStages = history.used();
    request.reservedShare = reservedShare(task.rank());
    request.fullLinks = fullLinks(task.context.loads, candidates, linkCapacity(engine));
    return planAroundRefusals(engine, candidates, request);
}

}
