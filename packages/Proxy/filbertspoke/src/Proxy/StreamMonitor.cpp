// Monitors an attempt of a StreamForwarder, and lets the stream leave engines that fail or fall silent.
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
// Interval of checks for an engine that refuses requests while a stream is stalled; half of suspectedStallTimeout, so that a stream leaves a crashed
// engine before its pause exceeds the usual target of 250 ms.
constexpr Duration refusalCheckInterval = std::chrono::milliseconds(75);
// Events of an attempt after which its longest pause counts as usual for the stream.
constexpr std::uint32_t eventsThatShowPace = 3;
// Time in which a daemon that was held up reads what has arrived meanwhile, before it judges a stall.
constexpr Duration catchUpTime = std::chrono::milliseconds(50);

}

Duration StreamForwarder::stallLimit() const
{
    return this->eventsInAttempt == 0 ? firstEventStallTimeout : stallTimeout;
}

std::uint64_t StreamForwarder::subscribeToSuspicions(const LayerChain& chain, std::shared_ptr<AttemptMonitor> monitor)
{
    this->engines.clear();
    for (const LayerStage& stage : chain.stages)
        this->engines.push_back(stage.endpoint);
    return this->task.context.streams.add(this->engines, [this, monitor](const EndpointId& engine, const std::string& evidence) {
        if (this->stallDuration() >= suspectedStallTimeout)
            this->beginMove(monitor, this->engines.front(), { engine, EndpointFault::Failed, evidence });
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

asio::awaitable<void> StreamForwarder::pauseMonitor(GatewayContext& context, Duration duration)
{
    while (true) {
        const TimePoint startedAt = bootNow();
        co_await sleepFor(context.io, duration);
        if (!wasHeldUp(startedAt, duration))
            co_return;
        duration = catchUpTime;
    }
}

std::optional<EndpointId> StreamForwarder::refusingEngine() const
{
    const TimePoint now = bootNow();
    // The first pause of an attempt alone does not tell how fast the stream is.
    const auto usualPause = this->eventsInAttempt >= eventsThatShowPace ? std::optional(this->longestGapInAttempt) : std::nullopt;
    for (const EndpointId& engine : this->engines) {
        const EndpointRecord* record = this->task.context.registry.find(engine);
        const auto refusedAt = record ? record->refusals.lastRefusal(now) : std::nullopt;
        if (refusedAt && isStalledByRefusingEngine(this->stallDuration(), usualPause, now - *refusedAt))
            return engine;
    }
    return std::nullopt;
}

asio::awaitable<void> StreamForwarder::monitorAttempt(std::shared_ptr<AttemptMonitor> monitor, ForwardMetadata metadata)
{
    while (!monitor->finished) {
        // The forwarder may be destroyed during a wait: no member may be accessed before the check above.
        GatewayContext& context = this->task.context;
        if (monitor->moving) {
            co_await pauseMonitor(context, stallCheckInterval);
            continue;
        }
        if (this->stallDuration() >= this->stallLimit() && this->beginMove(monitor, metadata.stages.front().endpoint, {}))
            continue;
        if (const auto refusing = this->refusingEngine(); refusing && this->beginMove(monitor, metadata.stages.front().endpoint, { *refusing, EndpointFault::Failed, "refuses other requests" }))
            continue;
        const Duration untilAbandoning = std::max<Duration>(this->stallLimit() - this->stallDuration(), stallCheckInterval);
        if (this->lastProgress > monitor->checkedAt)
            monitor->checksSinceEvent = 0;
        const TimePoint due = std::max(this->lastProgress, monitor->checkedAt) + monitor->checkInterval(this->eventsInAttempt == 0 ? monitor->firstEventLimit : monitor->gapLimit);
        if (bootNow() < due) {
            const Duration pause = std::min(std::min<Duration>(due - bootNow(), untilAbandoning), refusalCheckInterval);
            co_await pauseMonitor(context, pause);
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
        if (!failed || !stalled || monitor->moving)
            continue;
        const std::string evidence = "report of " + firstEngine.str();
        this->beginMove(monitor, firstEngine, { *failed, EndpointFault::Unreachable, evidence });
        // The engine may be silent for a moment only, so that the stream stays there until the rest comes from elsewhere.
        this->noteSuspected(*failed, evidence);
    }
}

}
