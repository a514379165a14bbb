// Runs a gateway whose endpoints crash whenever they begin to run one request, which its caller sends again and again.
#include <filbertspoke/PlatformTesting>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

// Requirement of the users: no more than three further sends from three seconds after the third crash on. Here from one second on.
constexpr auto adjustmentTime = 1s;
constexpr std::size_t crashLimit = 3;
constexpr std::size_t sendsAfterLimit = 3;
constexpr int callersRequests = 8;
constexpr int soundRequestsPerCrash = 6;

struct Fixture : CrashScene {
    void crashOn(const std::string& target, const std::vector<std::string>& endpoints)
    {
        this->crashingTarget = target;
        this->crashUnder(endpoints, [target](const HttpRequest& request) { return request.target == target; });
    }

    void sendCrashingRequest(const std::string& method) { this->answerToCrashing = this->sendCrashing(method, this->crashingTarget); }

    /** \brief Sends the crashing request several times. In between the crashed endpoints restart, and other requests are served. Crashes beyond
     * the third one count only after the adjustment time. */
    void repeatCrashingRequest(const std::string& method, const std::string& soundTarget, const std::string& ending)
    {
        bool adjusted = false;
        for (int request = 0; request < callersRequests; ++request) {
            this->sendCrashingRequest(method);
            const auto restarted = Clock::now();
            if (!adjusted && this->crashes >= crashLimit) {
                adjusted = true;
                this->crashes = crashLimit;
                this->await([&] {
                    this->serve(method, soundTarget, ending);
                    return Clock::now() - restarted > adjustmentTime;
                });
            }
            this->await([&] { return this->serve(method, soundTarget, ending); });
            for (int sound = 0; sound < soundRequestsPerCrash; ++sound)
                this->serve(method, soundTarget, ending);
        }
    }

    /** \brief Kills the gateway and starts it again, then sends the crashing request several times. */
    void repeatAfterLossOfAllGateways(const std::string& method)
    {
        this->gateway->kill();
        this->start();
        for (int request = 0; request < callersRequests; ++request)
            this->sendCrashingRequest(method);
    }

    std::string crashingTarget;
    std::string answerToCrashing; ///< the last one
};

}

// Guards against one request crashing endpoint after endpoint.
BOOST_FIXTURE_TEST_CASE(streamThatCrashesEnginesIsRefused, Fixture)
{
    this->crashOn("/chat/crashing", { "engine-a1", "engine-b1" });
    this->repeatCrashingRequest("POST", "/chat/x", "0\r\n\r\n");
    BOOST_TEST(this->crashes <= crashLimit + sendsAfterLimit);
    BOOST_TEST(this->answerToCrashing.starts_with("HTTP/1.1 503"));
    BOOST_TEST(this->serve("POST", "/chat/x", "0\r\n\r\n"));
}

BOOST_FIXTURE_TEST_CASE(callThatCrashesReplicasIsRefused, Fixture)
{
    this->crashOn("/stock/crashing", { "app-1", "app-2" });
    this->repeatCrashingRequest("GET", "/stock/x", "served");
    BOOST_TEST(this->crashes <= crashLimit + sendsAfterLimit);
    BOOST_TEST(this->answerToCrashing.starts_with("HTTP/1.1 503"));
    BOOST_TEST(this->serve("GET", "/stock/x", "served"));
}

BOOST_FIXTURE_TEST_CASE(bookingThatCrashesReplicasIsRefused, Fixture)
{
    this->crashOn("/book/crashing", { "app-1", "app-2" });
    this->repeatCrashingRequest("POST", "/book/x", "served");
    BOOST_TEST(this->crashes <= crashLimit + sendsAfterLimit);
    BOOST_TEST(this->answerToCrashing.starts_with("HTTP/1.1 503"));
    BOOST_TEST(this->serve("POST", "/book/x", "served"));
}

// Guards against a crashing request that crashes endpoints again each time that all gateways were lost.
BOOST_FIXTURE_TEST_CASE(quarantinedRequestStaysRefusedAfterTheLossOfAllGateways, Fixture)
{
    this->crashOn("/book/crashing", { "app-1", "app-2" });
    this->repeatCrashingRequest("POST", "/book/x", "served");
    for (int loss = 0; loss < 3; ++loss)
        this->repeatAfterLossOfAllGateways("POST");
    BOOST_TEST(this->crashes <= crashLimit + sendsAfterLimit);
    BOOST_TEST(this->answerToCrashing.starts_with("HTTP/1.1 503"));
    BOOST_TEST(this->serve("POST", "/book/x", "served"));
}
