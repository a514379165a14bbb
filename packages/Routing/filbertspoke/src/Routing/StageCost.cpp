#include "StageCost.h"

#include <algorithm>

namespace filbertspoke {

namespace internal {

constexpr double microsecondsInSecond = 1e6;
constexpr double prefillSpeedup = 8; ///< tokens of a prompt run together, until measured

}

double expectedStageTime(const EndpointState& state, const PlanRequest& request, TimePoint)
{
    const double servicePerToken = internal::microsecondsInSecond / state.rate();
    const double waiting = state.ownChains() + state.othersLoad() + 1;
    const double step = static_cast<double>(state.minimumLatency().count()) + waiting * servicePerToken;
    const double prefillPerToken = state.prefillMicrosecondsPerToken() > 0
        ? state.prefillMicrosecondsPerToken()
        : servicePerToken / internal::prefillSpeedup;
    return step * std::max<double>(request.maximumTokens(), 1) + prefillPerToken * request.promptTokens();
}

}
