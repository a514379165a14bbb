#include <filbertspoke/Proxy>

#include "internal/Awaiting.h"
#include "internal/ChainReservation.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace filbertspoke {

namespace asio = boost::asio;

namespace {

using internal::ChainReservation;
using internal::sleepFor;

// Fraction of the route's target latency for which a generation may wait for free capacity; the rest is left for the prefill.
constexpr double queueingFraction = 0.6;
// Waiting generations plan again at least this often, because this daemon is not notified when other daemons' work ends.
constexpr Duration capacityPollInterval = std::chrono::milliseconds(40);
// A chain without events is checked for a failed engine after these multiples of the expected time to the first event and of
// the target gap between events, but not before the minimum.
constexpr int firstEventFactor = 4;
constexpr Duration minFirstEventTimeout = std::chrono::milliseconds(300);
constexpr int gapFactor = 2;
constexpr Duration minGapTimeout = std::chrono::milliseconds(400);
// Time limit for reading and discarding the body of an error response, so that its connection can be reused.
constexpr Duration refusalBodyTimeout = std::chrono::milliseconds(200);
// Callers abandon a stream without events after two seconds; a started stream is resumed on another chain until shortly before that.
constexpr Duration callerStallLimit = std::chrono::milliseconds(1900);
// A chain without events is abandoned after stallTimeout, or after firstEventStallTimeout before its first event, even if all of
// its engines seem alive, provided that the stream can be resumed elsewhere. Enough time is then left for a second chain to
// serve the caller.
constexpr Duration stallTimeout = std::chrono::milliseconds(1300);
constexpr Duration firstEventStallTimeout = std::chrono::milliseconds(900);
// Interval of checks for another chain while a stream is stalled beyond its limit; planning a chain takes one or two milliseconds
// of CPU time on a slow host.
constexpr Duration stallCheckInterval = std::chrono::milliseconds(250);
// Responses from this status on are no streams.
constexpr unsigned firstRedirection = 300;
// All engines of a chain are reported as healthy to the registry once every this many events of the stream.
constexpr std::uint32_t eventsPerHealthReport = 16;
// A stream without events for at least this time attributes the stall to an engine of its chain that is reported as suspect.
// The value is well above the usual time between two events.
constexpr Duration suspectedStallTimeout = std::chrono::milliseconds(150);

/** \brief State of the coroutine that monitors one attempt; shared because it may outlive the attempt. */
struct AttemptMonitor {
    bool finished = false; ///< the attempt has ended
    Duration firstEventLimit {}; ///< time to the first event after which the chain is checked
    Duration gapLimit {}; ///< time between events after which the chain is checked
    TimePoint checkedAt = bootNow();
    unsigned checksSinceEvent = 0; ///< checks since the last event that found no failed engine

    /** \returns the time without events after which the chain is checked again. It backs off exponentially, because an engine
     * that was alive at earlier checks is more likely slow than failed */
    Duration checkInterval(Duration limit) const
    {
        // A failed engine is detected within the first checks, which therefore run without backoff.
        const unsigned doublings = this->checksSinceEvent < missedReportsForFailure ? 0 : this->checksSinceEvent - missedReportsForFailure + 1;
        return limit * (1 << std::min(doublings, maximumDoublings));
    }

private:
    static constexpr unsigned maximumDoublings = 2;
};

/** \brief Records that a request with the traits was at the engine when it crashed, if its broken connection is due to a crash. */
asio::awaitable<void> noteCrash(GatewayContext& context, std::vector<RequestTraitId> traits, ForwardStage engine, EndpointRun run, TimePoint sentAt)
{
    const TimePoint brokenAt = bootNow();
    if (co_await context.failureDetector.hasCrashed(engine, brokenAt))
        context.noteCrash(traits, run, sentAt, brokenAt);
}

/** \brief Forwards one stream, over all chains that serve it in turn. */
class StreamForwarder {
public:
    explicit StreamForwarder(ForwardTask& task)
        : task(task)
        , lastEventId(task.request.lastEventId)
    {
    }

