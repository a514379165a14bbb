#include <filbertspoke/Proxy>

#include "internal/Awaiting.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace filbertspoke {

namespace asio = boost::asio;

namespace {

using internal::sleepFor;

// The lease expires when its holder has not renewed it for this time.
constexpr Duration leaseLifetime = std::chrono::milliseconds(1500);
constexpr Duration claimInterval = std::chrono::milliseconds(500);
constexpr Duration engineTimeout = std::chrono::milliseconds(500);
// A healthy engine reports within a few milliseconds.
constexpr Duration probeTimeout = std::chrono::milliseconds(300);
// Engines that start together register within one heartbeat interval; the first placement waits until their number is stable
// for this time.
constexpr Duration registrationSettleTime = std::chrono::milliseconds(1500);
// An order without a response may still be carried out; the engine gets no other order for this time.
constexpr Duration unconfirmedOrderTimeout = std::chrono::seconds(3);
// Added to the expected load time before an order counts as not carried out.
constexpr Duration loadMargin = std::chrono::seconds(3);
// Concurrent loads share the throughput of the weight store; the last load of a burst takes up to this many times as long.
constexpr double loadContentionFactor = 4;

std::string memberId(const DaemonId& daemon)
{
    const auto started = std::chrono::system_clock::now().time_since_epoch();
    return daemon.str() + "-" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(started).count());
}

}

PlacementController::PlacementController(GatewayContext& context)
    : context(context)
    , member(memberId(context.settings.daemon))
    , lease(leaseLifetime)
{
}

void PlacementController::start()
{
    asio::co_spawn(this->context.io, this->run(), asio::detached);
}

asio::awaitable<void> PlacementController::run()
{
    HttpConnection store(this->context.io, httpAddress(this->context.settings.store), {});
    while (!this->stopped) {
        this->followEra();
        // The lease of a daemon that does not reach the engines expires, so that another one takes it.
        const bool reachesEngines = !this->context.isCutOffFromEngines();
        if (reachesEngines && this->context.roster.isHub())
            co_await this->claimLease(store);
        if (reachesEngines && this->holdsLease()) {
            this->probeSuspectedEngines();
            co_await this->assignLayers();
        }
        co_await sleepFor(this->context.io, claimInterval);
    }
}

void PlacementController::followEra()
{
    const bool heldBefore = this->holdsLease();
    if (!this->lease.noteEra(this->context.storeEra.current()))
        return;
    this->leaseSetUp = false;
    if (heldBefore)
        logLine(WriteLog::Level::Info, "placement-duty-lost", { { "generation", "0" }, { "reason", "the store restarted from an older copy" } });
}

asio::awaitable<HttpOutcome> PlacementController::callStore(HttpConnection& store, HttpRequest request)
{
    HttpOutcome outcome = co_await exchange(store, std::move(request), storeTimeout);
    if (const auto* response = std::get_if<HttpResponse>(&outcome)) {
        if (this->context.noteStoreEra(this->context.codecs.store->decodeEra(*response), "store") == EraRelation::Outdated)
            co_return HttpFailure { make_error_code(ErrorCode::PlatformUnavailable) };
    }
    this->followEra();
    co_return outcome;
}

asio::awaitable<void> PlacementController::claimLease(HttpConnection& store)
{
    const TimePoint claimedAt = bootNow();
    std::string reason;
    if (!this->leaseSetUp) {
        HttpRequest setup = this->context.codecs.store->encodeLeaseSetup();
        const HttpOutcome outcome = co_await this->callStore(store, std::move(setup));
        this->leaseSetUp = successfulResponse(outcome, reason) != nullptr;
    }
    HttpRequest claim = this->context.codecs.store->encodeLeaseClaim(this->member, leaseLifetime, this->lease.generation());
    const HttpOutcome outcome = co_await this->callStore(store, std::move(claim));
    const HttpResponse* response = successfulResponse(outcome, reason);
    const bool heldBefore = this->holdsLease();
    if (response) {
        const auto granted = this->context.codecs.store->decodeLease(*response);
        if (granted)
            this->lease.noteClaim(*granted, claimedAt);
        else
            reason = granted.error().message();
    } else {
        store.close();
    }
    if (heldBefore != this->holdsLease())
        logLine(WriteLog::Level::Info, this->holdsLease() ? "placement-duty-taken" : "placement-duty-lost", { { "generation", std::to_string(this->lease.generation()) }, { "reason", reason } });
}

