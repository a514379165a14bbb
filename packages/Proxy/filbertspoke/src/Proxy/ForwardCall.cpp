#include <filbertspoke/Proxy>

#include <algorithm>

namespace filbertspoke {

namespace asio = boost::asio;

namespace {

// A look-up that may be repeated is asked elsewhere after this part of its target latency, and not before the least time.
constexpr int silenceFactor = 2;
constexpr Duration leastSilence = std::chrono::milliseconds(150);

const EndpointRecord* pickEndpoint(ForwardTask& task)
{
    const auto candidates = task.context.registry.candidates(task.service, bootNow());
    const EndpointRecord* best = nullptr;
    double bestScore = 0;
    for (const EndpointRecord* candidate : candidates) {
        if (!task.mayUse(candidate->endpoint.id))
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

Duration callTimeout(const ForwardTask& task)
{
    const bool mayAskElsewhere = task.route.kind == RouteKind::Idempotent && task.usedEndpoints.size() + 1 < task.route.attempts;
    if (!mayAskElsewhere)
        return task.timeLeft();
    return std::min(task.timeLeft(), std::max<Duration>(leastSilence, task.route.targetLatency * silenceFactor));
}

asio::awaitable<AttemptResult> readAnswer(ForwardTask& task, UpstreamPointer connection, const SocketAddress& address)
{
    const Duration timeout = callTimeout(task);
    const Result<EndpointReply> reply = co_await task.readReply(connection, timeout);
    if (!reply)
        co_return AttemptResult { AttemptEnd::Lost, EndpointFault::Silent, {}, "no-answer" };
    HttpResponse response;
    response.status = reply->status;
    response.headers = reply->headers;
    Result<BodyProgress> ended = BodyProgress::More;
    while (ended && *ended == BodyProgress::More)
        ended = co_await connection->readBody(response.body, std::max<Duration>(task.timeLeft(), std::chrono::milliseconds(1)));
    if (!ended)
        co_return AttemptResult { AttemptEnd::Lost, EndpointFault::Broken, {}, "answer-broken-off" };
    task.context.pool.giveBack(address, connection);
    if (const auto failure = task.judge(*reply)) {
        const bool last = failure->failure == AttemptEnd::ReportedFailure && (task.route.kind == RouteKind::NonIdempotent || task.usedEndpoints.size() + 1 >= task.route.attempts);
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
    ForwardOrder order;
    order.timeLeft = task.timeLeft();
    order.stages = { { endpoint.id, endpoint.address, {} } };
    order.account = task.account;
    AttemptResult result;
    UpstreamPointer connection = co_await task.open(order, result);
    if (!connection)
        co_return result;
    co_return co_await readAnswer(task, connection, endpoint.address);
}

}

asio::awaitable<void> forwardCall(ForwardTask& task)
{
    const WorkInProgress load { 1, 0 };
    while (!task.caller->gone()) {
        const EndpointRecord* picked = pickEndpoint(task);
        if (!picked)
            break;
        const RegisteredEndpoint endpoint = picked->endpoint;
        task.logDecision("endpoint-chosen", { { "endpoint", endpoint.id.str() }, { "requestsThere", std::to_string(static_cast<std::uint64_t>(task.context.loads.total(endpoint.id).requests)) }, { "slots", std::to_string(endpoint.slots) }, { "sends", std::to_string(task.sends) } });
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
