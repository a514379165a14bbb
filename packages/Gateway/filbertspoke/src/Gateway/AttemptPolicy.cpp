#include <filbertspoke/Gateway>

namespace filbertspoke {

namespace {

// Sends of one request, those that reached no endpoint included: what is left after a few fails for the same reason.
constexpr std::uint32_t maximumSends = 4;
// With less time left an answer would come too late.
constexpr Duration leastTimeForRetry = std::chrono::milliseconds(30);

}

bool mayRetry(const AttemptState& state, AttemptEnd end)
{
    if (state.sends >= maximumSends || state.timeLeft < leastTimeForRetry)
        return false;
    // A route's attempts bound the endpoints that get the request, not how often one of them gets it.
    const bool endpointLeft = state.endpointsUsed < state.allowedRuns || state.mayReturn;
    switch (end) {
    case AttemptEnd::NotSent:
    case AttemptEnd::NotExecuted:
        return endpointLeft;
    case AttemptEnd::Lost:
    case AttemptEnd::ReportedFailure: {
        const bool repeatable = state.kind == RouteKind::Idempotent || (state.kind == RouteKind::Stream && state.resumable);
        return repeatable && endpointLeft;
    }
    }
    return false;
}

bool mayHaveRun(AttemptEnd end)
{
    return end == AttemptEnd::Lost || end == AttemptEnd::ReportedFailure;
}

bool certainlyNotRun(const AttemptState& state)
{
    return state.possibleRuns == 0;
}

}
