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

// Part of the target for the first event that a generation may wait for room; the rest is for the prefill.
constexpr double waitingFraction = 0.6;
// Waiting generations look for room at least this often, as other daemons' work ends unseen.
constexpr Duration waitStep = std::chrono::milliseconds(40);
// Silence before the first event and between events after which a chain is looked at, as multiples of what is expected.
constexpr int firstEventFactor = 4;
constexpr Duration leastFirstEventTimeout = std::chrono::milliseconds(300);
constexpr int gapFactor = 2;
constexpr Duration leastGapTimeout = std::chrono::milliseconds(400);
// The body of a refusal is read and dropped within this time, so that its connection can be used again.
constexpr Duration refusalBodyTimeout = std::chrono::milliseconds(200);
// Callers leave a stream that is silent for two seconds; a started one is carried on until shortly before.
constexpr Duration callerPatience = std::chrono::milliseconds(1900);
// A chain whose engines all seem alive is given up after so much silence, if the stream may go on elsewhere; a second
// one may still serve the caller.
constexpr Duration silenceTimeout = std::chrono::milliseconds(1300);
constexpr Duration firstEventTimeout = std::chrono::milliseconds(900);
// Between two looks for another chain for a stream that is silent for longer; to plan one takes a millisecond or two of a
// slow host's processor.
constexpr Duration silencePause = std::chrono::milliseconds(250);
// Every so many events of a stream are a sign that all engines of its chain are alive.
constexpr std::uint32_t eventsPerSign = 16;
// A stream that is silent for so long when one of its engines comes under suspicion takes that for the cause; well
// above the time between two events.
constexpr Duration silenceUnderSuspicion = std::chrono::milliseconds(150);

/** \brief The watch over one attempt, which may outlive it. */
struct Supervision {
    bool over = false; ///< the attempt has ended
    Duration firstEventLimit {}; ///< silence after which the chain is looked at
    Duration gapLimit {};
    TimePoint checkedAt = bootNow();
    unsigned checksInSilence = 0; ///< that found no engine lost, since the last event

    /** \returns how long the chain may stay silent after the last check before it is looked at again; longer each time,
     * as an engine that was alive is more likely slow than lost */
    Duration nextCheck(Duration limit) const
    {
        // A lost engine shows within the first checks.
        const unsigned doublings = this->checksInSilence < silencesForLost ? 0 : this->checksInSilence - silencesForLost + 1;
        return limit * (1 << std::min(doublings, maximumDoublings));
    }

private:
    static constexpr unsigned maximumDoublings = 2;
};

/** \brief A stream's progress, over all the chains that served it. */
class StreamRun {
public:
    explicit StreamRun(ForwardTask& task)
        : task(task)
        , lastEventId(task.request.lastEventId)
    {
    }

    asio::awaitable<void> run();

private:
    asio::awaitable<std::optional<LayerChain>> awaitChain();
    std::optional<ForwardMetadata> orderFor(const LayerChain&) const;
    asio::awaitable<AttemptResult> watchedAttempt(const ForwardMetadata&, const LayerChain&);
    asio::awaitable<AttemptResult> attempt(const ForwardMetadata&, const LayerChain&);
    asio::awaitable<AttemptResult> pump(const UpstreamPointer&, const LayerChain&);
    asio::awaitable<std::optional<AttemptResult>> passOn(std::vector<StreamEvent>);
    asio::awaitable<void> supervise(std::shared_ptr<Supervision>, ForwardMetadata);
    Duration silence() const { return bootNow() - std::max(this->lastProgress, this->attemptBegun); }
    Duration tolerableSilence() const { return this->eventsInAttempt == 0 ? firstEventTimeout : silenceTimeout; }
    bool leaveSilentChain(const EndpointId& first);
    AttemptResult failedRead(const std::error_code&, const std::string& whenSilent, const std::string& whenBroken) const;
    std::uint64_t watchEngines(const LayerChain&);
    asio::awaitable<void> end(bool complete);
    void noteChainAlive();
    void logChain(const LayerChain&) const;

