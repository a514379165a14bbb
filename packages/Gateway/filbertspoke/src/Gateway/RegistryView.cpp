#include <filbertspoke/Gateway>

namespace filbertspoke {

namespace {

// An entry expires after three intervals without a heartbeat. The last one was written up to an interval before an outage began, and
// heartbeats are up to half an interval late.
constexpr double outageIntervals = 1.5;

}

bool RegistryView::noteCurrent(TimePoint now)
{
    const auto before = this->age(now);
    this->currentAt = now;
    return before && *before >= scaled(this->heartbeatInterval, outageIntervals);
}

std::optional<Duration> RegistryView::age(TimePoint now) const
{
    return this->currentAt ? std::optional<Duration>(now - *this->currentAt) : std::nullopt;
}

}
