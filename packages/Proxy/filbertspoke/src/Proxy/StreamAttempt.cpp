// One attempt of a StreamForwarder: at a chain of engines, or at the gateway to which the request is handed over.
#include <filbertspoke/Proxy>

#include "internal/AttemptMonitor.h"
#include "internal/ChainReservation.h"
#include "internal/StreamForwarder.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace filbertspoke::internal {

namespace asio = boost::asio;

namespace {

// A chain without events is checked for a failed engine after these multiples of the expected time to the first event and of
// the target gap between events, but not before the minimum.
constexpr int firstEventFactor = 4;
constexpr Duration minFirstEventTimeout = std::chrono::milliseconds(300);
constexpr int gapFactor = 2;
constexpr Duration minGapTimeout = std::chrono::milliseconds(400);
// Time limit for reading and discarding the body of an error response, so that its connection can be reused.
constexpr Duration refusalBodyTimeout = std::chrono::milliseconds(200);
// All engines of a chain are reported as healthy to the registry once every this many events of the stream.
constexpr std::uint32_t eventsPerHealthReport = 16;
// A first engine answers for a later one that it has waited for longer than this, so that a report request of this age shows the loss too.
constexpr Duration reportSharing = std::chrono::milliseconds(200);
const std::string engineLost = "engine-lost";

AttemptResult brokenOff(const std::string& reason)
{
    AttemptResult result { AttemptEnd::Lost, EndpointFault::Broken, {}, reason };
    result.connectionBroken = true;
    return result;
}

/** \brief Records that a request with the traits was at the engine when it crashed, if the engine was lost by a crash.
 * \param broken whether the engine's connection broke at the time of the crash; otherwise the time is unknown, and counts as that of sending,
 * so that a request with the traits that is served later clears them */
asio::awaitable<void> noteCrash(GatewayContext& context, std::vector<RequestTraitId> traits, ForwardStage engine, EndpointRun run, TimePoint sentAt, bool broken)
{
    const TimePoint lostAt = bootNow();
    if (co_await context.failureDetector.hasCrashed(engine, broken ? lostAt : lostAt - reportSharing))
        context.noteCrash(traits, run, sentAt, broken ? lostAt : sentAt);
}

/** \returns the stage whose engine may have crashed under the request, as an index */
std::optional<std::size_t> lostStage(const ForwardMetadata& metadata, const AttemptResult& result)
{
    if (result.connectionBroken)
        return 0;
    const bool mayBeLost = result.fault == EndpointFault::Unreachable || result.fault == EndpointFault::Refused || result.reason == engineLost;
    if (!result.failure || !result.blamed || !mayBeLost)
        return std::nullopt;
    const auto stage = std::find_if(metadata.stages.begin(), metadata.stages.end(), [&result](const ForwardStage& candidate) { return candidate.endpoint == *result.blamed; });
    if (stage == metadata.stages.end())
        return std::nullopt;
    return static_cast<std::size_t>(stage - metadata.stages.begin());
}

}

void StreamForwarder::reportChainHealthy()
{
    for (const EndpointId& engine : this->engines)
        this->task.context.registry.noteSuccess(engine, this->attemptStartedAt);
}

asio::awaitable<std::optional<AttemptResult>> StreamForwarder::forwardEvents(std::vector<StreamEvent> events)
{
    std::string text;
    std::optional<AttemptResult> failure;
    for (StreamEvent& event : events) {
        if (event.id && this->lastEventId && *event.id != *this->lastEventId + 1) {
            failure = AttemptResult { AttemptEnd::Lost, EndpointFault::Broken, {}, "event-out-of-order" };
            break;
        }
        text += event.text;
        // Comments and other events without id do not count as progress, because an engine that produces no tokens may send them.
        if (!event.id)
            continue;
        this->lastEventId = event.id;
        this->task.streamBegun = true;
        const TimePoint now = bootNow();
        if (this->firstEventSent)
            this->longestGap = std::max(this->longestGap, now - this->lastProgress);
        if (this->eventsInAttempt > 0)
            this->longestGapInAttempt = std::max(this->longestGapInAttempt, now - this->lastProgress);
        this->lastProgress = now;
        if (this->eventsInAttempt++ % eventsPerHealthReport == 0)
            this->reportChainHealthy();
        if (isPastStart(this->eventsInAttempt) && !isPastStart(this->eventsInAttempt - 1))
            this->task.noteServed();
    }
    // The next attempt resumes after lastEventId, so the events up to it must reach the caller even if the attempt fails.
    if (!text.empty()) {
        if (!this->firstEventSent) {
            this->firstEventSent = true;
            this->task.context.metrics.observeFirstToken(bootNow() - this->task.received);
        }
        co_await this->task.caller->sendPart(text);
    }
    co_return failure;
}