    ForwardTask& task;
    std::optional<std::uint64_t> lastEventId; ///< that the caller has
    bool headSent = false;
    bool firstEventSent = false;
    bool leftSilentChain = false; ///< the attempt in progress was ended because it was silent
    std::optional<EndpointId> lostEngine; ///< because of which the attempt in progress was ended
    EndpointFault lostFault = EndpointFault::Failed; ///< what is known of it
    std::vector<EndpointId> engines; ///< of the chain in use
    std::uint32_t eventsInAttempt = 0;
    TimePoint attemptBegun = bootNow();
    TimePoint lastProgress = bootNow(); ///< of the last event, or of the request's arrival
};

void StreamRun::noteChainAlive()
{
    for (const EndpointId& engine : this->engines)
        this->task.context.registry.noteSuccess(engine, this->attemptBegun);
}

asio::awaitable<std::optional<LayerChain>> StreamRun::awaitChain()
{
    const TimePoint patience = this->headSent ? this->lastProgress + callerPatience : bootNow() + scaled(this->task.route.targetLatency, waitingFraction);
    const TimePoint limit = std::min(this->task.deadline, patience);
    std::uint64_t seen = this->task.context.capacityChanges - 1;
    while (!this->task.caller->gone()) {
        // Looking again is worth it only when work has ended or news of others has come.
        if (seen != this->task.context.capacityChanges) {
            seen = this->task.context.capacityChanges;
            if (auto chain = planStream(this->task, this->task.history))
                co_return chain;
        }
        const Duration left = limit - bootNow();
        if (left <= Duration::zero())
            break;
        co_await this->task.context.waiters.wait(std::min(left, waitStep));
    }
    co_return std::nullopt;
}

std::optional<ForwardMetadata> StreamRun::orderFor(const LayerChain& chain) const
{
    ForwardMetadata order;
    order.timeLeft = this->task.timeLeft();
    order.account = this->task.account;
    order.lastEventId = this->lastEventId;
    for (const LayerStage& stage : chain.stages) {
        const EndpointRecord* record = this->task.context.registry.find(stage.endpoint);
        if (!record)
            return std::nullopt;
        order.stages.push_back({ stage.endpoint, record->endpoint.address, stage.layers });
    }
    return order;
}

