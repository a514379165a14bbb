#include "StepTimeout.h"

#include <algorithm>

namespace filbertspoke::internal {

namespace {

using namespace std::chrono_literals;

constexpr Duration shortestTimeout = 300ms;
constexpr Duration longestTimeout = 10s;
constexpr Duration timeoutWithoutHistory = 2s;
constexpr Duration allowancePerPosition = 5ms;
constexpr int latencyMultiple = 8;

}

Duration stepTimeout(const EndpointState* state, const Step& step)
{
    const Duration prefill = allowancePerPosition * (step.count() - 1);
    const bool knowsLatency = state && state->smoothedLatency() > Duration::zero();
    const Duration usual = knowsLatency ? state->smoothedLatency() * latencyMultiple : timeoutWithoutHistory;
    return std::clamp(usual, shortestTimeout, longestTimeout) + prefill;
}

}