AttemptResult StreamForwarder::readFailure(const std::error_code& error, const std::string& timeoutReason, const std::string& brokenReason) const
{
    if (this->abandonedStalledChain || isTimeout(error))
        return lostResponse(error, EndpointFault::Silent, timeoutReason);
    AttemptResult result = lostResponse(error, EndpointFault::Broken, brokenReason);
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
        // What has arrived since another chain or gateway began to send the rest would reach the caller twice.
        if (!ended || this->acceptedMove)
            co_return this->readFailure(ended ? make_error_code(ErrorCode::EndpointUnreachable) : ended.error(), "stalled", "broken-off");
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
        co_return brokenOff("ended-within-event");
    // The caller would take a stream that its engine left before the first event for a whole one.
    if (this->eventsInAttempt == 0 && !this->lastEventId && connection->endsWithConnection())
        co_return brokenOff("ended-without-event");
    if (this->eventsInAttempt > 0 && !isPastStart(this->eventsInAttempt))
        this->task.noteServed();
    if (this->eventsInAttempt > 1)
        logLine(WriteLog::Level::Info, "stream-pace", { { "request", this->task.request.id.str() }, { "events", std::to_string(this->eventsInAttempt) }, { "perEventUs", std::to_string((bootNow() - firstEventAt).count() / (this->eventsInAttempt - 1)) }, { "expectedUs", expectedPerEvent ? std::to_string(expectedPerEvent->count()) : "" }, { "longestGapMs", milliseconds(this->longestGap) } });
    co_return AttemptResult {};
}

bool StreamForwarder::hasReply(const Result<EndpointReply>& reply, const UpstreamPointer& connection, AttemptResult& result) const
{
    result = {};
    if (this->task.caller->disconnected())
        return false;
    if (reply)
        return true;
    connection->close();
    result = this->readFailure(reply.error(), "no-answer", "broken-off-unanswered");
    return false;
}

asio::awaitable<std::optional<BegunStream>> StreamForwarder::beginAtChain(const ForwardMetadata& metadata, Duration timeout, UpstreamPointer& slot, AttemptResult& result)
{
    const ForwardStage& first = metadata.stages.front();
    const TimePoint sentAt = bootNow();
    const UpstreamPointer connection = co_await this->task.sendRequest(metadata, slot, result);
    if (!connection)
        co_return std::nullopt;
    const Result<EndpointReply> reply = co_await this->task.readReply(connection, first.endpoint, timeout);
    if (!this->hasReply(reply, connection, result))
        co_return std::nullopt;
    if (auto failure = this->task.classifyFailure(*reply)) {
        // A connection with unread body bytes can't be reused; the pool closes it.
        const std::error_code unread = co_await connection->skipBody(std::min<Duration>(refusalBodyTimeout, this->task.timeLeft()));
        if (unread)
            logLine(WriteLog::Level::Info, "refusal-body-unread", { { "request", this->task.request.id.str() }, { "endpoint", first.endpoint.str() }, { "reason", unread.message() } });
        this->task.context.pool.giveBack(first.address, connection);
        result = *failure;
        result.sentAt = sentAt;
        co_return std::nullopt;
    }
    co_return BegunStream { connection, *reply };
}

asio::awaitable<std::optional<BegunStream>> StreamForwarder::beginAtGateway(SocketAddress target, bool streaming, std::uint32_t endpointsUsed, Duration timeout, UpstreamPointer& slot, AttemptResult& result)
{
    const UpstreamPointer connection = co_await this->task.sendHandover(target, this->lastEventId, endpointsUsed, slot, result);
    if (!connection)
        co_return std::nullopt;
    const Result<EndpointReply> reply = co_await this->task.readHandoverReply(connection, timeout);
    if (!this->hasReply(reply, connection, result))
        co_return std::nullopt;
    if (auto failure = this->task.handoverFailureOf(*reply, streaming)) {
        connection->close();
        result = *failure;
        co_return std::nullopt;
    }
    co_return BegunStream { connection, *reply };
}

