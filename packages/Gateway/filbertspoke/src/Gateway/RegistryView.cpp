#include <filbertspoke/Gateway>

namespace filbertspoke {

namespace {

// An entry expires after three intervals without a heartbeat. The last one was written up to an interval before an outage began, and
// heartbeats are up to half an interval late.
constexpr double outageIntervals = 1.5;
// A reader polls the registry every 350 ms, and a call takes up to 400 ms. An older list may be that of a daemon that was suspended.
constexpr Duration currentLifetime = std::chrono::milliseconds(1000);

}

bool RegistryView::noteCurrent(TimePoint now)
{
    const auto before = this->age(now);
    this->currentAt = now;
    return before && *before >= scaled(this->heartbeatInterval, outageIntervals);
}

bool RegistryView::isCurrent(TimePoint now) const
{
    return this->currentAt && now - *this->currentAt <= currentLifetime;
}

std::optional<Duration> RegistryView::age(TimePoint now) const
{
    return this->currentAt ? std::optional<Duration>(now - *this->currentAt) : std::nullopt;
}

}
