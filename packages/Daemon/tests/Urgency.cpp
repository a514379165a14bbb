// Checks what a gateway process makes of the priorities of routes.
#include <filbertspoke/PlatformTesting>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace filbertspoke;

namespace {

struct Fixture : GatewayScene {
    Fixture()
    {
        std::vector<RouteText> routes = usualRoutes();
        for (RouteText& route : routes)
            route.priority = 2;
        RouteText urgent = routes.front();
        urgent.name = "urgent";
        urgent.prefix = "/urgent/";
        urgent.priority = 0;
        routes.push_back(urgent);
        this->store.putConfiguration(configurationText(2, routes));
        this->start();
    }

    /** \returns the urgency with which the generation reached an engine, or nothing if it reached none */
    std::optional<std::string> urgencyOf(const std::string& target) const
    {
        for (const auto& [id, replica] : this->replicas) {
            for (const HttpRequest& request : replica->requests()) {
                if (request.target == target)
                    return std::string(findHeader(request.headers, "Request-Urgency"));
            }
        }
        return std::nullopt;
    }

    /** \returns the next line of the gateway's log on the event */
    boost::json::object nextLine(const std::string& event)
    {
        while (const auto line = this->gateway->readLine()) {
            const boost::json::value value = boost::json::parse(*line);
            if (value.at("event").as_string() == event)
                return value.as_object();
        }
        return {};
    }

    std::string rankOfNextChain()
    {
        const boost::json::object line = this->nextLine("chain-chosen");
        return line.contains("rank") ? std::string(line.at("rank").as_string()) : "none";
    }
};

}

// Guards against priorities that engines don't hear of, against ranks that ignore the routes, and against the header in calls of plain services.
BOOST_FIXTURE_TEST_CASE(generationsAreSentWithTheirUrgencyAndRanked, Fixture)
{
    this->answer(*this->call("POST", "/chat/usual"), lastChunk());
    BOOST_TEST(this->urgencyOf("/chat/usual").value_or("not sent") == "2");
    BOOST_TEST(this->rankOfNextChain() == "1");
    this->answer(*this->call("POST", "/urgent/first"), lastChunk());
    BOOST_TEST(this->urgencyOf("/urgent/first").value_or("not sent") == "0");
    BOOST_TEST(this->rankOfNextChain() == "0");
    this->answer(*this->call("POST", "/book/call"), "served");
    BOOST_TEST(this->urgencyOf("/book/call").value_or("not sent").empty());
}

// Guards against a stream that its caller resumes and that waits behind new generations.
BOOST_FIXTURE_TEST_CASE(resumedStreamHasTheFirstRank, Fixture)
{
    this->answer(*this->call("POST", "/chat/resumed", "Last-Event-Id: 1\r\n"), lastChunk());
    BOOST_TEST(this->rankOfNextChain() == "0");
}

// Guards against refusals whose log line doesn't tell the priority and rank by which they were decided.
BOOST_FIXTURE_TEST_CASE(refusalIsLoggedWithPriorityAndRank, Fixture)
{
    for (const char* id : { "engine-a1", "engine-b1" })
        this->replicas.at(id)->setAnswer([](const HttpRequest& request) { return request.target.starts_with("/filbertspoke/") ? emptyReport() : ReplicaScript { { fullAnswer() } }; });
    const std::string answer = this->answer(*this->call("POST", "/chat/refused"), "\r\n\r\n");
    BOOST_TEST(answer.find(" 503 ") != std::string::npos);
    const boost::json::object line = this->nextLine("request-given-up");
    BOOST_TEST_REQUIRE(line.contains("priority"));
    BOOST_TEST(line.at("priority").as_string() == "2");
    BOOST_TEST(line.at("rank").as_string() == "1");
}
