#include <filbertspoke/Proxy>

#include "internal/Awaiting.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace filbertspoke {

namespace asio = boost::asio;

namespace {

using internal::sleepFor;

// The endpoint of a call without a response is probed, and an idempotent call retried at another one, after this multiple of its route's target latency,
// but not before minStallTimeout.
constexpr int stallLatencyFactor = 2;
constexpr Duration minStallTimeout = std::chrono::milliseconds(150);
// Responses are buffered completely. Plain services send a few kilobytes; a host has memory for a hundred responses of this size.
constexpr std::size_t maximumResponseBytes = 1024 * 1024;
// Interval of checks for another endpoint while a call is stalled.
constexpr Duration stallCheckInterval = std::chrono::milliseconds(50);

// Part of its time for which a call waits until an endpoint with a rate limit accepts it; the rest is left for the response.
constexpr double rateLimitWaitFraction = 1.0 / 3;

const EndpointRecord* pickEndpoint(ForwardTask& task, const AttemptHistory& history)
{
    const TimePoint now = bootNow();
    const auto candidates = task.context.registry.candidates(task.service, now);
    const EndpointRecord* best = nullptr;
    double bestScore = 0;
    for (const EndpointRecord* candidate : candidates) {
        if (!history.mayUse(candidate->endpoint.id) || !task.context.rateLimits.permits(candidate->endpoint.id, now))
            continue;
        const double load = task.context.loads.total(candidate->endpoint.id).requests / std::max(1U, candidate->endpoint.slots);
        const bool sameDomain = candidate->endpoint.failureDomain == task.context.settings.failureDomain;
        // Traffic between failure domains adds a small cost, occupied slots a larger one; the random part breaks ties.
        const double score = load + candidate->faultRate + (sameDomain ? 0 : 0.1) + 0.05 * task.context.randomFraction();
        if (!best || score < bestScore) {
            best = candidate;
            bestScore = score;
        }
    }
    return best;
}

/** \brief Waits until an endpoint with a rate limit accepts a request, if that is soon enough.
 * \returns whether it is worthwhile to look for an endpoint again */
asio::awaitable<bool> awaitRateLimit(ForwardTask& task, TimePoint latestStart)
{
    const std::optional<Duration> delay = task.rateLimitDelay();
    const Duration left = latestStart - bootNow();
    unsigned& waiting = task.context.rateLimitedCalls[task.service];
    if (!delay || *delay <= Duration::zero() || *delay > left || task.rateLimitQueueIsFull(waiting, left))
        co_return false;
    ++waiting;
    co_await task.pause(*delay);
    --waiting;
    co_return true;
}

/** \brief Records that a request with the traits was at the replica when it crashed, if its broken connection is due to a crash: one that only
 * broke a connection still accepts new ones. */
asio::awaitable<void> noteCrash(GatewayContext& context, std::vector<RequestTraitId> traits, SocketAddress address, EndpointRun run, TimePoint sentAt)
{
    const TimePoint brokenAt = bootNow();
    if (!co_await probeEndpoint(context, run.endpoint, address))
        context.noteCrash(traits, run, sentAt, brokenAt);
}

/** \brief State of the coroutine that monitors one attempt; shared because it may outlive the attempt. */
struct StallMonitor {
    bool finished = false; ///< the response has begun, or the attempt has ended
    bool aborted = false; ///< the attempt was aborted because it had no response
};

/** \brief Finds out whether an endpoint without a response after \a stallTimeout is reachable, and aborts the attempt as soon as a retry at another one is possible. */
asio::awaitable<void> monitorStall(GatewayContext& context, ForwardTask& task, std::shared_ptr<StallMonitor> monitor, RegisteredEndpoint endpoint, Duration stallTimeout)
{
    co_await sleepFor(context.io, stallTimeout);
    // A call that can't be retried is waited for, and would tell nothing until its deadline.
    if (!monitor->finished && context.reachability(endpoint.service).takeSilenceProbe(endpoint.id, bootNow()))
        asio::co_spawn(context.io, probeEndpoint(context, endpoint.id, endpoint.address), asio::detached);
    // The task may be destroyed during a wait: it must not be accessed before monitor->finished is checked.
    while (!monitor->finished && task.route.kind == RouteKind::Idempotent) {
        const auto historyAfter = task.historyAfterStall(endpoint.id, endpoint.id);
        if (historyAfter && task.upstream && (pickEndpoint(task, *historyAfter) || task.canHandOver(*historyAfter)) && task.chargeRetryBudget()) {
            monitor->aborted = true;
            task.upstream->close();
            co_return;
        }
        co_await sleepFor(context.io, stallCheckInterval);
    }
}

asio::awaitable<AttemptResult> readResponse(ForwardTask& task, UpstreamPointer connection, const RegisteredEndpoint endpoint)
{
    const auto monitor = std::make_shared<StallMonitor>();
    asio::co_spawn(task.context.io, monitorStall(task.context, task, monitor, endpoint, std::max<Duration>(minStallTimeout, task.route.targetLatency * stallLatencyFactor)), asio::detached);
    const Result<EndpointReply> reply = co_await task.readReply(connection, endpoint.id, task.timeLeft());
    monitor->finished = true;
    if (!reply) {
        AttemptResult result = lostResponse(reply.error(), EndpointFault::Silent, "no-answer");
        result.connectionBroken = !monitor->aborted && !isTimeout(reply.error());
        co_return result;
    }
    HttpResponse response;
    response.status = reply->status;
    response.headers = reply->headers;
    Result<BodyProgress> progress = BodyProgress::More;
    while (progress && *progress == BodyProgress::More) {
        if (response.body.size() > maximumResponseBytes)
            co_return AttemptResult { AttemptEnd::Lost, EndpointFault::Broken, {}, "answer-too-large" };
        if (task.timeLeft() <= Duration::zero())
            co_return AttemptResult { AttemptEnd::Lost, EndpointFault::Silent, {}, "answer-unfinished" };
        progress = co_await connection->readBody(response.body, task.timeLeft());
    }
    // That the request has not run stands in the head of its response, whatever becomes of the body.
    if (!progress && !reply->notExecuted)
        co_return lostResponse(progress.error(), EndpointFault::Broken, "answer-broken-off");
    task.context.pool.giveBack(endpoint.address, connection);
    if (const auto failure = task.classifyFailure(*reply)) {
        AttemptHistory history = task.history;
        history.noteFailure({ *failure->failure, endpoint.id, failure->blamed.value_or(endpoint.id), failure->fault });
        const bool finalAttempt = failure->failure == AttemptEnd::ReportedFailure && !task.canRetry(history, AttemptEnd::ReportedFailure);
        // The failure reported by the endpoint is forwarded to the caller when no retry is permitted.
        if (!finalAttempt)
            co_return *failure;
    }
    task.noteServed();
    task.caller->stopWatching();
    task.context.metrics.observeCall(bootNow() - task.received);
    const std::string outcome = reply->status < 400 ? "answered" : "endpoint-failure";
    co_await task.respond(response, outcome);
    co_return AttemptResult {};
}

asio::awaitable<AttemptResult> attemptHandover(ForwardTask& task, const SocketAddress target)
{
    AttemptResult result;
    UpstreamPointer connection = co_await task.sendHandover(target, std::nullopt, task.history.state(task.timeLeft()).endpointsUsed, task.upstream, result);
    if (!connection)
        co_return result;
    const Result<EndpointReply> reply = co_await task.readHandoverReply(connection, task.timeLeft());
    if (!reply)
        co_return lostResponse(reply.error(), EndpointFault::Silent, "no-answer");
    if (auto failure = task.handoverFailureOf(*reply, false)) {
        connection->close();
        co_return *failure;
    }
    co_return co_await task.relayHandoverResponse(connection, target, *reply);
}

asio::awaitable<AttemptResult> attemptCall(ForwardTask& task, const RegisteredEndpoint endpoint)
{
    ForwardMetadata metadata;
    metadata.timeLeft = task.timeLeft();
    metadata.stages = { { endpoint.id, endpoint.address, {} } };
    metadata.account = task.account;
    AttemptResult result;
    UpstreamPointer connection = co_await task.sendRequest(metadata, task.upstream, result);
    if (!connection)
        co_return result;
    co_return co_await readResponse(task, connection, endpoint);
}

}