std::vector<PlaceableEngine> PlacementController::engines(const ForwardedService& service)
{
    const TimePoint now = bootNow();
    std::erase_if(this->pending, [&](const auto& entry) {
        const EndpointRecord* record = this->context.registry.find(entry.first);
        return !record || record->endpoint.layers == entry.second.layers || entry.second.expires < now;
    });
    std::vector<PlaceableEngine> engines;
    for (const auto& [id, record] : this->context.registry.records()) {
        const auto accelerator = service.engine->accelerators.find(record.endpoint.accelerator);
        if (record.endpoint.service != service.name || !EndpointRegistry::takesWork(record, now) || this->hasFailed(record.endpoint) || accelerator == service.engine->accelerators.end())
            continue;
        const auto order = this->pending.find(id);
        const bool changing = order != this->pending.end();
        const double used = this->context.loads.total(id).tokenLayers * service.engine->kvMegabytesPerTokenLayer();
        engines.push_back({ id, record.endpoint.failureDomain, accelerator->second, changing ? order->second.layers : record.endpoint.layers, changing, used });
    }
    return engines;
}

void PlacementController::noteSignals(const EndpointId& engine, const HttpOutcome& outcome)
{
    if (const auto* response = std::get_if<HttpResponse>(&outcome))
        this->context.noteSignals(engine, this->context.codecs.engine->decodeSignals(*response));
}

void PlacementController::probeSuspectedEngines()
{
    const TimePoint now = bootNow();
    for (const auto& [id, record] : this->context.registry.records()) {
        const bool engine = !record.endpoint.accelerator.empty();
        if (engine && EndpointRegistry::isSuspected(record, now) && !EndpointRegistry::isPushedBack(record, now) && !this->probes[id].inFlight) {
            this->probes[id].inFlight = true;
            asio::co_spawn(this->context.io, this->probe(record.endpoint), asio::detached);
        }
    }
    std::erase_if(this->probes, [this](const auto& entry) { return !entry.second.inFlight && !this->context.registry.find(entry.first); });
}

asio::awaitable<void> PlacementController::probe(RegisteredEndpoint endpoint)
{
    HttpConnection connection(this->context.io, httpAddress(endpoint.address), endpointLimits(probeTimeout));
    HttpRequest request = this->context.codecs.engine->encodeReportRequest(endpoint.id);
    this->context.rateLimits.noteSent(endpoint.id, bootNow());
    const HttpOutcome outcome = co_await exchange(connection, std::move(request), probeTimeout);
    this->noteSignals(endpoint.id, outcome);
    const bool answered = std::holds_alternative<HttpResponse>(outcome);
    ProbeState& state = this->probes[endpoint.id];
    state.inFlight = false;
    state.heartbeat = endpoint.heartbeat;
    state.missedReports = answered ? 0 : state.missedReports + 1;
    if (state.missedReports == missedReportsForFailure)
        logLine(WriteLog::Level::Warning, "engine-taken-as-lost", { { "endpoint", endpoint.id.str() }, { "heartbeat", std::to_string(endpoint.heartbeat) } });
}

bool PlacementController::hasFailed(const RegisteredEndpoint& endpoint) const
{
    const auto state = this->probes.find(endpoint.id);
    // A newer heartbeat in the registry proves that the engine is alive.
    return state != this->probes.end() && state->second.missedReports >= missedReportsForFailure && endpoint.heartbeat <= state->second.heartbeat;
}

