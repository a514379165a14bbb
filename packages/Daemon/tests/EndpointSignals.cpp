// Runs gateways whose endpoints say in their answers that they are leaving, or for how long they want no requests.
#include <filbertspoke/PlatformTesting>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

ReplicaScript wholeScript(std::string answer)
{
    return { { std::move(answer) }, 5ms, ReplicaScript::End::Keep };
}

ReplicaScript pushback(const std::string& seconds)
{
    return wholeScript(pushbackAnswer(seconds));
}

struct Fixture : GatewayScene {
    Fixture() { this->start(); }

    std::size_t requestsAt(const std::string& id) const { return this->replicas.at(id)->requests().size(); }

    void book() { this->answer(*this->call("POST", "/book/x"), "\r\n\r\n"); }

    /** \brief Sends requests until one has reached the endpoint. */
    void reach(const std::string& id, const std::string& path)
    {
        const std::size_t before = this->requestsAt(id);
        this->await([&] {
            this->answer(*this->call("POST", path), path == "/chat/x" ? "0\r\n\r\n" : "\r\n\r\n");
            return this->requestsAt(id) > before;
        });
    }
};

}

BOOST_FIXTURE_TEST_CASE(replicaThatSaysItIsLeavingGetsNoNewRequests, Fixture)
{
    this->replicas.at("app-1")->setAnswer([](const HttpRequest& request) { return wholeScript(leavingAnswer(wholeAnswer(request, 200, "served"))); });
    this->reach("app-1", "/book/x");
    const std::size_t before = this->requestsAt("app-1");
    for (int call = 0; call < 30; ++call)
        this->book();
    BOOST_TEST(this->requestsAt("app-1") == before);
}

BOOST_FIXTURE_TEST_CASE(engineWhoseStreamSaysItIsLeavingFinishesItAndGetsNoNewOnes, Fixture)
{
    this->replicas.at("engine-a1")->setAnswer([](const HttpRequest& request) {
        if (request.target.starts_with("/filbertspoke/"))
            return emptyReport();
        return ReplicaScript { { leavingAnswer(streamHead(request)), eventChunk(1), lastChunk() }, 5ms, ReplicaScript::End::Keep };
    });
    this->reach("engine-a1", "/chat/x");
    const std::size_t before = this->requestsAt("engine-a1");
    for (int call = 0; call < 10; ++call)
        BOOST_TEST(this->answer(*this->call("POST", "/chat/x"), "0\r\n\r\n").find("0\r\n\r\n") != std::string::npos);
    BOOST_TEST(this->requestsAt("engine-a1") == before);
}

BOOST_FIXTURE_TEST_CASE(errorOfALeavingReplicaEndsNewRequestsToo, Fixture)
{
    this->replicas.at("app-1")->setAnswer([](const HttpRequest& request) { return wholeScript(leavingAnswer(wholeAnswer(request, 500, "failed"))); });
    this->reach("app-1", "/book/x");
    const std::size_t before = this->requestsAt("app-1");
    for (int call = 0; call < 30; ++call)
        this->book();
    BOOST_TEST(this->requestsAt("app-1") == before);
}

BOOST_FIXTURE_TEST_CASE(otherGatewaysLearnOfTheLeaving, Fixture)
{
    this->startSecond("zone-b", this->secondStore.address());
    this->replicas.at("app-1")->setAnswer([](const HttpRequest& request) { return wholeScript(leavingAnswer(wholeAnswer(request, 200, "served"))); });
    this->reach("app-1", "/book/x");
    this->callers = this->secondCallers;
    const auto avoided = [&] {
        const std::size_t before = this->requestsAt("app-1");
        for (int call = 0; call < 20; ++call)
            this->book();
        return this->requestsAt("app-1") == before;
    };
    // The second gateway itself never gets an answer of the replica.
    this->replicas.at("app-1")->setAnswer([](const HttpRequest& request) { return wholeScript(wholeAnswer(request, 200, "served")); });
    BOOST_TEST(this->await(avoided));
}

BOOST_FIXTURE_TEST_CASE(replicaThatPushesBackGetsNoRequestsUntilTheEnd, Fixture)
{
    this->replicas.at("app-1")->setAnswer([](const HttpRequest&) { return pushback("2.5"); });
    this->reach("app-1", "/book/x");
    const auto end = Clock::now() + 2500ms - 200ms;
    const std::size_t before = this->requestsAt("app-1");
    while (Clock::now() < end)
        BOOST_TEST(this->answer(*this->call("POST", "/book/x"), "served").find("HTTP/1.1 200") != std::string::npos);
    BOOST_TEST(this->requestsAt("app-1") == before);
    this->replicas.at("app-1")->setAnswer([](const HttpRequest& request) { return wholeScript(wholeAnswer(request, 200, "served")); });
    BOOST_TEST(this->await([&] {
        this->book();
        return this->requestsAt("app-1") > before;
    }));
}

BOOST_FIXTURE_TEST_CASE(callerIsToldNotToReturnBeforeTheShortestPushback, Fixture)
{
    for (const char* id : { "app-1", "app-2" })
        this->replicas.at(id)->setAnswer([](const HttpRequest&) { return pushback("3"); });
    for (int call = 0; call < 4; ++call)
        this->book();
    const std::size_t before = this->requestsAt("app-1") + this->requestsAt("app-2");
    const auto sent = Clock::now();
    const std::string received = this->answer(*this->call("POST", "/book/x"), "\r\n\r\n");
    BOOST_TEST(received.find("HTTP/1.1 503") != std::string::npos);
    BOOST_REQUIRE(received.find("Retry-After: ") != std::string::npos);
    const double seconds = std::stod(received.substr(received.find("Retry-After: ") + 13));
    BOOST_TEST(seconds > 2);
    BOOST_TEST((Clock::now() - sent < 1s));
    BOOST_TEST(this->requestsAt("app-1") + this->requestsAt("app-2") == before);
}