asio::awaitable<void> forwardCall(ForwardTask& task)
{
    const WorkInProgress load { 1, 0 };
    const TimePoint latestStart = bootNow() + scaled(task.timeLeft(), rateLimitWaitFraction);
    std::optional<Duration> refusalTime;
    while (!task.caller->disconnected() && !task.abandoned) {
        if ((refusalTime = task.context.refusalTime(task.traits())))
            break;
        if (const auto target = task.handoverTarget()) {
            if (!task.chargeRetryBudget())
                break;
            const AttemptResult result = co_await attemptHandover(task, *target);
            if (!result.failure)
                co_return;
            if (task.caller->disconnected() || !task.noteHandoverFailure(*target, result))
                break;
            continue;
        }
        const EndpointRecord* picked = pickEndpoint(task, task.history);
        if (!picked && co_await awaitRateLimit(task, latestStart))
            continue;
        if (!picked || !task.chargeRetryBudget())
            break;
        task.context.rateLimits.noteSent(picked->endpoint.id, bootNow());
        const RegisteredEndpoint endpoint = picked->endpoint;
        task.logDecision("endpoint-chosen", { { "endpoint", endpoint.id.str() }, { "requestsThere", std::to_string(static_cast<std::uint64_t>(task.context.loads.total(endpoint.id).requests)) }, { "slots", std::to_string(endpoint.slots) }, { "sends", std::to_string(task.history.attemptCount()) }, { "sharePerSecond", task.rateShare(endpoint.id) } });
        task.context.loads.begin(endpoint.id, load);
        const TimePoint startedAt = bootNow();
        AttemptResult result = co_await attemptCall(task, endpoint);
        result.sentAt = startedAt;
        task.context.loads.end(endpoint.id, load);
        if (!result.failure) {
            task.context.registry.noteSuccess(endpoint.id, startedAt);
            co_return;
        }
        if (result.connectionBroken && !task.caller->disconnected() && !task.abandoned)
            asio::co_spawn(task.context.io, noteCrash(task.context, task.traits(), endpoint.address, { endpoint.id, endpoint.startedAtMs }, startedAt), asio::detached);
        if (task.caller->disconnected() || !task.noteFailure(result, endpoint.id))
            break;
    }
    task.caller->stopWatching();
    co_await task.respondFailure(refusalTime ? ErrorCode::RequestQuarantined : ErrorCode::NoEndpoint, refusalTime);
}

}
