#include <filbertspoke/Gateway>

#include <algorithm>

namespace filbertspoke {

namespace {

// A hub sends several messages a second; its view counts as out of date after this time without one.
constexpr Duration hubReportLifetime = std::chrono::milliseconds(600);
// Gateways of the domain, besides the hub, that read the store whenever the hub can't.
constexpr std::size_t standbys = 2;
// Other gateways begin to read the store within this time after the hub's view has become out of date.
constexpr Duration startSpread = std::chrono::milliseconds(500);
constexpr Duration firstRetryDelay = std::chrono::milliseconds(300);
constexpr Duration standbyRetryLimit = std::chrono::milliseconds(600);
constexpr Duration otherRetryLimit = std::chrono::seconds(3);
constexpr unsigned maximumDoublings = 8;

}

void StoreReaderPolicy::noteHub(HubSource source, TimePoint now)
{
    this->hubSource = source;
    if (source != HubSource::None)
        this->lastReportAt = now;
}

bool StoreReaderPolicy::mustRead(std::size_t rank, TimePoint now) const
{
    const Duration age = now - this->lastReportAt;
    const bool upToDate = this->hubSource && *this->hubSource != HubSource::None && age <= hubReportLifetime;
    if (rank == 0)
        return true;
    if (upToDate && this->hubSource == HubSource::Store)
        return false;
    if (rank <= standbys || this->lastCallSucceeded)
        return true;
    return !upToDate && age > hubReportLifetime + scaled(startSpread, this->spread);
}

Duration StoreReaderPolicy::retryDelay(std::size_t rank, unsigned failures) const
{
    const Duration delay = firstRetryDelay * (1 << std::min(failures > 0 ? failures - 1 : 0, maximumDoublings));
    if (rank <= standbys)
        return std::min(delay, standbyRetryLimit);
    return scaled(std::min(delay * 2, otherRetryLimit), 1 + this->spread);
}

}
