// Monitors an attempt of a StreamForwarder, and aborts it when the stream can leave engines that fail or fall silent.
#include <filbertspoke/Proxy>

#include "internal/AttemptMonitor.h"
#include "internal/Awaiting.h"
#include "internal/StreamForwarder.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace filbertspoke::internal {

namespace asio = boost::asio;

namespace {

// A chain without events is abandoned after stallTimeout, or after firstEventStallTimeout before its first event, even if all of
// its engines seem alive, provided that the stream can be resumed elsewhere. Enough time is then left for a second chain to
// serve the caller.
constexpr Duration stallTimeout = std::chrono::milliseconds(1300);
constexpr Duration firstEventStallTimeout = std::chrono::milliseconds(900);
// Interval of checks for another chain while a stream is stalled beyond its limit; planning a chain takes one or two milliseconds
// of CPU time on a slow host.
constexpr Duration stallCheckInterval = std::chrono::milliseconds(250);
// A stream without events for at least this time attributes the stall to an engine of its chain that is reported as suspect.
// The value is well above the usual time between two events.
constexpr Duration suspectedStallTimeout = std::chrono::milliseconds(150);

}

Duration StreamForwarder::stallLimit() const
{
    return this->eventsInAttempt == 0 ? firstEventStallTimeout : stallTimeout;
}

std::uint64_t StreamForwarder::subscribeToSuspicions(const LayerChain& chain)
{
    this->engines.clear();
    for (const LayerStage& stage : chain.stages)
        this->engines.push_back(stage.endpoint);
    return this->task.context.streams.add(this->engines, [this](const EndpointId& engine, const std::string& evidence) {
        // A suspected engine may still be alive: the stream stays on its chain until another one can serve it.
        if (this->stallDuration() < suspectedStallTimeout || !this->prepareMove(this->engines.front(), engine))
            return;
        this->failedEngine = engine;
        this->failedEngineFault = EndpointFault::Failed;
        this->failedEngineEvidence = evidence;
        this->task.upstream->close();
    });
}

void StreamForwarder::noteSuspected(const EndpointId& engine, const std::string& evidence)
{
    GatewayContext& context = this->task.context;
    const EndpointRecord* record = context.registry.find(engine);
    if (!record)
        return;
    const bool alreadySuspected = EndpointRegistry::isSuspected(*record, bootNow());
    context.registry.noteFault(engine, EndpointFault::Unreachable, bootNow());
    if (alreadySuspected)
        return;
    this->task.logDecision("engine-suspected", { { "engine", engine.str() }, { "evidence", evidence }, { "pausedMs", milliseconds(this->stallDuration()) } });
    context.streams.notifySuspected(engine, evidence);
}

bool StreamForwarder::prepareMove(const EndpointId& first, const EndpointId& blamed)
{
    const auto historyAfter = this->task.historyAfterStall(first, blamed);
    if (!historyAfter || !this->task.upstream || this->plannedMove)
        return false;
    if (this->task.canHandOver(*historyAfter))
        return this->task.chargeRetryBudget();
    auto chain = planStream(this->task, *historyAfter);
    if (!chain || !this->task.chargeRetryBudget())
        return false;
    this->plannedMove.emplace(this->task.context, std::move(*chain));
    return true;
}

bool StreamForwarder::abandonStalledChain(const EndpointId& first)
{
    if (!this->prepareMove(first, first))
        return false;
    this->abandonedStalledChain = true;
    this->task.upstream->close();
    return true;
}

asio::awaitable<void> StreamForwarder::monitorAttempt(std::shared_ptr<AttemptMonitor> monitor, ForwardMetadata metadata)
{
    while (!monitor->finished) {
        // The forwarder may be destroyed during a wait: no member may be accessed before the check above.
        GatewayContext& context = this->task.context;
        if (this->stallDuration() >= this->stallLimit() && this->abandonStalledChain(metadata.stages.front().endpoint))
            co_return;
        const Duration untilAbandoning = std::max<Duration>(this->stallLimit() - this->stallDuration(), stallCheckInterval);
        if (this->lastProgress > monitor->checkedAt)
            monitor->checksSinceEvent = 0;
        const TimePoint due = std::max(this->lastProgress, monitor->checkedAt) + monitor->checkInterval(this->eventsInAttempt == 0 ? monitor->firstEventLimit : monitor->gapLimit);
        if (bootNow() < due) {
            co_await sleepFor(context.io, std::min<Duration>(due - bootNow(), untilAbandoning));
            continue;
        }
        // A report request would be another request to an engine that wants none now.
        const EndpointId& firstEngine = metadata.stages.front().endpoint;
        const EndpointRecord* first = context.registry.find(firstEngine);
        if ((first && EndpointRegistry::isPushedBack(*first, bootNow())) || !context.rateLimits.permits(firstEngine, bootNow())) {
            monitor->checkedAt = bootNow();
            continue;
        }
        const std::optional<EndpointId> failed = co_await context.failureDetector.findFailedEngine(metadata, this->task.request.id);
        if (monitor->finished)
            co_return;
        monitor->checkedAt = bootNow();
        ++monitor->checksSinceEvent;
        const bool stalled = monitor->checkedAt - this->lastProgress >= suspectedStallTimeout;
        if (!failed || !stalled || !this->task.upstream)
            continue;
        const std::string evidence = "report of " + firstEngine.str();
        // The engine may be silent for a moment only: the stream stays on its chain until another one can serve it.
        if (!this->prepareMove(firstEngine, *failed)) {
            this->noteSuspected(*failed, evidence);
            continue;
        }
        this->failedEngine = failed;
        this->failedEngineFault = EndpointFault::Unreachable;
        this->failedEngineEvidence = evidence;
        this->task.upstream->close();
        co_return;
    }
}

}
