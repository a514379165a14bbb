#include "StageCost.h"

#include <algorithm>

namespace filbertspoke {

namespace internal {

constexpr double microsecondsPerSecond = 1e6;
constexpr double defaultPrefillSpeedup = 8; ///< prefill rate as a multiple of the decode rate, until the first prefill is measured

}

double expectedStageTime(const EndpointState& state, const PlanRequest& request, TimePoint)
{
    const double servicePerToken = internal::microsecondsPerSecond / state.rate();
    const double queueLength = state.ownChains() + state.othersLoad() + 1;
    const double timePerToken = static_cast<double>(state.minimumLatency().count()) + queueLength * servicePerToken;
    const double prefillPerToken = state.prefillMicrosecondsPerToken() > 0
        ? state.prefillMicrosecondsPerToken()
        : servicePerToken / internal::defaultPrefillSpeedup;
    return timePerToken * std::max<double>(request.maximumTokens(), 1) + prefillPerToken * request.promptTokens();
}

}
