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

// A look-up that may be repeated is asked elsewhere after this part of its target latency, and not before the least time.
constexpr int silenceFactor = 2;
constexpr Duration leastSilence = std::chrono::milliseconds(150);
// An answer is held until it is whole. Plain services send some kilobytes; a host bears a hundred answers of this size.
constexpr std::size_t maximumAnswerBytes = 1024 * 1024;
// Between two looks for another endpoint for a look-up that is silent.
constexpr Duration silencePause = std::chrono::milliseconds(50);

const EndpointRecord* pickEndpoint(ForwardTask& task, const AttemptHistory& history)
{
    const auto candidates = task.context.registry.candidates(task.service, bootNow());
    const EndpointRecord* best = nullptr;
    double bestScore = 0;
    for (const EndpointRecord* candidate : candidates) {
        if (!history.mayUse(candidate->endpoint.id))
            continue;
        const double load = task.context.loads.total(candidate->endpoint.id).requests / std::max(1U, candidate->endpoint.slots);
        const bool near = candidate->endpoint.failureDomain == task.context.settings.failureDomain;
        // Bytes between failure domains cost a little; a slot that is taken costs more; draws break ties.
        const double score = load + candidate->faultRate + (near ? 0 : 0.1) + 0.05 * task.context.draw();
        if (!best || score < bestScore) {
            best = candidate;
            bestScore = score;
        }
    }
    return best;
}

/** \brief The watch over one attempt, which may outlive it. */
struct SilenceWatch {
    bool over = false; ///< the answer has begun, or the attempt has ended
};

/** \brief Ends the attempt at an endpoint that is silent for too long, as soon as another one may be asked. */
asio::awaitable<void> watchSilence(GatewayContext& context, ForwardTask& task, std::shared_ptr<SilenceWatch> watch, EndpointId endpoint, Duration patience)
{
    co_await sleepFor(context.io, patience);
    // The task may end while this waits, so that nothing of it is touched before the check.
    while (!watch->over) {
        const auto assumed = task.afterSilence(endpoint);
        if (assumed && task.upstream && pickEndpoint(task, *assumed) && task.payForSend()) {
            task.upstream->close();
            co_return;
        }
        co_await sleepFor(context.io, silencePause);
    }
}

asio::awaitable<AttemptResult> readAnswer(ForwardTask& task, UpstreamPointer connection, const RegisteredEndpoint endpoint)
{
    const auto watch = std::make_shared<SilenceWatch>();
    if (task.route.kind == RouteKind::Idempotent)
        asio::co_spawn(task.context.io, watchSilence(task.context, task, watch, endpoint.id, std::max<Duration>(leastSilence, task.route.targetLatency * silenceFactor)), asio::detached);
    const Result<EndpointReply> reply = co_await task.readReply(connection, task.timeLeft());
    watch->over = true;
    if (!reply)
        co_return AttemptResult { AttemptEnd::Lost, EndpointFault::Silent, {}, "no-answer" };
    HttpResponse response;
    response.status = reply->status;
    response.headers = reply->headers;
    Result<BodyProgress> progress = BodyProgress::More;
    while (progress && *progress == BodyProgress::More) {
        if (response.body.size() > maximumAnswerBytes)
            co_return AttemptResult { AttemptEnd::Lost, EndpointFault::Broken, {}, "answer-too-large" };
        if (task.timeLeft() <= Duration::zero())
            co_return AttemptResult { AttemptEnd::Lost, EndpointFault::Silent, {}, "answer-unfinished" };
        progress = co_await connection->readBody(response.body, task.timeLeft());
    }
    if (!progress)
        co_return AttemptResult { AttemptEnd::Lost, EndpointFault::Broken, {}, "answer-broken-off" };
    task.context.pool.giveBack(endpoint.address, connection);
    if (const auto failure = task.judge(*reply)) {
        AttemptHistory history = task.history;
        history.noteFailure({ *failure->failure, endpoint.id, failure->blamed.value_or(endpoint.id), failure->fault });
        const bool last = failure->failure == AttemptEnd::ReportedFailure && !task.mayGoOn(history, AttemptEnd::ReportedFailure);
        // The endpoint's own failure is the answer when nobody else may be asked.
        if (!last)
            co_return *failure;
    }
    task.caller->unwatch();
    task.logEnd(reply->status < 400 ? "answered" : "endpoint-failure", reply->status);
    task.context.metrics.observeCall(bootNow() - task.received);
    co_await task.caller->respond(response, task.keepAlive());
    co_return AttemptResult {};
}

asio::awaitable<AttemptResult> attemptCall(ForwardTask& task, const RegisteredEndpoint endpoint)
{
    ForwardMetadata order;
    order.timeLeft = task.timeLeft();
    order.stages = { { endpoint.id, endpoint.address, {} } };
    order.account = task.account;
    AttemptResult result;
    UpstreamPointer connection = co_await task.open(order, result);
    if (!connection)
        co_return result;
    co_return co_await readAnswer(task, connection, endpoint);
}

}

asio::awaitable<void> forwardCall(ForwardTask& task)
{
    const WorkInProgress load { 1, 0 };
    while (!task.caller->gone()) {
        const EndpointRecord* picked = pickEndpoint(task, task.history);
        if (!picked || !task.payForSend())
            break;
        const RegisteredEndpoint endpoint = picked->endpoint;
        task.logDecision("endpoint-chosen", { { "endpoint", endpoint.id.str() }, { "requestsThere", std::to_string(static_cast<std::uint64_t>(task.context.loads.total(endpoint.id).requests)) }, { "slots", std::to_string(endpoint.slots) }, { "sends", std::to_string(task.history.attemptCount()) } });
        task.context.loads.begin(endpoint.id, load);
        const TimePoint begun = bootNow();
        const AttemptResult result = co_await attemptCall(task, endpoint);
        task.context.loads.end(endpoint.id, load);
        if (!result.failure) {
            task.context.registry.noteSuccess(endpoint.id, begun);
            co_return;
        }
        if (task.caller->gone() || !task.noteFailure(result, endpoint.id))
            break;
    }
    task.caller->unwatch();
    co_await task.giveUp(ErrorCode::NoEndpoint);
}

}