    asio::awaitable<void> run();

private:
    asio::awaitable<std::optional<LayerChain>> awaitChain();
    std::optional<ForwardMetadata> metadataFor(const LayerChain&) const;
    asio::awaitable<AttemptResult> runMonitoredAttempt(const ForwardMetadata&, const LayerChain&);
    asio::awaitable<AttemptResult> attempt(const ForwardMetadata&, const LayerChain&);
    asio::awaitable<AttemptResult> relayBody(const UpstreamPointer&, std::optional<Duration> expectedPerEvent);
    asio::awaitable<AttemptResult> attemptHandover(SocketAddress target);
    asio::awaitable<std::optional<AttemptResult>> forwardEvents(std::vector<StreamEvent>);
    asio::awaitable<void> monitorAttempt(std::shared_ptr<AttemptMonitor>, ForwardMetadata);
    Duration stallDuration() const { return bootNow() - std::max(this->lastProgress, this->attemptStartedAt); }
    Duration stallLimit() const { return this->eventsInAttempt == 0 ? firstEventStallTimeout : stallTimeout; }
    bool abandonStalledChain(const EndpointId& first);
    AttemptResult readFailure(const std::error_code&, const std::string& timeoutReason, const std::string& brokenReason) const;
    std::uint64_t subscribeToSuspicions(const LayerChain&);
    asio::awaitable<void> finish(bool complete);
    void reportChainHealthy();
    void logChain(const LayerChain&) const;

    ForwardTask& task;
    std::optional<std::uint64_t> lastEventId; ///< last event that the caller received
    bool headSent = false;
    bool responded = false; ///< the caller has a whole response that is no stream
    bool firstEventSent = false;
    bool abandonedStalledChain = false; ///< the current attempt was aborted because it produced no events
    std::optional<EndpointId> failedEngine; ///< the engine whose failure aborted the current attempt
    EndpointFault failedEngineFault = EndpointFault::Failed; ///< how failedEngine failed
    std::optional<Duration> refusalTime; ///< for which the request is refused because it may crash endpoints
    std::vector<EndpointId> engines; ///< engines of the chain in use
    std::uint32_t eventsInAttempt = 0;
    TimePoint attemptStartedAt = bootNow();
    TimePoint lastProgress = bootNow(); ///< time of the last event, or of the request's arrival
};

void StreamForwarder::reportChainHealthy()
{
    for (const EndpointId& engine : this->engines)
        this->task.context.registry.noteSuccess(engine, this->attemptStartedAt);
}

asio::awaitable<std::optional<LayerChain>> StreamForwarder::awaitChain()
{
    const TimePoint latestStart = this->headSent ? this->lastProgress + callerStallLimit : bootNow() + scaled(this->task.route.targetLatency, queueingFraction);
    const TimePoint limit = std::min(this->task.deadline, latestStart);
    std::uint64_t seen = this->task.context.capacityChanges - 1;
    bool rateLimited = false;
    while (!this->task.caller->disconnected() && !this->task.handoverTarget()) {
        const std::optional<Duration> delay = this->task.rateLimitDelay();
        const bool delayed = delay != Duration::zero();
        // Planning again can only succeed after capacity was released, a report of other daemons' work arrived or a first stage accepts
        // requests again.
        if (!delayed && (rateLimited || seen != this->task.context.capacityChanges)) {
            seen = this->task.context.capacityChanges;
            if (auto chain = planStream(this->task, this->task.history))
                co_return chain;
        }
        const Duration left = limit - bootNow();
        if (left <= Duration::zero() || this->task.pushbackRemaining().value_or(Duration::zero()) > left)
            break;
        const bool begins = !rateLimited && delayed;
        if (delayed && (!delay || *delay > left || (begins && this->task.rateLimitQueueIsFull(this->task.context.waiters.size(), left))))
            break;
        rateLimited = delayed;
        const Duration pause = std::min(left, delayed ? *delay : left);
        co_await this->task.context.waiters.wait(std::min(pause, capacityPollInterval));
    }
    co_return std::nullopt;
}

std::optional<ForwardMetadata> StreamForwarder::metadataFor(const LayerChain& chain) const
{
    ForwardMetadata metadata;
    metadata.timeLeft = this->task.timeLeft();
    metadata.account = this->task.account;
    metadata.lastEventId = this->lastEventId;
    for (const LayerStage& stage : chain.stages) {
        const EndpointRecord* record = this->task.context.registry.find(stage.endpoint);
        if (!record)
            return std::nullopt;
        metadata.stages.push_back({ stage.endpoint, record->endpoint.address, stage.layers });
    }
    return metadata;
}

asio::awaitable<std::optional<AttemptResult>> StreamForwarder::forwardEvents(std::vector<StreamEvent> events)
{
    std::string text;
    for (StreamEvent& event : events) {
        if (event.id && this->lastEventId && *event.id != *this->lastEventId + 1)
            co_return AttemptResult { AttemptEnd::Lost, EndpointFault::Broken, {}, "event-out-of-order" };
        text += event.text;
        // Comments and other events without id do not count as progress, because an engine that produces no tokens may send them.
        if (!event.id)
            continue;
        this->lastEventId = event.id;
        this->lastProgress = bootNow();
        if (this->eventsInAttempt == 0)
            this->task.noteServed();
        if (this->eventsInAttempt++ % eventsPerHealthReport == 0)
            this->reportChainHealthy();
    }
    if (text.empty())
        co_return std::nullopt;
    if (!this->firstEventSent) {
        this->firstEventSent = true;
        this->task.context.metrics.observeFirstToken(bootNow() - this->task.received);
    }
    co_await this->task.caller->sendPart(text);
    co_return std::nullopt;
}

std::uint64_t StreamForwarder::subscribeToSuspicions(const LayerChain& chain)
{
    this->engines.clear();
    for (const LayerStage& stage : chain.stages)
        this->engines.push_back(stage.endpoint);
    return this->task.context.streams.add(this->engines, [this](const EndpointId& engine) {
        if (bootNow() - this->lastProgress < suspectedStallTimeout || !this->task.upstream)
            return;
        // A suspected engine may still be alive: without a permitted retry, the stream stays on its chain.
        if (!this->task.historyAfterStall(this->engines.front()) || !this->task.chargeRetryBudget())
            return;
        this->failedEngine = engine;
        this->failedEngineFault = EndpointFault::Failed;
        this->task.upstream->close();
    });
}

bool StreamForwarder::abandonStalledChain(const EndpointId& first)
{
    const auto historyAfter = this->task.historyAfterStall(first);
    if (!historyAfter || !this->task.upstream || !(this->task.canHandOver(*historyAfter) || planStream(this->task, *historyAfter)) || !this->task.chargeRetryBudget())
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
        this->failedEngine = failed;
        this->failedEngineFault = EndpointFault::Unreachable;
        this->task.upstream->close();
        co_return;
    }
}

