#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const TimePoint signalledAt = TimePoint() + 100s;
constexpr Duration timeout = 8s;
const StopSchedule schedule(signalledAt, timeout);
// Requirements of the users: requests are sent to the gateway until two health checks a second apart have failed, and one that is sent later than
// three seconds after the signal and forwarded must not be broken off.
constexpr Duration balancerRemoval = 2s;
constexpr Duration lastExcused = 3s;
// The signal may be delivered this much later than a request that was sent at the same time.
constexpr Duration signalDelay = 150ms;

}

BOOST_AUTO_TEST_CASE(requestsAreTakenWhileTheBalancerSendsThem)
{
    BOOST_TEST(schedule.takesRequests(signalledAt));
    BOOST_TEST(schedule.takesRequests(signalledAt + balancerRemoval + signalDelay));
}

// Guards against requests that were forwarded up to 20 ms after the time for them, and broken off when the gateway ended.
BOOST_AUTO_TEST_CASE(requestsThatMayHaveBeenSentTooLateAreNotTaken)
{
    BOOST_TEST(!schedule.takesRequests(signalledAt + lastExcused));
    BOOST_TEST(!schedule.takesRequests(signalledAt + lastExcused - signalDelay));
}

BOOST_AUTO_TEST_CASE(connectionsAreAcceptedLongerThanRequestsAreTaken)
{
    for (Duration time {}; time < timeout; time += 10ms) {
        if (schedule.takesRequests(signalledAt + time))
            BOOST_TEST(schedule.acceptsConnections(signalledAt + time));
    }
}

BOOST_AUTO_TEST_CASE(requestsAreEndedBeforeTheGatewayEnds)
{
    TimePoint ended = signalledAt;
    while (!schedule.endsRequests(ended))
        ended += 1ms;
    BOOST_TEST(!schedule.isOver(ended));
    BOOST_TEST(!schedule.takesRequests(ended));
    BOOST_TEST(!schedule.acceptsConnections(ended));
}

BOOST_AUTO_TEST_CASE(requestsAreNotTakenWhenAShortStopEndsThem)
{
    const StopSchedule shortStop(signalledAt, 1s);
    BOOST_TEST(shortStop.takesRequests(signalledAt));
    BOOST_TEST(!shortStop.takesRequests(signalledAt + 900ms));
    BOOST_TEST(!shortStop.acceptsConnections(signalledAt + 900ms));
}

BOOST_AUTO_TEST_CASE(gatewayEndsBeforeItIsKilled)
{
    BOOST_TEST(!schedule.isOver(signalledAt + lastExcused));
    BOOST_TEST(schedule.isOver(signalledAt + timeout - 250ms));
}
