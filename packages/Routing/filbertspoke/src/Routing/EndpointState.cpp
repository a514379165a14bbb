#include "EndpointState.h"

namespace filbertspoke {

namespace internal {

constexpr double rateWithoutReport = 100; ///< tokens or calls a second
constexpr double microsecondsPerSecond = 1e6;
constexpr Duration latencyMemory = std::chrono::seconds(1);
constexpr double prefillTolerance = 3; ///< a prompt may take this much longer than expected

}

Duration EndpointState::answerTimeout(std::uint32_t positions) const
{
    const double prefill = positions > 1 ? internal::prefillTolerance * this->prefillTime * positions : 0;
    return this->latency.timeout() + Duration(static_cast<Duration::rep>(prefill));
}

Duration EndpointState::recentDelay(TimePoint now) const
{
    if (!this->latencyTime || now - *this->latencyTime > internal::latencyMemory)
        return Duration::zero();
    return std::max(this->latency.smoothed() - this->latency.smallest(), Duration::zero());
}

double EndpointState::rate() const
{
    if (this->latestLoad.tokensPerSecond > 0)
        return this->latestLoad.tokensPerSecond;
    if (!this->latency.empty())
        return internal::microsecondsPerSecond / static_cast<double>(std::max(this->latency.smallest(), Duration(1)).count());
    return internal::rateWithoutReport;
}

}