bool PlacementController::enginesSettled(const std::vector<PlaceableEngine>& engines)
{
    const bool noneAssigned = std::all_of(engines.begin(), engines.end(), [](const PlaceableEngine& engine) { return engine.layers.empty(); });
    if (!noneAssigned)
        return true;
    if (engines.size() != this->enginesSeen) {
        this->enginesSeen = engines.size();
        this->enginesSeenAt = bootNow();
    }
    return !engines.empty() && bootNow() - this->enginesSeenAt >= registrationSettleTime;
}

asio::awaitable<void> PlacementController::assignLayers()
{
    const auto table = this->context.table;
    if (!table || !this->context.registryLoaded)
        co_return;
    for (const auto& [name, service] : table->services()) {
        if (!service.engine || service.engine->layers == 0)
            continue;
        const auto engines = this->engines(service);
        if (!this->enginesSettled(engines))
            continue;
        for (const LayerAssignment& assignment : placeLayers(*service.engine, engines)) {
            const EndpointRecord* record = this->context.registry.find(assignment.endpoint);
            if (!record || record->endpoint.layers == assignment.layers || EndpointRegistry::isPushedBack(*record, bootNow()))
                continue;
            const double seconds = service.engine->loadSeconds * assignment.layers.size() / service.engine->layers * loadContentionFactor;
            const Duration loadTime = std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000)) + loadMargin;
            this->pending.insert_or_assign(assignment.endpoint, PendingOrder { assignment.layers, bootNow() + loadTime });
            asio::co_spawn(this->context.io, this->sendOrder(record->endpoint, assignment.layers, loadTime), asio::detached);
        }
    }
}

asio::awaitable<void> PlacementController::sendOrder(RegisteredEndpoint endpoint, LayerRange layers, Duration loadTime)
{
    HttpConnection connection(this->context.io, httpAddress(endpoint.address), endpointLimits(engineTimeout));
    const auto finish = [&](WriteLog::Level level, const std::string& outcome, Duration keepPending) {
        logLine(level, "layer-order", { { "endpoint", endpoint.id.str() }, { "firstLayer", std::to_string(layers.first()) }, { "lastLayer", std::to_string(layers.last()) }, { "outcome", outcome }, { "duty", std::to_string(this->lease.generation()) } });
        const auto entry = this->pending.find(endpoint.id);
        if (entry != this->pending.end() && entry->second.layers == layers)
            entry->second.expires = bootNow() + keepPending;
    };
    std::string reason;
    this->context.rateLimits.noteSent(endpoint.id, bootNow());
    const HttpOutcome reported = co_await exchange(connection, this->context.codecs.engine->encodeReportRequest(endpoint.id), engineTimeout);
    this->noteSignals(endpoint.id, reported);
    const HttpResponse* response = successfulResponse(reported, reason);
    const auto report = response ? this->context.codecs.engine->decodeReport(*response) : Result<EngineReport>(make_error_code(ErrorCode::EndpointUnreachable));
    if (!report) {
        this->context.registry.noteFault(endpoint.id, EndpointFault::Unreachable, bootNow());
        co_return finish(WriteLog::Level::Warning, "no report: " + (reason.empty() ? report.error().message() : reason), Duration::zero());
    }
    if (report->layers == layers || report->changing || !this->holdsLease())
        co_return finish(WriteLog::Level::Info, report->changing ? "already changing" : "not needed", unconfirmedOrderTimeout);
    const LayerOrder order { endpoint.id, layers, report->ordersAccepted, this->lease.fencingToken() };
    this->context.rateLimits.noteSent(endpoint.id, bootNow());
    const HttpOutcome ordered = co_await exchange(connection, this->context.codecs.engine->encodeOrder(order), engineTimeout);
    this->noteSignals(endpoint.id, ordered);
    const auto* answer = std::get_if<HttpResponse>(&ordered);
    if (!answer)
        co_return finish(WriteLog::Level::Warning, "no answer", unconfirmedOrderTimeout);
    const bool accepted = answer->status == 202 || answer->status == 200;
    finish(accepted ? WriteLog::Level::Info : WriteLog::Level::Warning, "status " + std::to_string(answer->status), accepted ? loadTime : Duration::zero());
}

}
