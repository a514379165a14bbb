// Runs two gateways whose endpoints name the requests that they accept in a second from all gateways together.
#include <filbertspoke/PlatformTesting>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

const std::string limitText = "2";
constexpr double limit = 2;
// Requirement of the users: in four seconds at most one and a half times the limit and five more, from three seconds after it was first named.
constexpr auto window = 4s;
constexpr auto adjustmentTime = 3s;
constexpr double allowedInWindow = 1.5 * limit * 4 + 5;

struct Fixture : GatewayScene {
    Fixture()
    {
        this->start();
        this->startSecond("zone-b", this->secondStore.address());
        for (const char* id : { "app-1", "app-2", "engine-a1", "engine-b1" })
            this->replicas.at(id)->setAnswer([this, id](const HttpRequest& request) { return this->answerAt(id, request); });
    }

    ReplicaScript answerAt(const std::string& id, const HttpRequest& request)
    {
        if (request.target.starts_with("/filbertspoke/"))
            return emptyReport();
        this->arrivals[id].push_back(Clock::now());
        ReplicaScript script;
        if (findHeader(request.headers, "Hop-Count").empty())
            script.pieces = { limitingAnswer(wholeAnswer(request, 200, "served"), limitText) };
        else
            script.pieces = { limitingAnswer(streamHead(request), limitText), eventChunk(1), lastChunk() };
        return script;
    }

    /** \brief Sends requests to both gateways in turn, one after the other, until the limit must have been kept for a whole window.
     * \returns the number of requests that were served */
    int press(const std::string& path, const std::string& ending)
    {
        const std::vector<HttpAddress> gateways { this->callers, this->secondCallers };
        int served = 0;
        const auto begin = Clock::now();
        for (std::size_t call = 0; Clock::now() - begin < adjustmentTime + window; ++call) {
            this->callers = gateways[call % gateways.size()];
            const auto caller = this->call("POST", path);
            this->await([&] { return caller->closed() || caller->received().find(ending) != std::string::npos || caller->received().starts_with("HTTP/1.1 5"); });
            served += caller->received().find(ending) != std::string::npos ? 1 : 0;
        }
        return served;
    }

    /** \returns the most requests that the endpoint got in a window which began after the adjustment time */
    long mostInWindow(const std::string& id) const
    {
        const auto entry = this->arrivals.find(id);
        BOOST_REQUIRE(entry != this->arrivals.end());
        const auto& times = entry->second;
        long most = 0;
        for (const auto begin : times) {
            if (begin - times.front() >= adjustmentTime)
                most = std::max<long>(most, std::count_if(times.begin(), times.end(), [begin](auto at) { return at >= begin && at < begin + window; }));
        }
        return most;
    }

    std::map<std::string, std::vector<Clock::time_point>> arrivals; ///< requests by endpoint
};

}

// Guards against gateways that together send an endpoint more requests than it accepts.
BOOST_FIXTURE_TEST_CASE(replicasGetNoMoreCallsThanTheirRateLimitAllows, Fixture)
{
    BOOST_TEST(this->press("/book/x", "served") > 0);
    for (const char* id : { "app-1", "app-2" })
        BOOST_TEST(this->mostInWindow(id) <= allowedInWindow);
}

BOOST_FIXTURE_TEST_CASE(enginesGetNoMoreStreamsThanTheirRateLimitAllows, Fixture)
{
    BOOST_TEST(this->press("/chat/x", "0\r\n\r\n") > 0);
    for (const char* id : { "engine-a1", "engine-b1" })
        BOOST_TEST(this->mostInWindow(id) <= allowedInWindow);
}
