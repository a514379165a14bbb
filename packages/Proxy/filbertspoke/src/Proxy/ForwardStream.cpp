// The way of a stream: which chains and gateways get it, one after the other, and how it ends.
#include <filbertspoke/Proxy>

#include "internal/QueuePlace.h"
#include "internal/StreamForwarder.h"

#include <algorithm>
#include <utility>

namespace filbertspoke {

namespace asio = boost::asio;

namespace internal {

namespace {

// Fraction of the route's target latency for which a generation may wait for free capacity; the rest is left for the prefill.
constexpr double queueingFraction = 0.6;
// Callers abandon a stream without events after two seconds; a started stream is resumed on another chain until shortly before that.
constexpr Duration callerStallLimit = std::chrono::milliseconds(1900);

// Prompt and expected output of the task's generation, in tokens.
double tokensOf(const ForwardTask& task)
{
    const ForwardedService* service = task.context.table ? task.context.table->findService(task.service) : nullptr;
    const double usual = service && service->engine ? service->engine->usualOutputTokens : 0;
    const double output = task.request.expectedOutputTokens.value_or(usual);
    return task.request.promptTokens + (task.request.maximumOutputTokens > 0 ? std::min(output, task.request.maximumOutputTokens) : output);
}

}

WaitingGeneration StreamForwarder::waitingGeneration() const
{
    // Accounts are not told apart: equal shares would delay those of a large account until most of them are refused, and the configuration has no weights.
    return { this->task.service, AccountId(), this->task.priority, tokensOf(this->task), this->headSent, this->task.history.attemptCount() > 0 };
}

asio::awaitable<std::optional<LayerChain>> StreamForwarder::awaitChain()
{
    const TimePoint latestStart = this->headSent ? this->lastProgress + callerStallLimit : bootNow() + scaled(this->task.route.targetLatency, queueingFraction);
    const TimePoint limit = std::min(this->task.deadline, latestStart);
    CapacityWaiters& waiters = this->task.context.waiters;
    QueuePlace place(waiters, this->waitingGeneration());
    bool rateLimited = false;
    bool planned = false;
    while (!this->task.caller->disconnected() && !this->task.abandoned && !this->task.handoverTarget()) {
        const std::optional<Duration> delay = this->task.rateLimitDelay();
        const bool delayed = delay != Duration::zero();
        waiters.setPaused(place.ticket(), delayed);
        // A stream whose failure was noticed late plans once before it is broken off, whichever place it has.
        const bool last = this->headSent && !planned && bootNow() >= limit;
        if (!delayed && (waiters.mayPlan(place.ticket(), this->task.context.capacityChanges, bootNow()) || last)) {
            planned = true;
            if (auto chain = planStream(this->task, this->task.history)) {
                place.start();
                co_return chain;
            }
            waiters.notePlanFailed(place.ticket());
        }
        const Duration left = limit - bootNow();
        if (left <= Duration::zero() || this->task.pushbackRemaining().value_or(Duration::zero()) > left)
            break;
        const bool begins = !rateLimited && delayed;
        if (delayed && (!delay || *delay > left || (begins && this->task.rateLimitQueueIsFull(waiters.size() - 1, left))))
            break;
        rateLimited = delayed;
        co_await waiters.wait(place.ticket(), std::min(left, delayed ? *delay : left), bootNow());
    }
    co_return std::nullopt;
}

std::optional<ForwardMetadata> StreamForwarder::metadataFor(const LayerChain& chain) const
{
    ForwardMetadata metadata;
    metadata.timeLeft = this->task.timeLeft();
    metadata.account = this->task.account;
    metadata.lastEventId = this->lastEventId;
    metadata.priority = this->task.priority;
    for (const LayerStage& stage : chain.stages) {
        const EndpointRecord* record = this->task.context.registry.find(stage.endpoint);
        if (!record)
            return std::nullopt;
        metadata.stages.push_back({ stage.endpoint, record->endpoint.address, stage.layers });
    }
    return metadata;
}

asio::awaitable<void> StreamForwarder::finish()
{
    if (this->responded)
        co_return;
    this->task.caller->stopWatching();
    if (this->complete) {
        co_await this->task.caller->endStream();
        this->task.logOutcome(this->task.caller->disconnected() ? "caller-gone" : "answered", 200);
        co_return;
    }
    if (!this->headSent) {
        co_await this->task.respondFailure(this->refusalTime ? ErrorCode::RequestQuarantined : ErrorCode::NoPipeline, this->refusalTime);
        co_return;
    }
    this->logBreakOff();
    // The caller must be able to detect that the stream is incomplete.
    this->task.logOutcome(this->task.abandoned ? "stopped" : "broken-off", 0);
    this->task.caller->close();
}

void StreamForwarder::logChain(const LayerChain& chain) const
{
    std::string engines;
    for (const LayerStage& stage : chain.stages)
        engines += (engines.empty() ? "" : ",") + stage.endpoint.str();
    this->task.logDecision("chain-chosen", { { "stages", std::to_string(chain.stages.size()) }, { "first", chain.stages.front().endpoint.str() }, { "engines", engines }, { "firstTokenMs", milliseconds(chain.firstToken) }, { "perTokenUs", std::to_string(chain.perToken.count()) }, { "crossings", std::to_string(chain.crossings.size()) }, { "waitedMs", milliseconds(bootNow() - this->task.received) }, { "resumesAfter", this->lastEventId ? std::to_string(*this->lastEventId) : "" }, { "sharePerSecond", this->task.rateShare(chain.stages.front().endpoint) }, { "rank", std::to_string(this->task.rank()) }, { "spread", std::to_string(chain.spread) } });
}

void StreamForwarder::logBreakOff() const
{
    const TimePoint now = bootNow();
    std::size_t avoided = 0;
    std::size_t engines = 0;
    for (const auto& [id, record] : this->task.context.registry.records()) {
        if (record.endpoint.service != this->task.service || !EndpointRegistry::takesWork(record, now))
            continue;
        ++engines;
        avoided += this->task.context.registry.isAvoided(record, now) ? 1 : 0;
    }
    this->task.logDecision("stream-broken-off", { { "resumesAfter", this->lastEventId ? std::to_string(*this->lastEventId) : "" }, { "pausedMs", milliseconds(now - this->lastProgress) }, { "timeLeftMs", milliseconds(this->task.timeLeft()) }, { "engines", std::to_string(engines) }, { "avoided", std::to_string(avoided) }, { "retriesSaved", std::to_string(this->task.context.retryBudget(this->task.service).saved()) } });
}

void StreamForwarder::noteRefusedStage(const LayerChain& chain, const AttemptResult& result)
{
    // A pushback tells nothing of the engine's memory.
    if (result.fault != EndpointFault::Refused || !result.failure || !result.blamed || result.pushedBack)
        return;
    const auto stage = std::find_if(chain.stages.begin(), chain.stages.end(), [&result](const LayerStage& candidate) { return candidate.endpoint == *result.blamed; });
    const EndpointRecord* record = this->task.context.registry.find(*result.blamed);
    const ForwardedService* service = this->task.context.table->findService(this->task.service);
    if (stage == chain.stages.end() || !record || !service || !service->engine)
        return;
    const auto accelerator = service->engine->accelerators.find(record->endpoint.accelerator);
    if (accelerator == service->engine->accelerators.end())
        return;
    const double capacity = kvCapacity(*service->engine, accelerator->second, record->endpoint.layers);
    this->task.context.loads.noteRefusal(*result.blamed, capacity, chain.tokens * stage->layers.size(), bootNow());
}

asio::awaitable<bool> StreamForwarder::serveByChain(ForwardMetadata metadata, LayerChain chain, std::optional<BegunStream> begun)
{
    const AttemptResult result = co_await this->runMonitoredAttempt(metadata, chain, std::move(begun));
    this->complete = !result.failure;
    this->noteRefusedStage(chain, result);
    if (this->complete || this->task.caller->disconnected())
        co_return false;
    const bool retry = this->task.noteFailure(result, metadata.stages.front().endpoint);
    co_return retry || this->acceptedMove;
}

asio::awaitable<bool> StreamForwarder::serveByGateway(SocketAddress target, std::optional<BegunStream> begun)
{
    const AttemptResult result = co_await this->attemptHandover(target, std::move(begun));
    this->complete = !result.failure;
    co_return result.failure && !this->task.caller->disconnected() && this->task.noteHandoverFailure(target, result);
}

asio::awaitable<bool> StreamForwarder::serveMoved(AcceptedMove moved)
{
    std::optional<BegunStream> begun(std::move(moved.begun));
    if (const auto* gateway = std::get_if<SocketAddress>(&moved.target))
        co_return co_await this->serveByGateway(*gateway, std::move(begun));
    auto& planned = std::get<std::shared_ptr<const PlannedChain>>(moved.target);
    ForwardMetadata metadata = planned->metadata;
    LayerChain chain = planned->chain;
    // The attempt reserves the chain anew.
    planned.reset();
    co_return co_await this->serveByChain(std::move(metadata), std::move(chain), std::move(begun));
}

asio::awaitable<void> StreamForwarder::run()
{
    bool retry = true;
    while (retry && !this->task.caller->disconnected() && !this->task.abandoned) {
        // The rest of the stream is arriving already.
        if (auto moved = std::exchange(this->acceptedMove, std::nullopt)) {
            retry = co_await this->serveMoved(std::move(*moved));
            continue;
        }
        if ((this->refusalTime = this->task.context.refusalTime(this->task.traits())))
            break;
        if (const auto target = this->task.handoverTarget()) {
            if (!this->task.chargeRetryBudget())
                break;
            retry = co_await this->serveByGateway(*target, std::nullopt);
            continue;
        }
        std::optional<LayerChain> chain = co_await this->awaitChain();
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
        this->task.noteGenerationStarted();
        retry = co_await this->serveByChain(*metadata, std::move(*chain), std::nullopt);
    }
    // A request whose rest was requested elsewhere may have run there.
    if (const auto moved = std::exchange(this->acceptedMove, std::nullopt))
        this->withdrawMove(moved->target, moved->begun);
    if (this->task.caller->disconnected())
        this->task.logOutcome("caller-gone", 0);
    else
        co_await this->finish();
}

}

asio::awaitable<void> forwardStream(ForwardTask& task)
{
    internal::StreamForwarder forwarder(task);
    co_await forwarder.run();
}

}
