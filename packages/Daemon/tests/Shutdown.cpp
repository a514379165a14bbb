// Runs a gateway that gets SIGTERM while a stream is in progress and callers still send requests.
#include <filbertspoke/PlatformTesting>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

const std::string endOfHead = "\r\n\r\n";
const std::string endOfStream = "0\r\n\r\n";
// Requirement of the users: a request that is sent later than this after SIGTERM and passed on must not be broken off.
constexpr auto lastTaken = 3s;
// The balancer still sends requests to the gateway at this time.
constexpr auto beforeRemoval = 1s;

/** \returns a stream that is longer than the time for which the gateway takes requests */
ReplicaScript longStream(const HttpRequest& request)
{
    if (request.target.starts_with("/filbertspoke/"))
        return emptyReport();
    ReplicaScript script;
    script.pieces.push_back(streamHead(request));
    for (int id = 1; id <= 9; ++id)
        script.pieces.push_back(eventChunk(id));
    script.pieces.push_back(lastChunk());
    script.pause = 350ms;
    return script;
}

/** \returns nothing at all */
ReplicaScript beSilent(const HttpRequest& request)
{
    return request.target.starts_with("/filbertspoke/") ? emptyReport() : ReplicaScript { {}, 5ms, ReplicaScript::End::Silence };
}

/** \brief Ends the process by SIGTERM.
 * \returns the lines of its log that hold the text */
std::vector<std::string> stopAndFind(GatewayScene& scene, const std::string& text)
{
    scene.gateway->signal(SIGTERM);
    std::vector<std::string> found;
    while (const auto line = scene.gateway->readLine()) {
        if (line->find(text) != std::string::npos)
            found.push_back(*line);
    }
    return found;
}

struct Fixture : GatewayScene {
    Fixture()
    {
        this->start();
        for (const char* id : { "engine-a1", "engine-b1" })
            this->replicas.at(id)->setAnswer(longStream);
        this->stream = this->call("POST", "/chat/x");
        BOOST_TEST_REQUIRE(this->await([this] { return !eventIds(this->stream->received()).empty(); }));
        this->gateway->signal(SIGTERM);
        this->signalledAt = Clock::now();
    }

    void awaitTimeAfterSignal(Clock::duration time)
    {
        BOOST_TEST_REQUIRE(this->await([&] { return Clock::now() - this->signalledAt > time; }));
    }

    std::unique_ptr<RawCaller> stream;
    Clock::time_point signalledAt;
};

}

// Guards against requests that were forwarded so late after SIGTERM that the gateway ended before their answer.
BOOST_FIXTURE_TEST_CASE(requestThatIsCompletedAfterTheTimeForRequestsIsRefused, Fixture)
{
    const std::string text = callText({ "POST", "/book/late", "late-request" });
    const std::size_t sentFirst = text.size() - 2;
    this->awaitTimeAfterSignal(beforeRemoval);
    RawCaller caller(this->context, this->callers, text.substr(0, sentFirst));
    this->awaitTimeAfterSignal(lastTaken);
    caller.send(text.substr(sentFirst));
    const std::string received = this->answer(caller, endOfHead);
    BOOST_TEST(received.starts_with("HTTP/1.1 503"));
    BOOST_TEST(received.find("Retry-After: ") != std::string::npos);
    BOOST_TEST(this->replicas.at("app-1")->requests().size() + this->replicas.at("app-2")->requests().size() == 0U);
    BOOST_TEST(eventIds(this->answer(*this->stream, endOfStream)) == "1 2 3 4 5 6 7 8 9 ");
}

BOOST_FIXTURE_TEST_CASE(requestThatIsSentBeforeTheBalancerRemovesTheGatewayIsServed, Fixture)
{
    this->awaitTimeAfterSignal(beforeRemoval);
    BOOST_TEST(this->answer(*this->call("POST", "/book/x"), "served").starts_with("HTTP/1.1 200"));
    BOOST_TEST(eventIds(this->answer(*this->stream, endOfStream)) == "1 2 3 4 5 6 7 8 9 ");
}

// Guards against requests that got neither an answer nor a refusal, nor a line in the log, when the time for the stop of their gateway was over.
BOOST_AUTO_TEST_CASE(requestsInProgressAtTheEndOfTheStopAreAnswered)
{
    GatewayScene scene;
    scene.stopTimeout = 1500ms;
    scene.start();
    for (auto& [id, replica] : scene.replicas)
        replica->setAnswer(beSilent);
    const auto booking = scene.call("POST", "/book/x");
    const auto generation = scene.call("POST", "/chat/x");
    BOOST_TEST_REQUIRE(scene.await([&] { return scene.replicas.at("engine-a1")->requests().size() + scene.replicas.at("engine-b1")->requests().size() > 0; }));
    BOOST_TEST_REQUIRE(scene.await([&] { return scene.replicas.at("app-1")->requests().size() + scene.replicas.at("app-2")->requests().size() > 0; }));
    const auto ended = stopAndFind(scene, "request-ended");
    BOOST_TEST(ended.size() == 2U);
    BOOST_TEST(scene.answer(*booking, endOfHead).starts_with("HTTP/1.1 502"));
    BOOST_TEST(scene.answer(*generation, endOfHead).starts_with("HTTP/1.1 502"));
}

// Guards against streams that were broken off at the end of a stop without a line in the log.
BOOST_AUTO_TEST_CASE(streamThatOutlastsTheStopIsLogged)
{
    GatewayScene scene;
    scene.stopTimeout = 1500ms;
    scene.start();
    for (const char* id : { "engine-a1", "engine-b1" })
        scene.replicas.at(id)->setAnswer(longStream);
    const auto stream = scene.call("POST", "/chat/x");
    BOOST_TEST_REQUIRE(scene.await([&] { return !eventIds(stream->received()).empty(); }));
    const auto ended = stopAndFind(scene, "request-ended");
    BOOST_TEST_REQUIRE(ended.size() == 1U);
    BOOST_TEST(ended.front().find("\"stopped\"") != std::string::npos, ended.front());
    BOOST_TEST(scene.await([&] { return stream->closed(); }));
    BOOST_TEST(!stream->received().ends_with(endOfStream));
}

// Guards against requests in the queue of connections that are reset when the gateway stops listening.
BOOST_FIXTURE_TEST_CASE(requestsInTheQueueOfConnectionsAreRefusedWhenTheGatewayStopsListening, Fixture)
{
    constexpr std::size_t queued = 8;
    this->awaitTimeAfterSignal(lastTaken - 300ms);
    this->gateway->signal(SIGSTOP);
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (std::size_t call = 0; call < queued; ++call)
        callers.push_back(this->call("POST", "/book/x"));
    this->awaitTimeAfterSignal(lastTaken + 300ms);
    this->gateway->signal(SIGCONT);
    for (const auto& caller : callers)
        BOOST_TEST(this->answer(*caller, endOfHead).starts_with("HTTP/1.1 503"));
}