asio::awaitable<std::optional<AttemptResult>> StreamRun::passOn(std::vector<StreamEvent> events)
{
    std::string text;
    for (StreamEvent& event : events) {
        if (event.id && this->lastEventId && *event.id != *this->lastEventId + 1)
            co_return AttemptResult { AttemptEnd::Lost, EndpointFault::Broken, {}, "event-out-of-order" };
        text += event.text;
        // Comments and the like come from an engine that may make no tokens.
        if (!event.id)
            continue;
        this->lastEventId = event.id;
        this->lastProgress = bootNow();
        if (this->eventsInAttempt++ % eventsPerSign == 0)
            this->noteChainAlive();
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

std::uint64_t StreamRun::watchEngines(const LayerChain& chain)
{
    this->engines.clear();
    for (const LayerStage& stage : chain.stages)
        this->engines.push_back(stage.endpoint);
    return this->task.context.streams.add(this->engines, [this](const EndpointId& engine) {
        if (bootNow() - this->lastProgress < silenceUnderSuspicion || !this->task.upstream)
            return;
        // Suspicion is no certainty: a stream that may not go on elsewhere stays.
        if (!this->task.afterSilence(this->engines.front()) || !this->task.payForSend())
            return;
        this->lostEngine = engine;
        this->lostFault = EndpointFault::Failed;
        this->task.upstream->close();
    });
}

bool StreamRun::leaveSilentChain(const EndpointId& first)
{
    const auto assumed = this->task.afterSilence(first);
    if (!assumed || !this->task.upstream || !planStream(this->task, *assumed) || !this->task.payForSend())
        return false;
    this->leftSilentChain = true;
    this->task.upstream->close();
    return true;
}

asio::awaitable<void> StreamRun::supervise(std::shared_ptr<Supervision> supervision, ForwardMetadata order)
{
    while (!supervision->over) {
        // The run may end while this waits, so that nothing of it is touched before the check above.
        GatewayContext& context = this->task.context;
        if (this->silence() >= this->tolerableSilence() && this->leaveSilentChain(order.stages.front().endpoint))
            co_return;
        const Duration untilLeaving = std::max<Duration>(this->tolerableSilence() - this->silence(), silencePause);
        if (this->lastProgress > supervision->checkedAt)
            supervision->checksInSilence = 0;
        const TimePoint due = std::max(this->lastProgress, supervision->checkedAt) + supervision->nextCheck(this->eventsInAttempt == 0 ? supervision->firstEventLimit : supervision->gapLimit);
        if (bootNow() < due) {
            co_await sleepFor(context.io, std::min<Duration>(due - bootNow(), untilLeaving));
            continue;
        }
        const std::optional<EndpointId> lost = co_await context.diagnosis.findLost(order, this->task.request.id);
        if (supervision->over)
            co_return;
        supervision->checkedAt = bootNow();
        ++supervision->checksInSilence;
        const bool silent = supervision->checkedAt - this->lastProgress >= silenceUnderSuspicion;
        if (!lost || !silent || !this->task.upstream)
            continue;
        this->lostEngine = lost;
        this->lostFault = EndpointFault::Unreachable;
        this->task.upstream->close();
        co_return;
    }
}

AttemptResult StreamRun::failedRead(const std::error_code& error, const std::string& whenSilent, const std::string& whenBroken) const
{
    if (this->leftSilentChain || isTimeout(error))
        return { AttemptEnd::Lost, EndpointFault::Silent, {}, whenSilent };
    return { AttemptEnd::Lost, EndpointFault::Broken, {}, whenBroken };
}

asio::awaitable<AttemptResult> StreamRun::pump(const UpstreamPointer& connection, const LayerChain& chain)
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
        if (this->task.caller->gone())
            co_return AttemptResult {};
        if (!ended)
            co_return this->failedRead(ended.error(), "stalled", "broken-off");
        if (first && !bytes.empty()) {
            first = false;
            firstEventAt = bootNow();
        }
        if (auto failure = co_await this->passOn(events.feed(bytes)))
            co_return *failure;
        if (events.eventTooLarge())
            co_return AttemptResult { AttemptEnd::Lost, EndpointFault::Broken, {}, "event-too-large" };
    }
    if (events.midEvent())
        co_return AttemptResult { AttemptEnd::Lost, EndpointFault::Broken, {}, "ended-within-event" };
    if (this->eventsInAttempt > 1)
        logLine(WriteLog::Level::Info, "stream-pace", { { "request", this->task.request.id.str() }, { "events", std::to_string(this->eventsInAttempt) }, { "perEventUs", std::to_string((bootNow() - firstEventAt).count() / (this->eventsInAttempt - 1)) }, { "expectedUs", std::to_string(chain.perEvent.count()) } });
    co_return AttemptResult {};
}

