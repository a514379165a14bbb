#include <filbertspoke/Gateway>

namespace filbertspoke {

namespace {

// The load balancer removes a gateway after two failed health checks, which are a second apart; the third second covers a late check.
constexpr Duration balancerRemovalTime = std::chrono::milliseconds(3000);
// The signal and a request can reach the gateway with different delays. Requests are refused this long before connections are, so that none
// that was sent after balancerRemovalTime is forwarded.
constexpr Duration deliveryMargin = std::chrono::milliseconds(200);
// Time in which a caller whose connection was accepted sends its request.
constexpr Duration firstRequestTime = std::chrono::milliseconds(500);
// The gateway ends this long before it would be killed.
constexpr Duration killMargin = std::chrono::milliseconds(250);
// Time for the responses to the requests that are ended with the gateway.
constexpr Duration responseTime = std::chrono::milliseconds(50);

}

bool StopSchedule::takesRequests(TimePoint now) const
{
    return now - this->signalledAt < balancerRemovalTime - deliveryMargin && !this->endsRequests(now);
}

bool StopSchedule::acceptsConnections(TimePoint now) const
{
    return now - this->signalledAt < balancerRemovalTime && !this->endsRequests(now);
}

bool StopSchedule::closesUnusedConnections(TimePoint now) const
{
    return now - this->signalledAt >= balancerRemovalTime + firstRequestTime;
}

bool StopSchedule::endsRequests(TimePoint now) const
{
    return now - this->signalledAt >= this->timeout - killMargin - responseTime;
}

bool StopSchedule::isOver(TimePoint now) const
{
    return now - this->signalledAt >= this->timeout - killMargin;
}

}