asio::awaitable<AttemptResult> StreamForwarder::relay(BegunStream begun, SocketAddress address, std::optional<Duration> expectedPerEvent)
{
    if (!this->headSent) {
        this->headSent = true;
        co_await this->task.caller->startStream(begun.reply.status, begun.reply.headers, this->task.keepAlive());
    }
    AttemptResult result = co_await this->relayBody(begun.connection, expectedPerEvent);
    result.events = this->eventsInAttempt;
    // Closing the connection makes the engines stop at once, so that no work continues in parallel with the next attempt.
    if (result.failure)
        begun.connection->close();
    else
        this->task.context.pool.giveBack(address, begun.connection);
    co_return result;
}

asio::awaitable<AttemptResult> StreamForwarder::attemptHandover(SocketAddress target, std::optional<BegunStream> begun)
{
    this->engines.clear();
    this->failedEngine.reset();
    this->abandonedStalledChain = false;
    this->eventsInAttempt = 0;
    this->longestGapInAttempt = {};
    this->attemptStartedAt = bootNow();
    AttemptResult result;
    if (begun)
        this->task.upstream = begun->connection;
    else
        begun = co_await this->beginAtGateway(target, this->headSent, this->task.history.state(this->task.timeLeft()).endpointsUsed, this->task.timeLeft(), this->task.upstream, result);
    if (!begun)
        co_return result;
    if (!beginsStream(begun->reply.status, begun->reply.sealed)) {
        result = co_await this->task.relayHandoverResponse(begun->connection, target, begun->reply);
        this->responded = !result.failure;
        co_return result;
    }
    co_return co_await this->relay(std::move(*begun), target, std::nullopt);
}

std::vector<EndpointRun> StreamForwarder::runsOf(const ForwardMetadata& metadata) const
{
    std::vector<EndpointRun> runs;
    for (const ForwardStage& stage : metadata.stages) {
        const EndpointRecord* record = this->task.context.registry.find(stage.endpoint);
        runs.push_back({ stage.endpoint, record ? record->endpoint.startedAtMs : 0 });
    }
    return runs;
}

void StreamForwarder::noteCrashAfter(const AttemptResult& result, const ForwardMetadata& metadata, const std::vector<EndpointRun>& runs, TimePoint sentAt)
{
    const auto lost = lostStage(metadata, result);
    if (!lost || isPastStart(result.events) || this->task.caller->disconnected() || this->task.abandoned)
        return;
    asio::co_spawn(this->task.context.io, noteCrash(this->task.context, this->task.traits(), metadata.stages[*lost], runs[*lost], sentAt, result.connectionBroken || *lost == 0), asio::detached);
}

asio::awaitable<AttemptResult> StreamForwarder::runMonitoredAttempt(const ForwardMetadata& metadata, const LayerChain& chain, std::optional<BegunStream> begun)
{
    const ChainReservation reservation(this->task.context, chain);
    this->failedEngine.reset();
    this->abandonedStalledChain = false;
    this->eventsInAttempt = 0;
    this->longestGapInAttempt = {};
    this->attemptStartedAt = bootNow();
    const std::vector<EndpointRun> runs = this->runsOf(metadata);
    const auto monitor = std::make_shared<AttemptMonitor>(this->task.context.io);
    const std::uint64_t subscription = this->subscribeToSuspicions(chain, monitor);
    monitor->firstEventLimit = std::max<Duration>(minFirstEventTimeout, chain.firstToken * firstEventFactor);
    monitor->gapLimit = std::max<Duration>(minGapTimeout, this->task.route.targetGap * gapFactor);
    asio::co_spawn(this->task.context.io, this->monitorAttempt(monitor, metadata), asio::detached);
    AttemptResult result;
    if (begun)
        this->task.upstream = begun->connection;
    else
        begun = co_await this->beginAtChain(metadata, this->task.timeLeft(), this->task.upstream, result);
    if (begun)
        result = co_await this->relay(std::move(*begun), metadata.stages.front().address, chain.perEvent);
    monitor->finished = true;
    this->task.context.streams.remove(subscription);
    this->task.upstream = nullptr;
    if (result.failure && this->failedEngine) {
        result = { result.failure, this->failedEngineFault, this->failedEngine, engineLost };
        result.evidence = this->failedEngineEvidence;
    }
    result.events = this->eventsInAttempt;
    this->noteCrashAfter(result, metadata, runs, this->attemptStartedAt);
    co_await this->awaitMove(monitor, result);
    co_return result;
}

}
