// The move of a stream in progress from its chain to another chain or gateway.
#include <filbertspoke/Proxy>

#include "internal/AttemptMonitor.h"
#include "internal/StreamForwarder.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace filbertspoke::internal {

namespace asio = boost::asio;

namespace {

// Time limit for the head of the rest of a stream: the caller waits for two seconds after the last event, of which the stall has taken more than half.
constexpr Duration moveTimeout = std::chrono::milliseconds(900);

}

std::optional<MoveTarget> StreamForwarder::planMove(const AttemptHistory& historyAfter)
{
    if (this->task.canHandOver(historyAfter)) {
        const auto gateway = this->task.handoverTarget();
        return gateway && this->task.chargeRetryBudget() ? std::optional<MoveTarget>(*gateway) : std::nullopt;
    }
    auto chain = planStream(this->task, historyAfter);
    auto metadata = chain ? this->metadataFor(*chain) : std::nullopt;
    if (!metadata || !this->task.chargeRetryBudget())
        return std::nullopt;
    return std::make_shared<const PlannedChain>(this->task.context, std::move(*chain), std::move(*metadata));
}

bool StreamForwarder::beginMove(std::shared_ptr<AttemptMonitor> monitor, const EndpointId& first, MoveCause cause)
{
    // An aborted attempt ends only when its coroutine resumes; the engine may be suspected once more before that.
    if (monitor->finished || monitor->moving || this->acceptedMove || !this->task.upstream)
        return false;
    const auto historyAfter = this->task.historyAfterStall(first, cause.failedEngine.value_or(first));
    if (!historyAfter)
        return false;
    auto target = this->planMove(*historyAfter);
    if (!target)
        return false;
    monitor->moving = true;
    const std::uint32_t endpointsUsed = historyAfter->state(this->task.timeLeft()).endpointsUsed;
    asio::co_spawn(this->task.context.io, this->moveTo(std::move(*target), std::move(monitor), endpointsUsed, std::move(cause)), asio::detached);
    return true;
}

bool StreamForwarder::wantsRest(const AttemptMonitor& monitor) const
{
    return !monitor.moveCancelled && !this->task.caller->disconnected();
}

asio::awaitable<std::optional<BegunStream>> StreamForwarder::requestRest(std::shared_ptr<AttemptMonitor> monitor, MoveTarget target, std::uint32_t endpointsUsed)
{
    const Duration timeout = std::min<Duration>(moveTimeout, this->task.timeLeft());
    const TimePoint startedAt = bootNow();
    AttemptResult result;
    std::optional<BegunStream> begun;
    if (const auto* gateway = std::get_if<SocketAddress>(&target)) {
        begun = co_await this->beginAtGateway(*gateway, true, endpointsUsed, timeout, this->task.offered, result);
        if (!begun && result.failure && this->wantsRest(*monitor))
            this->task.noteHandoverFailure(*gateway, result);
        co_return begun;
    }
    const auto& planned = std::get<std::shared_ptr<const PlannedChain>>(target);
    const std::vector<EndpointRun> runs = this->runsOf(planned->metadata);
    const EndpointId& first = planned->metadata.stages.front().endpoint;
    this->task.context.rateLimits.noteSent(first, bootNow());
    this->logChain(planned->chain);
    begun = co_await this->beginAtChain(planned->metadata, timeout, this->task.offered, result);
    if (!begun && result.failure && this->wantsRest(*monitor)) {
        this->noteCrashAfter(result, planned->metadata, runs, startedAt);
        this->task.noteFailure(result, first);
    }
    co_return begun;
}

asio::awaitable<void> StreamForwarder::moveTo(MoveTarget target, std::shared_ptr<AttemptMonitor> monitor, std::uint32_t endpointsUsed, MoveCause cause)
{
    const auto resumesAfter = this->lastEventId;
    std::optional<BegunStream> begun;
    if (!monitor->moveCancelled)
        begun = co_await this->requestRest(monitor, target, endpointsUsed);
    // The rest was requested behind the last event at that time: with further events it would overlap.
    const bool fits = this->wantsRest(*monitor) && this->lastEventId == resumesAfter;
    if (begun && !fits)
        this->withdrawMove(target, *begun);
    if (begun && fits) {
        this->acceptedMove = AcceptedMove { std::move(target), std::move(*begun) };
        if (!monitor->finished) {
            this->abandonedStalledChain = !cause.failedEngine;
            this->failedEngine = cause.failedEngine;
            this->failedEngineFault = cause.fault;
            this->failedEngineEvidence = cause.evidence;
            this->task.upstream->close();
        }
    }
    this->task.offered = nullptr;
    monitor->moving = false;
    monitor->moveEnded.cancel();
}

void StreamForwarder::withdrawMove(const MoveTarget& target, const BegunStream& begun)
{
    begun.connection->close();
    const AttemptResult withdrawn { AttemptEnd::Lost, EndpointFault::Broken, {}, "withdrawn" };
    if (const auto* gateway = std::get_if<SocketAddress>(&target)) {
        this->task.noteHandoverFailure(*gateway, withdrawn);
        return;
    }
    const EndpointId& first = std::get<std::shared_ptr<const PlannedChain>>(target)->metadata.stages.front().endpoint;
    this->task.history.noteFailure({ AttemptEnd::Lost, first, first, EndpointFault::Broken });
    this->task.logDecision("move-withdrawn", { { "endpoint", first.str() }, { "events", std::to_string(this->eventsInAttempt) } });
}

asio::awaitable<void> StreamForwarder::awaitMove(std::shared_ptr<AttemptMonitor> monitor, const AttemptResult& result)
{
    if (!monitor->moving)
        co_return;
    if (!result.failure || this->task.caller->disconnected()) {
        monitor->moveCancelled = true;
        if (this->task.offered)
            this->task.offered->close();
    }
    co_await monitor->moveEnded.async_wait(asTuple);
}

}
