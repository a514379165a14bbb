#include "CallRunner.h"

#include <algorithm>
#include <utility>

namespace filbertspoke::internal {

namespace {

using namespace std::chrono_literals;

constexpr Duration endpointRetryDelay = 1s;
constexpr int slowMultiple = 3; // of the latency with little load: one that has become slow stays slow by it
constexpr Duration shortestHedgeDelay = 2ms;
constexpr Duration longestHedgeDelay = 100ms;
constexpr Duration hedgeDelayWithoutHistory = 50ms;

}

std::optional<CallEnd> CallRunner::start(const RequestId& request, const ServiceCall& call, CallPolicy policy, const Now& now, Actions& actions)
{
    this->budget.firstAttempt();
    Run& run = this->runs[request];
    run.call = call;
    run.policy = policy;
    const std::optional<CallEnd> end = this->send(request, run, ErrorCode::NoEndpoint, now, actions);
    if (!end && policy.hedged)
        this->hedges.set(request, now.monotonic() + this->hedgeDelay(run.tried.front()));
    return end;
}

std::optional<CallEnd> CallRunner::handle(const CallAnswered& event, const Now& now, Actions& actions)
{
    const auto entry = this->runs.find(event.request);
    if (entry == this->runs.end() || !entry->second.outstanding.contains(event.attempt)) {
        actions.push_back(count("answers_dropped_total", "no-call"));
        return std::nullopt;
    }
    Run& run = entry->second;
    const Attempt attempt = run.outstanding.at(event.attempt);
    run.outstanding.erase(event.attempt);
    this->context.endpoints.workFinished(attempt.endpoint, now.monotonic() - attempt.sentAt, now.monotonic());
    if (!event.notRun)
        return this->end(event.request, event.answer, now, actions);
    if (!run.outstanding.empty())
        return std::nullopt;
    return this->send(event.request, run, ErrorCode::EndpointRejected, now, actions);
}

std::optional<CallEnd> CallRunner::handle(const CallFailed& event, const Now& now, Actions& actions)
{
    const auto entry = this->runs.find(event.request);
    if (entry == this->runs.end() || !entry->second.outstanding.contains(event.attempt))
        return std::nullopt;
    Run& run = entry->second;
    this->context.endpoints.workFailed(run.outstanding.at(event.attempt).endpoint, now.monotonic());
    run.outstanding.erase(event.attempt);
    run.mayHaveRun = run.mayHaveRun || event.sent;
    if (!run.outstanding.empty())
        return std::nullopt;
    if (event.sent && !run.policy.idempotent)
        return this->end(event.request, Refusal(ErrorCode::OutcomeUnknown, Ran::Unknown), now, actions);
    if (event.sent && !this->budget.takeRetry())
        return this->end(event.request, Refusal(ErrorCode::EndpointFailed, Ran::Unknown).retryAfter(endpointRetryDelay), now, actions);
    return this->send(event.request, run, ErrorCode::EndpointUnreachable, now, actions);
}

Ran CallRunner::cancel(const RequestId& request, const Now& now, Actions& actions)
{
    const auto entry = this->runs.find(request);
    if (entry == this->runs.end())
        return Ran::No;
    const bool mayHaveRun = entry->second.mayHaveRun || !entry->second.outstanding.empty();
    this->close(request, entry->second, now, actions);
    this->runs.erase(entry);
    return mayHaveRun ? Ran::Unknown : Ran::No;
}

std::optional<CallEnd> CallRunner::send(const RequestId& request, Run& run, ErrorCode failure, const Now& now, Actions& actions)
{
    const Refusal refusal = Refusal(failure, run.mayHaveRun ? Ran::Unknown : Ran::No).retryAfter(endpointRetryDelay);
    if (run.attempts == maximumAttempts || !this->tryReplica(request, run, "sent", now, actions))
        return this->end(request, refusal, now, actions);
    return std::nullopt;
}

bool CallRunner::tryReplica(const RequestId& request, Run& run, const char* decision, const Now& now, Actions& actions)
{
    const Result<EndpointId> endpoint = ReplicaPicker().pick(run.call.service, run.tried, this->context.endpoints, this->context.random, now.monotonic());
    if (!endpoint)
        return false;
    const std::uint32_t attempt = run.attempts++;
    run.tried.push_back(*endpoint);
    run.outstanding.emplace(attempt, Attempt { *endpoint, now.monotonic() });
    this->context.endpoints.workStarted(*endpoint, now.monotonic());
    this->context.traces.add(request, now, decision, endpoint->str());
    actions.push_back(SendCall { *endpoint, request, attempt, run.call });
    return true;
}

Duration CallRunner::hedgeDelay(const EndpointId& endpoint) const
{
    const EndpointState* state = this->context.endpoints.find(endpoint);
    if (!state || state->minimumLatency() == Duration::zero())
        return hedgeDelayWithoutHistory;
    return std::clamp(state->minimumLatency() * slowMultiple, shortestHedgeDelay, longestHedgeDelay);
}

void CallRunner::handle(const Tick&, const Now& now, Actions& actions)
{
    for (const RequestId& request : this->hedges.takeDue(now.monotonic())) {
        const auto entry = this->runs.find(request);
        if (entry == this->runs.end() || entry->second.outstanding.size() != 1 || !this->budget.takeRetry())
            continue;
        if (this->tryReplica(request, entry->second, "hedged", now, actions))
            actions.push_back(count("hedges_total"));
    }
}

std::optional<CallEnd> CallRunner::end(const RequestId& request, CallEnd end, const Now& now, Actions& actions)
{
    const auto entry = this->runs.find(request);
    this->close(request, entry->second, now, actions);
    this->runs.erase(entry);
    return end;
}

void CallRunner::close(const RequestId& request, Run& run, const Now& now, Actions& actions)
{
    this->hedges.erase(request);
    for (const auto& [number, attempt] : std::exchange(run.outstanding, {})) {
        this->context.endpoints.workFinished(attempt.endpoint, now.monotonic() - attempt.sentAt, now.monotonic());
        actions.push_back(CancelCall { attempt.endpoint, request, number });
    }
}

}