AttemptResult StreamForwarder::readFailure(const std::error_code& error, const std::string& timeoutReason, const std::string& brokenReason) const
{
    if (this->abandonedStalledChain || isTimeout(error))
        return { AttemptEnd::Lost, EndpointFault::Silent, {}, timeoutReason };
    AttemptResult result { AttemptEnd::Lost, EndpointFault::Broken, {}, brokenReason };
    result.connectionBroken = true;
    return result;
}

asio::awaitable<AttemptResult> StreamForwarder::relayBody(const UpstreamPointer& connection, std::optional<Duration> expectedPerEvent)
{
    EventStreamParser events;
    Result<BodyProgress> ended = BodyProgress::More;
    bool first = true;
    TimePoint firstEventAt;
    while (*ended == BodyProgress::More) {
        if (this->task.timeLeft() <= Duration::zero())
            co_return AttemptResult { AttemptEnd::Lost, EndpointFault::Silent, {}, "unfinished" };
        std::string bytes;
        ended = co_await connection->readBody(bytes, this->task.timeLeft());
        if (this->task.caller->disconnected())
            co_return AttemptResult {};
        if (!ended)
            co_return this->readFailure(ended.error(), "stalled", "broken-off");
        if (first && !bytes.empty()) {
            first = false;
            firstEventAt = bootNow();
        }
        if (auto failure = co_await this->forwardEvents(events.feed(bytes)))
            co_return *failure;
        if (events.eventTooLarge())
            co_return AttemptResult { AttemptEnd::Lost, EndpointFault::Broken, {}, "event-too-large" };
    }
    if (events.midEvent())
        co_return AttemptResult { AttemptEnd::Lost, EndpointFault::Broken, {}, "ended-within-event" };
    if (this->eventsInAttempt > 1)
        logLine(WriteLog::Level::Info, "stream-pace", { { "request", this->task.request.id.str() }, { "events", std::to_string(this->eventsInAttempt) }, { "perEventUs", std::to_string((bootNow() - firstEventAt).count() / (this->eventsInAttempt - 1)) }, { "expectedUs", expectedPerEvent ? std::to_string(expectedPerEvent->count()) : "" } });
    co_return AttemptResult {};
}

