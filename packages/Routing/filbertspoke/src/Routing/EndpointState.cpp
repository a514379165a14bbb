#include "EndpointState.h"

namespace filbertspoke {

namespace internal {

constexpr double defaultRate = 100; ///< tokens or calls a second
constexpr double microsecondsPerSecond = 1e6;
constexpr Duration latencyLifetime = std::chrono::seconds(1);
constexpr double prefillTimeoutFactor = 3; ///< timeout of a prompt as a multiple of its expected prefill time

}

Duration EndpointState::answerTimeout(std::uint32_t positions) const
{
    const double prefill = positions > 1 ? internal::prefillTimeoutFactor * this->prefillTime * positions : 0;
    return this->latency.timeout() + Duration(static_cast<Duration::rep>(prefill));
}

Duration EndpointState::queueingDelay(TimePoint now) const
{
    if (!this->latencyTime || now - *this->latencyTime > internal::latencyLifetime)
        return Duration::zero();
    return std::max(this->latency.smoothed() - this->latency.minimum(), Duration::zero());
}

double EndpointState::rate() const
{
    if (this->latestLoad.tokensPerSecond > 0)
        return this->latestLoad.tokensPerSecond;
    if (!this->latency.empty())
        return internal::microsecondsPerSecond / static_cast<double>(std::max(this->latency.minimum(), Duration(1)).count());
    return internal::defaultRate;
}

}
