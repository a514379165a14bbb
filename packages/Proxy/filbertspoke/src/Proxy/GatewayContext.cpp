#include <filbertspoke/Proxy>

#include "internal/PlacementLog.h"

#include <algorithm>
#include <functional>
#include <random>
#include <string>
#include <utility>

namespace filbertspoke {

GatewayContext::GatewayContext(boost::asio::io_context& io, GatewaySettings settings, GatewayCodecs codecs)
    : io(io)
    , settings(std::move(settings))
    , codecs(std::move(codecs))
    , random(std::random_device {}())
    , registryView(this->settings.heartbeatInterval)
    , rateLimits(std::hash<std::string> {}(this->settings.daemon.str()))
    , requestMemory(this->settings.requestMemoryBytes)
    , roster(this->settings.peers.value_or(this->settings.callers), this->settings.failureDomain)
    , storeReading(std::uniform_real_distribution<double>(0, 1)(this->random), bootNow())
    , waiters(io)
    , failureDetector(
          io, this->codecs.engine, [this](const EndpointId& engine) { this->rateLimits.noteSent(engine, bootNow()); }, [this](const EndpointId& engine, bool accepted) { accepted ? this->noteConnected(engine) : this->noteUnreachable(engine); })
    , pool(io)
{
}

SharedRetryBudget& GatewayContext::retryBudget(const ServiceId& service)
{
    const RetryBudgetSettings& shared = this->settings.retryBudget;
    SharedRetryBudget& budget = this->budgets.try_emplace(service, shared.ratio, shared.reserve).first->second;
    budget.setGatewayCount(this->siteGateways());
    return budget;
}

std::optional<std::size_t> GatewayContext::siteGateways() const
{
    const auto size = this->roster.siteSize(bootNow());
    return size ? std::optional(size->gateways) : std::nullopt;
}

bool GatewayContext::followsStore() const
{
    return this->storeReading.mustRead(this->roster.rank(), bootNow());
}

double GatewayContext::randomFraction()
{
    return std::uniform_real_distribution<double>(0, 1)(this->random);
}

void GatewayContext::applyConfiguration(const ConfigurationDocument& document, const std::string& source)
{
    const TimePoint startedAt = bootNow();
    auto decoded = this->codecs.store->decodeConfiguration({ document.key, document.text });
    const Duration took = bootNow() - startedAt;
    this->metrics.observeConfiguration(took);
    if (!decoded) {
        logLine(WriteLog::Level::Error, "configuration-unreadable", { { "key", document.key }, { "source", source }, { "reason", decoded.error().message() } });
        return;
    }
    if (!*decoded || (this->table && (*decoded)->version() <= this->table->version()))
        return;
    logLine(WriteLog::Level::Info, "configuration-in-force", { { "version", std::to_string((*decoded)->version()) }, { "before", this->table ? std::to_string(this->table->version()) : "none" }, { "source", source }, { "bytes", std::to_string(document.text.size()) }, { "decodeMs", milliseconds(took) } });
    internal::logEngineProfiles(this->table.get(), **decoded);
    this->table = std::make_shared<const ForwardingTable>(std::move(**decoded));
    this->document = document;
}

EraRelation GatewayContext::noteStoreEra(std::optional<StoreEra> era, const std::string& source)
{
    const auto before = this->storeEra.current();
    const EraRelation relation = this->storeEra.note(era);
    if (relation == EraRelation::Current)
        return relation;
    const bool newer = relation == EraRelation::Newer;
    logLine(WriteLog::Level::Warning, newer ? "store-era-changed" : "store-era-outdated", { { "era", std::to_string(*era) }, { "known", std::to_string(*before) }, { "source", source } });
    this->metrics.count({ newer ? "store_era_changes_total" : "store_answers_outdated_total", "" });
    // The copy lacks the entries that endpoints wrote last; endpoints that are alive write them again.
    if (newer)
        this->registry.noteRegistryRecovered(bootNow());
    return relation;
}

std::optional<Duration> GatewayContext::noteRegistryCurrent(TimePoint now)
{
    const auto age = this->registryView.age(now);
    if (this->registryView.noteCurrent(now)) {
        logLine(WriteLog::Level::Info, "endpoints-outdated", { { "viewAgeMs", milliseconds(*age) } });
        this->registry.noteRegistryRecovered(now);
    }
    return age;
}

void GatewayContext::applyEndpoints(const std::vector<RegisteredEndpoint>& endpoints, const std::string& source)
{
    const TimePoint now = bootNow();
    const auto viewAge = this->noteRegistryCurrent(now);
    for (const auto& [endpoint, removal] : this->registry.replaceAll(endpoints, now))
        logRemoval(endpoint, removal, source, viewAge);
    this->registryLoaded = true;
}

void GatewayContext::logRemoval(const EndpointId& endpoint, Removal removal, const std::string& source, const std::optional<Duration>& viewAge)
{
    if (removal == Removal::Unknown)
        return;
    logLine(WriteLog::Level::Info, "endpoint-removed", { { "endpoint", endpoint.str() }, { "source", source }, { "held", removal == Removal::Held ? "yes" : "no" }, { "viewAgeMs", viewAge ? milliseconds(*viewAge) : "none" } });
}

void GatewayContext::noteCrash(const std::vector<RequestTraitId>& traits, const EndpointRun& run, TimePoint sentAt, TimePoint brokenAt)
{
    std::string names;
    for (const RequestTraitId& trait : traits)
        names += (names.empty() ? "" : ",") + trait.str();
    logLine(WriteLog::Level::Warning, "endpoint-crashed", { { "endpoint", run.endpoint.str() }, { "traits", names }, { "ageMs", milliseconds(bootNow() - brokenAt) } });
    this->requestQuarantine.noteCrash(traits, run, brokenAt, brokenAt - sentAt);
}

std::optional<Duration> GatewayContext::refusalTime(const std::vector<RequestTraitId>& traits)
{
    const TimePoint now = bootNow();
    for (const RequestTraitId& trait : this->requestQuarantine.update(now)) {
        logLine(WriteLog::Level::Warning, "request-trait-quarantined", { { "trait", trait.str() } });
        this->metrics.count({ "request_traits_quarantined_total", "" });
    }
    return this->requestQuarantine.refusalTime(traits, now);
}

void GatewayContext::noteConnected(const EndpointId& endpoint)
{
    const EndpointRecord* record = this->registry.find(endpoint);
    if (!record)
        return;
    const ServiceId service = record->endpoint.service;
    const Reachability before = this->reachability(service).state();
    if (this->reachability(service).noteConnected())
        this->noteReachabilityChange(service, before);
}

void GatewayContext::noteUnreachable(const EndpointId& endpoint)
{
    const EndpointRecord* record = this->registry.find(endpoint);
    if (!record)
        return;
    const ServiceId service = record->endpoint.service;
    const auto endpoints = std::count_if(this->registry.records().begin(), this->registry.records().end(), [&service](const auto& entry) { return entry.second.endpoint.service == service; });
    const Reachability before = this->reachability(service).state();
    if (this->reachability(service).noteUnreachable(endpoint, static_cast<std::size_t>(endpoints), bootNow()))
        this->noteReachabilityChange(service, before);
}

void GatewayContext::noteReachabilityChange(const ServiceId& service, Reachability before)
{
    const Reachability state = this->reachability(service).state();
    logLine(state == Reachability::Reachable ? WriteLog::Level::Info : WriteLog::Level::Warning, "reachability-changed", { { "service", service.str() }, { "state", std::string(name(state)) }, { "peers", std::to_string(this->roster.reachable().size()) } });
    this->metrics.count({ "reachability_changes_total", std::string(name(state)) });
    // The faults that were observed meanwhile are those of this daemon's paths. Those behind a mere suspicion are the endpoints' own.
    if (before == Reachability::CutOff || state == Reachability::CutOff)
        this->registry.forgetFaults(service);
    ++this->capacityChanges;
    this->waiters.wakeAll();
}

std::vector<ServiceId> GatewayContext::observedServices() const
{
    std::vector<ServiceId> services;
    for (const auto& [service, reachability] : this->reachabilities)
        services.push_back(service);
    return services;
}

std::vector<ServiceId> GatewayContext::unreachableServices() const
{
    std::vector<ServiceId> services;
    for (const auto& [service, reachability] : this->reachabilities) {
        if (reachability.state() == Reachability::CutOff)
            services.push_back(service);
    }
    return services;
}

bool GatewayContext::isCutOffFromEngines() const
{
    const std::vector<ServiceId> services = this->unreachableServices();
    return std::any_of(services.begin(), services.end(), [this](const ServiceId& service) {
        const ForwardedService* forwarded = this->table ? this->table->findService(service) : nullptr;
        return forwarded && forwarded->engine;
    });
}

void GatewayContext::noteSignals(const EndpointId& endpoint, const EndpointSignals& signals)
{
    if (signals.leaving && this->registry.noteLeaving(endpoint)) {
        logLine(WriteLog::Level::Info, "endpoint-leaving", { { "endpoint", endpoint.str() }, { "source", "its answer" } });
        this->metrics.count({ "endpoints_leaving_total", "" });
    }
    if (signals.requestsPerSecond)
        this->noteRateLimit(endpoint, signals.requestsPerSecond);
    if (signals.pushback) {
        this->registry.notePushback(endpoint, *signals.pushback, this->randomFraction(), bootNow());
        logLine(WriteLog::Level::Info, "endpoint-pushback", { { "endpoint", endpoint.str() }, { "forMs", milliseconds(*signals.pushback) } });
        this->metrics.count({ "endpoint_pushbacks_total", "" });
    }
}

void GatewayContext::noteRefusal(const EndpointId& endpoint, TimePoint sentAt)
{
    const EndpointRecord* record = this->registry.find(endpoint);
    if (!record)
        return;
    const AcceleratorId& accelerator = record->endpoint.accelerator;
    this->metrics.count({ "engine_refusals_total", accelerator.empty() ? "plain" : accelerator.str() });
    if (const auto pause = this->registry.noteRefusal(endpoint, sentAt, this->randomFraction(), bootNow()))
        logLine(WriteLog::Level::Info, "engine-refusing", { { "endpoint", endpoint.str() }, { "pauseMs", milliseconds(*pause) }, { "source", "own" } });
}

void GatewayContext::noteRemoteRefusal(const RefusingEndpoint& refusing, const DaemonId& reporter)
{
    if (const auto pause = this->registry.noteRemoteRefusal(refusing, this->randomFraction(), bootNow()))
        logLine(WriteLog::Level::Info, "engine-refusing", { { "endpoint", refusing.run.endpoint.str() }, { "pauseMs", milliseconds(*pause) }, { "source", reporter.str() } });
}

void GatewayContext::noteRateLimit(const EndpointId& endpoint, std::optional<double> requestsPerSecond)
{
    const EndpointRecord* record = this->registry.find(endpoint);
    if (!record || !this->rateLimits.noteAnswer({ endpoint, record->endpoint.startedAtMs }, requestsPerSecond, bootNow()))
        return;
    logLine(WriteLog::Level::Info, "endpoint-rate-limit", { { "endpoint", endpoint.str() }, { "perSecond", requestsPerSecond ? std::to_string(*requestsPerSecond) : "none" }, { "source", "its answer" } });
    this->metrics.count({ "endpoint_rate_limit_changes_total", "" });
}

void GatewayContext::updateRateLimits(TimePoint now)
{
    const auto rates = this->rateLimits.ownRates(now);
    this->loads.setRequestRates(rates);
    if (rates.empty())
        return;
    const std::map<FailureDomainId, std::size_t> byDomain = this->roster.reachableByDomain();
    for (const auto& [endpoint, ownRate] : rates) {
        const EndpointRecord* record = this->registry.find(endpoint);
        if (!record) {
            this->rateLimits.forget(endpoint);
            continue;
        }
        const FailureDomainId& domain = record->endpoint.failureDomain;
        const auto neighbours = byDomain.find(domain);
        RequestSources sources;
        sources.daemons = std::max(this->siteGateways().value_or(0), this->roster.size());
        sources.neighbours = neighbours == byDomain.end() ? 0 : neighbours->second;
        sources.sameDomain = domain == this->settings.failureDomain;
        const EndpointRun run { endpoint, record->endpoint.startedAtMs };
        this->rateLimits.setSources(run, sources, this->loads.total(endpoint).requestRate - ownRate, now);
    }
}

void logLine(WriteLog::Level level, const std::string& event, std::vector<std::pair<std::string, std::string>> fields)
{
    LogWriter::write({ level, event, std::move(fields) });
}

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}