asio::awaitable<AttemptResult> StreamRun::attempt(const ForwardMetadata& order, const LayerChain& chain)
{
    AttemptResult result;
    const UpstreamPointer connection = co_await this->task.open(order, result);
    if (!connection)
        co_return result;
    const Result<EndpointReply> reply = co_await this->task.readReply(connection, this->task.timeLeft());
    if (this->task.caller->gone())
        co_return AttemptResult {};
    if (!reply) {
        connection->close();
        co_return this->failedRead(reply.error(), "no-answer", "broken-off-unanswered");
    }
    if (auto failure = this->task.judge(*reply)) {
        // A connection with an unread rest can't carry another request; the pool closes it.
        const std::error_code unread = co_await connection->skipBody(std::min<Duration>(refusalBodyTimeout, this->task.timeLeft()));
        if (unread)
            logLine(WriteLog::Level::Info, "refusal-body-unread", { { "request", this->task.request.id.str() }, { "endpoint", order.stages.front().endpoint.str() }, { "reason", unread.message() } });
        this->task.context.pool.giveBack(order.stages.front().address, connection);
        co_return *failure;
    }
    if (!this->headSent) {
        this->headSent = true;
        co_await this->task.caller->startStream(reply->status, reply->headers, this->task.keepAlive());
    }
    result = co_await this->pump(connection, chain);
    // The engines stop at once, so that no work goes on beside the next run.
    if (result.failure)
        connection->close();
    else
        this->task.context.pool.giveBack(order.stages.front().address, connection);
    co_return result;
}

asio::awaitable<void> StreamRun::end(bool complete)
{
    this->task.caller->unwatch();
    if (complete) {
        co_await this->task.caller->endStream();
        this->task.logEnd("answered", 200);
        co_return;
    }
    if (!this->headSent) {
        co_await this->task.giveUp(ErrorCode::NoPipeline);
        co_return;
    }
    // The caller must see that the stream is not whole.
    this->task.logEnd("broken-off", 0);
    this->task.caller->close();
}

void StreamRun::logChain(const LayerChain& chain) const
{
    this->task.logDecision("chain-chosen", { { "stages", std::to_string(chain.stages.size()) }, { "first", chain.stages.front().endpoint.str() }, { "firstTokenMs", milliseconds(chain.firstToken) }, { "perTokenUs", std::to_string(chain.perToken.count()) }, { "crossings", std::to_string(chain.crossings.size()) }, { "waitedMs", milliseconds(bootNow() - this->task.received) }, { "resumesAfter", this->lastEventId ? std::to_string(*this->lastEventId) : "" } });
}

asio::awaitable<AttemptResult> StreamRun::watchedAttempt(const ForwardMetadata& order, const LayerChain& chain)
{
    const ChainReservation reservation(this->task.context, chain);
    this->lostEngine.reset();
    this->leftSilentChain = false;
    this->eventsInAttempt = 0;
    this->attemptBegun = bootNow();
    const std::uint64_t watch = this->watchEngines(chain);
    const auto supervision = std::make_shared<Supervision>();
    supervision->firstEventLimit = std::max<Duration>(leastFirstEventTimeout, chain.firstToken * firstEventFactor);
    supervision->gapLimit = std::max<Duration>(leastGapTimeout, this->task.route.targetGap * gapFactor);
    asio::co_spawn(this->task.context.io, this->supervise(supervision, order), asio::detached);
    AttemptResult result = co_await this->attempt(order, chain);
    supervision->over = true;
    this->task.context.streams.remove(watch);
    this->task.upstream = nullptr;
    if (result.failure && this->lostEngine)
        result = { result.failure, this->lostFault, this->lostEngine, "engine-lost" };
    co_return result;
}

asio::awaitable<void> StreamRun::run()
{
    bool complete = false;
    bool goOn = true;
    while (goOn && !this->task.caller->gone()) {
        const std::optional<LayerChain> chain = co_await this->awaitChain();
        const auto order = chain ? this->orderFor(*chain) : std::nullopt;
        if (!order || !this->task.payForSend())
            break;
        this->logChain(*chain);
        const AttemptResult result = co_await this->watchedAttempt(*order, *chain);
        complete = !result.failure;
        goOn = result.failure && !this->task.caller->gone() && this->task.noteFailure(result, chain->stages.front().endpoint);
    }
    if (this->task.caller->gone())
        this->task.logEnd("caller-gone", 0);
    else
        co_await this->end(complete);
}

}

asio::awaitable<void> forwardStream(ForwardTask& task)
{
    StreamRun run(task);
    co_await run.run();
}

}