asio::awaitable<AttemptResult> StreamForwarder::attempt(const ForwardMetadata& metadata, const LayerChain& chain)
{
    AttemptResult result;
    const UpstreamPointer connection = co_await this->task.sendRequest(metadata, result);
    if (!connection)
        co_return result;
    const Result<EndpointReply> reply = co_await this->task.readReply(connection, metadata.stages.front().endpoint, this->task.timeLeft());
    if (this->task.caller->disconnected())
        co_return AttemptResult {};
    if (!reply) {
        connection->close();
        co_return this->readFailure(reply.error(), "no-answer", "broken-off-unanswered");
    }
    if (auto failure = this->task.classifyFailure(*reply)) {
        // A connection with unread body bytes can't be reused; the pool closes it.
        const std::error_code unread = co_await connection->skipBody(std::min<Duration>(refusalBodyTimeout, this->task.timeLeft()));
        if (unread)
            logLine(WriteLog::Level::Info, "refusal-body-unread", { { "request", this->task.request.id.str() }, { "endpoint", metadata.stages.front().endpoint.str() }, { "reason", unread.message() } });
        this->task.context.pool.giveBack(metadata.stages.front().address, connection);
        co_return *failure;
    }
    if (!this->headSent) {
        this->headSent = true;
        co_await this->task.caller->startStream(reply->status, reply->headers, this->task.keepAlive());
    }
    result = co_await this->relayBody(connection, chain.perEvent);
    // Closing the connection makes the engines stop at once, so that no work continues in parallel with the next attempt.
    if (result.failure)
        connection->close();
    else
        this->task.context.pool.giveBack(metadata.stages.front().address, connection);
    co_return result;
}

asio::awaitable<AttemptResult> StreamForwarder::attemptHandover(SocketAddress target)
{
    this->engines.clear();
    this->failedEngine.reset();
    this->abandonedStalledChain = false;
    this->eventsInAttempt = 0;
    this->attemptStartedAt = bootNow();
    AttemptResult result;
    const UpstreamPointer connection = co_await this->task.sendHandover(target, this->lastEventId, result);
    if (!connection)
        co_return result;
    const Result<EndpointReply> reply = co_await this->task.readHandoverReply(connection);
    if (this->task.caller->disconnected())
        co_return AttemptResult {};
    if (!reply) {
        connection->close();
        co_return this->readFailure(reply.error(), "no-answer", "broken-off-unanswered");
    }
    if (auto failure = this->task.handoverFailureOf(*reply, this->headSent)) {
        connection->close();
        co_return *failure;
    }
    if (!reply->sealed || reply->status >= firstRedirection) {
        result = co_await this->task.relayHandoverResponse(connection, target, *reply);
        this->responded = !result.failure;
        co_return result;
    }
    if (!this->headSent) {
        this->headSent = true;
        co_await this->task.caller->startStream(reply->status, reply->headers, this->task.keepAlive());
    }
    result = co_await this->relayBody(connection, std::nullopt);
    result.events = this->eventsInAttempt;
    if (result.failure)
        connection->close();
    else
        this->task.context.pool.giveBack(target, connection);
    co_return result;
}

asio::awaitable<void> StreamForwarder::finish(bool complete)
{
    if (this->responded)
        co_return;
    this->task.caller->stopWatching();
    if (complete) {
        co_await this->task.caller->endStream();
        this->task.logOutcome("answered", 200);
        co_return;
    }
    if (!this->headSent) {
        co_await this->task.respondFailure(this->refusalTime ? ErrorCode::RequestQuarantined : ErrorCode::NoPipeline, this->refusalTime);
        co_return;
    }
    // The caller must be able to detect that the stream is incomplete.
    this->task.logOutcome("broken-off", 0);
    this->task.caller->close();
}

