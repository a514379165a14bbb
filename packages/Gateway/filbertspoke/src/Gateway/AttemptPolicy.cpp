#include <filbertspoke/Gateway>

namespace filbertspoke {

namespace {

// Limit on the sends of one request, including those that reached no endpoint. After a few failures further sends usually fail for
// the same reason.
constexpr std::uint32_t maximumSends = 4;
// With less time left, the response to a retry would miss the deadline.
constexpr Duration minimumRetryTime = std::chrono::milliseconds(30);

}

bool mayRetry(const AttemptState& state, AttemptEnd end)
{
    if (state.sends >= maximumSends || state.timeLeft < minimumRetryTime)
        return false;
    // A route's attempts limit the number of endpoints that get the request, not how often one endpoint gets it.
    const bool endpointLeft = state.endpointsUsed < state.allowedRuns || state.mayReuseEndpoint;
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
