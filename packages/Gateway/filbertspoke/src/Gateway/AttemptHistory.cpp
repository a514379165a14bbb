#include <filbertspoke/Gateway>

#include <algorithm>

namespace filbertspoke {

AttemptHistory::AttemptHistory(const Route& route)
    : kind(route.kind)
    , resumable(route.resumable)
    , allowedEndpoints(route.attempts)
{
}

void AttemptHistory::noteFailure(const FailedAttempt& attempt)
{
    this->faults.insert_or_assign(attempt.blamed, attempt.fault);
    if (!mayHaveRun(attempt.end))
        return;
    ++this->possibleRuns;
    this->usedEndpoints.insert(attempt.first);
}

bool AttemptHistory::mayUse(const EndpointId& endpoint) const
{
    const auto fault = this->faults.find(endpoint);
    if (fault == this->faults.end())
        return true;
    return this->attemptsExhausted() && this->usedEndpoints.contains(endpoint) && fault->second == EndpointFault::Broken;
}

bool AttemptHistory::wasRefusedBy(const EndpointId& endpoint) const
{
    const auto fault = this->faults.find(endpoint);
    return fault != this->faults.end() && fault->second == EndpointFault::Refused;
}

bool AttemptHistory::mayReuseEndpoint() const
{
    const bool resumableStream = this->kind == RouteKind::Stream && this->resumable;
    return resumableStream && std::any_of(this->usedEndpoints.begin(), this->usedEndpoints.end(), [this](const EndpointId& endpoint) { return this->mayUse(endpoint); });
}

AttemptState AttemptHistory::state(Duration timeLeft) const
{
    AttemptState state;
    state.kind = this->kind;
    state.resumable = this->resumable;
    state.allowedRuns = this->allowedEndpoints;
    state.possibleRuns = this->possibleRuns;
    state.endpointsUsed = static_cast<std::uint32_t>(this->usedEndpoints.size());
    state.mayReuseEndpoint = this->mayReuseEndpoint();
    state.sends = this->attempts;
    state.timeLeft = timeLeft;
    return state;
}

}