void StreamForwarder::logChain(const LayerChain& chain) const
{
    this->task.logDecision("chain-chosen", { { "stages", std::to_string(chain.stages.size()) }, { "first", chain.stages.front().endpoint.str() }, { "firstTokenMs", milliseconds(chain.firstToken) }, { "perTokenUs", std::to_string(chain.perToken.count()) }, { "crossings", std::to_string(chain.crossings.size()) }, { "waitedMs", milliseconds(bootNow() - this->task.received) }, { "resumesAfter", this->lastEventId ? std::to_string(*this->lastEventId) : "" }, { "sharePerSecond", this->task.rateShare(chain.stages.front().endpoint) } });
}

asio::awaitable<AttemptResult> StreamForwarder::runMonitoredAttempt(const ForwardMetadata& metadata, const LayerChain& chain)
{
    const ChainReservation reservation(this->task.context, chain);
    this->failedEngine.reset();
    this->abandonedStalledChain = false;
    this->eventsInAttempt = 0;
    this->attemptStartedAt = bootNow();
    const EndpointId& firstEngine = metadata.stages.front().endpoint;
    const EndpointRecord* record = this->task.context.registry.find(firstEngine);
    const EndpointRun firstRun { firstEngine, record ? record->endpoint.startedAtMs : 0 };
    const std::uint64_t subscription = this->subscribeToSuspicions(chain);
    const auto monitor = std::make_shared<AttemptMonitor>();
    monitor->firstEventLimit = std::max<Duration>(minFirstEventTimeout, chain.firstToken * firstEventFactor);
    monitor->gapLimit = std::max<Duration>(minGapTimeout, this->task.route.targetGap * gapFactor);
    asio::co_spawn(this->task.context.io, this->monitorAttempt(monitor, metadata), asio::detached);
    AttemptResult result = co_await this->attempt(metadata, chain);
    monitor->finished = true;
    this->task.context.streams.remove(subscription);
    this->task.upstream = nullptr;
    if (result.failure && this->failedEngine)
        result = { result.failure, this->failedEngineFault, this->failedEngine, "engine-lost" };
    result.events = this->eventsInAttempt;
    const bool firstEngineLost = result.connectionBroken || (result.failure && this->failedEngine == firstEngine);
    if (firstEngineLost && result.events == 0 && !this->task.caller->disconnected())
        asio::co_spawn(this->task.context.io, noteCrash(this->task.context, this->task.traits(), metadata.stages.front(), firstRun, this->attemptStartedAt), asio::detached);
    co_return result;
}

asio::awaitable<void> StreamForwarder::run()
{
    bool complete = false;
    bool retry = true;
    while (retry && !this->task.caller->disconnected()) {
        if ((this->refusalTime = this->task.context.refusalTime(this->task.traits())))
            break;
        if (const auto target = this->task.handoverTarget()) {
            if (!this->task.chargeRetryBudget())
                break;
            const AttemptResult result = co_await this->attemptHandover(*target);
            complete = !result.failure;
            retry = result.failure && !this->task.caller->disconnected() && this->task.noteHandoverFailure(*target, result);
            continue;
        }
        const std::optional<LayerChain> chain = co_await this->awaitChain();
        // This daemon was found to be cut off meanwhile.
        if (!chain && this->task.handoverTarget())
            continue;
        const auto metadata = chain ? this->metadataFor(*chain) : std::nullopt;
        if ((this->refusalTime = this->task.context.refusalTime(this->task.traits())))
            break;
        if (!metadata || !this->task.chargeRetryBudget())
            break;
        this->task.context.rateLimits.noteSent(chain->stages.front().endpoint, bootNow());
        this->logChain(*chain);
        const AttemptResult result = co_await this->runMonitoredAttempt(*metadata, *chain);
        complete = !result.failure;
        retry = result.failure && !this->task.caller->disconnected() && this->task.noteFailure(result, chain->stages.front().endpoint);
    }
    if (this->task.caller->disconnected())
        this->task.logOutcome("caller-gone", 0);
    else
        co_await this->finish(complete);
}

}

asio::awaitable<void> forwardStream(ForwardTask& task)
{
    StreamForwarder forwarder(task);
    co_await forwarder.run();
}

}
