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

// The duty passes on when its holder has been silent for so long.
constexpr Duration dutyLifetime = std::chrono::milliseconds(1500);
constexpr Duration claimPause = std::chrono::milliseconds(500);
constexpr Duration engineTimeout = std::chrono::milliseconds(500);
// A live engine reports within a few milliseconds.
constexpr Duration probeTimeout = std::chrono::milliseconds(300);
// Engines that start together are registered within a heartbeat; the first placement waits for the last one.
constexpr Duration settleTime = std::chrono::milliseconds(1500);
// An order without an answer may still be carried out; the engine is left alone for so long.
constexpr Duration unknownOrderTime = std::chrono::seconds(3);
// Added to the time that a load should take before its order counts as not carried out.
constexpr Duration loadMargin = std::chrono::seconds(3);
// Loads share the weight store's rate; the last of a burst takes so many times as long.
constexpr double loadCrowding = 4;

std::string runName(const DaemonId& daemon)
{
    const auto started = std::chrono::system_clock::now().time_since_epoch();
    return daemon.str() + "-" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(started).count());
}

}

PlacementController::PlacementController(GatewayContext& context)
    : context(context)
    , member(runName(context.settings.daemon))
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
        if (this->context.roster.isHub())
            co_await this->claim(store);
        if (this->holdsDuty()) {
            this->probeSuspects();
            co_await this->place();
        }
        co_await sleepFor(this->context.io, claimPause);
    }
}

asio::awaitable<void> PlacementController::claim(HttpConnection& store)
{
    const TimePoint asked = bootNow();
    std::string reason;
    if (!this->setUp) {
        const HttpOutcome outcome = co_await exchange(store, this->context.wires.store->encodeLeaseSetup(), storeTimeout);
        this->setUp = successfulResponse(outcome, reason) != nullptr;
    }
    const HttpOutcome outcome = co_await exchange(store, this->context.wires.store->encodeLeaseClaim(this->member, dutyLifetime, this->generation), storeTimeout);
    const HttpResponse* response = successfulResponse(outcome, reason);
    const bool before = this->holdsDuty();
    if (response) {
        const auto grant = this->context.wires.store->decodeLease(*response);
        if (grant) {
            this->generation = grant->generation;
            this->held = grant->held;
            this->heldUntil = asked + dutyLifetime;
        } else {
            reason = grant.error().message();
        }
    } else {
        store.close();
    }
    if (before != this->holdsDuty())
        logLine(WriteLog::Level::Info, this->holdsDuty() ? "placement-duty-taken" : "placement-duty-lost", { { "generation", std::to_string(this->generation) }, { "reason", reason } });
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
        if (record.endpoint.service != service.name || !EndpointRegistry::takesWork(record, now) || this->isLost(record.endpoint) || accelerator == service.engine->accelerators.end())
            continue;
        const auto order = this->pending.find(id);
        const bool changing = order != this->pending.end();
        const double used = this->context.loads.total(id).tokenLayers * service.engine->kvMegabytesPerTokenLayer();
        engines.push_back({ id, record.endpoint.failureDomain, accelerator->second, changing ? order->second.layers : record.endpoint.layers, changing, used });
    }
    return engines;
}

void PlacementController::probeSuspects()
{
    const TimePoint now = bootNow();
    for (const auto& [id, record] : this->context.registry.records()) {
        const bool engine = !record.endpoint.accelerator.empty();
        if (engine && EndpointRegistry::isSuspected(record, now) && !this->probes[id].asking) {
            this->probes[id].asking = true;
            asio::co_spawn(this->context.io, this->probe(record.endpoint), asio::detached);
        }
    }
    std::erase_if(this->probes, [this](const auto& entry) { return !entry.second.asking && !this->context.registry.find(entry.first); });
}

asio::awaitable<void> PlacementController::probe(RegisteredEndpoint endpoint)
{
    HttpConnection connection(this->context.io, httpAddress(endpoint.address), endpointLimits(probeTimeout));
    HttpRequest request = this->context.wires.engine->encodeReportRequest(endpoint.id);
    const HttpOutcome outcome = co_await exchange(connection, std::move(request), probeTimeout);
    const bool answered = std::holds_alternative<HttpResponse>(outcome);
    Probes& state = this->probes[endpoint.id];
    state.asking = false;
    state.heartbeat = endpoint.heartbeat;
    state.silences = answered ? 0 : state.silences + 1;
    if (state.silences == silencesForLost)
        logLine(WriteLog::Level::Warning, "engine-taken-as-lost", { { "endpoint", endpoint.id.str() }, { "heartbeat", std::to_string(endpoint.heartbeat) } });
}

bool PlacementController::isLost(const RegisteredEndpoint& endpoint) const
{
    const auto state = this->probes.find(endpoint.id);
    // An entry that was written since says that the engine lives.
    return state != this->probes.end() && state->second.silences >= silencesForLost && endpoint.heartbeat <= state->second.heartbeat;
}

bool PlacementController::settled(const std::vector<PlaceableEngine>& engines)
{
    const bool fresh = std::all_of(engines.begin(), engines.end(), [](const PlaceableEngine& engine) { return engine.layers.empty(); });
    if (!fresh)
        return true;
    if (engines.size() != this->enginesSeen) {
        this->enginesSeen = engines.size();
        this->enginesSeenAt = bootNow();
    }
    return !engines.empty() && bootNow() - this->enginesSeenAt >= settleTime;
}

asio::awaitable<void> PlacementController::place()
{
    const auto table = this->context.table;
    if (!table || !this->context.registryKnown)
        co_return;
    for (const auto& [name, service] : table->services()) {
        if (!service.engine || service.engine->layers == 0)
            continue;
        const auto engines = this->engines(service);
        if (!this->settled(engines))
            continue;
        for (const LayerAssignment& assignment : placeLayers(*service.engine, engines)) {
            const EndpointRecord* record = this->context.registry.find(assignment.endpoint);
            if (!record || record->endpoint.layers == assignment.layers)
                continue;
            const double seconds = service.engine->loadSeconds * assignment.layers.size() / service.engine->layers * loadCrowding;
            const Duration loadTime = std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000)) + loadMargin;
            this->pending.insert_or_assign(assignment.endpoint, PendingOrder { assignment.layers, bootNow() + loadTime });
            asio::co_spawn(this->context.io, this->order(record->endpoint, assignment.layers, loadTime), asio::detached);
        }
    }
}

asio::awaitable<void> PlacementController::order(RegisteredEndpoint endpoint, LayerRange layers, Duration loadTime)
{
    HttpConnection connection(this->context.io, httpAddress(endpoint.address), endpointLimits(engineTimeout));
    const auto finish = [&](WriteLog::Level level, const std::string& outcome, Duration leftAlone) {
        logLine(level, "layer-order", { { "endpoint", endpoint.id.str() }, { "firstLayer", std::to_string(layers.first()) }, { "lastLayer", std::to_string(layers.last()) }, { "outcome", outcome }, { "duty", std::to_string(this->generation) } });
        const auto entry = this->pending.find(endpoint.id);
        if (entry != this->pending.end() && entry->second.layers == layers)
            entry->second.expires = bootNow() + leftAlone;
    };
    std::string reason;
    const HttpOutcome reported = co_await exchange(connection, this->context.wires.engine->encodeReportRequest(endpoint.id), engineTimeout);
    const HttpResponse* response = successfulResponse(reported, reason);
    const auto report = response ? this->context.wires.engine->decodeReport(*response) : Result<EngineReport>(make_error_code(ErrorCode::EndpointUnreachable));
    if (!report) {
        this->context.registry.noteFault(endpoint.id, EndpointFault::Unreachable, bootNow());
        co_return finish(WriteLog::Level::Warning, "no report: " + (reason.empty() ? report.error().message() : reason), Duration::zero());
    }
    if (report->layers == layers || report->changing || !this->holdsDuty())
        co_return finish(WriteLog::Level::Info, report->changing ? "already changing" : "not needed", unknownOrderTime);
    const LayerOrder order { endpoint.id, layers, report->ordersAccepted, this->generation };
    const HttpOutcome ordered = co_await exchange(connection, this->context.wires.engine->encodeOrder(order), engineTimeout);
    const auto* answer = std::get_if<HttpResponse>(&ordered);
    if (!answer)
        co_return finish(WriteLog::Level::Warning, "no answer", unknownOrderTime);
    const bool accepted = answer->status == 202 || answer->status == 200;
    finish(accepted ? WriteLog::Level::Info : WriteLog::Level::Warning, "status " + std::to_string(answer->status), accepted ? loadTime : Duration::zero());
}

}
