// Runs a gateway with engines that crash whenever they begin to write an answer on one part of a prompt.
#include <filbertspoke/PlatformTesting>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> firstEngines { "engine-a1", "engine-b1" };
const std::string crashingPart = "dead";
// Requirement of the users: no more than three further requests with the part reach engines after the fifth crash.
constexpr std::size_t crashLimit = 5;
constexpr std::size_t requestsAfterLimit = 3;
constexpr int crashingRequests = 8;
constexpr int soundRequestsPerCrash = 6;

bool isCrashing(const HttpRequest& request)
{
    return findHeader(request.headers, "Prompt-Prefix").find(crashingPart) != std::string_view::npos;
}

int nextEvent(const HttpRequest& request)
{
    return readForwarded(request).lastEvent + 1;
}

struct Fixture : CrashScene {
    Fixture() { this->crashUnder(firstEngines, isCrashing); }

    std::string own() { return "own" + std::to_string(++this->requests); }
    std::string sendCrashingPart() { return this->sendCrashing("POST", "/chat/x", "Prompt-Prefix: common:5," + crashingPart + ":5," + this->own() + ":5\r\n"); }
    bool serveSound() { return this->serve("POST", "/chat/x", lastChunk(), "Prompt-Prefix: common:5,sound:5," + this->own() + ":5\r\n"); }

    /** \brief Sends requests with the part. After each one the crashed engines restart, and sound requests are served.
     * \returns the last answer */
    std::string crashAgainAndAgain()
    {
        std::string answer;
        for (int request = 0; request < crashingRequests; ++request) {
            answer = this->sendCrashingPart();
            this->await([this] { return this->serveSound(); });
            for (int sound = 0; sound < soundRequestsPerCrash; ++sound)
                this->serveSound();
        }
        return answer;
    }

    int requests = 0;
};

/** \brief Chains whose later engines crash; their first engines report them. */
struct LaterEngineFixture : Fixture {
    LaterEngineFixture()
    {
        for (const std::string& id : firstEngines)
            this->replicas.at(id)->setAnswer([this](const HttpRequest& request) { return this->answerAtFirst(request); });
        this->crashUnder({ "engine-a2", "engine-b2" }, [](const HttpRequest&) { return false; });
    }

    ReplicaScript answerAtFirst(const HttpRequest& request)
    {
        if (request.target.starts_with("/filbertspoke/"))
            return emptyReport();
        const std::string later = findHeader(request.headers, "Hop-Count").find(addressText(this->replicas.at("engine-a2")->address())) != std::string_view::npos ? "engine-a2" : "engine-b2";
        if (isCrashing(request) && !this->hasCrashed(later)) {
            ++this->crashes;
            this->crash(later);
        }
        if (!this->hasCrashed(later))
            return { { streamHead(request), eventChunk(1), lastChunk() }, 5ms, ReplicaScript::End::Keep };
        return { { blamingAnswer(this->replicas.at(later)->address()) }, 5ms, ReplicaScript::End::Keep };
    }
};

}

// Guards against one kind of request crashing engines one after the other.
BOOST_FIXTURE_TEST_CASE(requestsThatCrashEnginesAreRefused, Fixture)
{
    const std::string answer = this->crashAgainAndAgain();
    BOOST_TEST(this->crashes <= crashLimit + requestsAfterLimit);
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(this->serveSound());
}

// Guards against a part that crashes engines again each time that all gateways were lost.
BOOST_FIXTURE_TEST_CASE(partStaysRefusedAfterTheLossOfAllGateways, Fixture)
{
    this->crashAgainAndAgain();
    std::string answer;
    for (int loss = 0; loss < 3; ++loss) {
        this->gateway->kill();
        this->start();
        answer = this->crashAgainAndAgain();
    }
    BOOST_TEST(this->crashes <= crashLimit + requestsAfterLimit);
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(this->serveSound());
}

// Requirement of the users: at least half as many sound requests are served as at other times.
BOOST_FIXTURE_TEST_CASE(requestsThatShareTheCallerAndTheOtherPartsAreServedAtOnce, Fixture)
{
    this->crashAgainAndAgain();
    for (int request = 0; request < 20; ++request) {
        BOOST_TEST(this->serveSound());
        BOOST_TEST(this->sendCrashingPart().starts_with("HTTP/1.1 503"));
    }
}

// Guards against a crash that looks like the end of a stream: the stream has neither length nor chunks, and ends within an event.
BOOST_FIXTURE_TEST_CASE(streamThatEndsWithinItsFirstEventCountsAsACrash, Fixture)
{
    this->setLastAnswer([](const HttpRequest& request) { return ReplicaScript { { unframedHead(request), "id: 1\ndata: to" }, 5ms, ReplicaScript::End::Close }; });
    const std::string answer = this->crashAgainAndAgain();
    BOOST_TEST(this->crashes <= crashLimit + requestsAfterLimit);
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(this->serveSound());
}

// Guards against an answer without any event that is passed on as whole, since its stream has neither length nor chunks.
BOOST_FIXTURE_TEST_CASE(streamThatEndsBeforeItsFirstEventCountsAsACrash, Fixture)
{
    this->setLastAnswer([](const HttpRequest& request) { return ReplicaScript { { unframedHead(request) }, 50ms, ReplicaScript::End::Close }; });
    const std::string answer = this->crashAgainAndAgain();
    BOOST_TEST(this->crashes <= crashLimit + requestsAfterLimit);
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(this->serveSound());
}

// Guards against a crash that counts for nothing, because the request has got its first event just before.
BOOST_FIXTURE_TEST_CASE(crashAfterTheFirstEventCounts, Fixture)
{
    this->setLastAnswer([](const HttpRequest& request) { return ReplicaScript { { streamHead(request), eventChunk(nextEvent(request)) }, 5ms, ReplicaScript::End::Reset }; });
    const std::string answer = this->crashAgainAndAgain();
    BOOST_TEST(this->crashes <= crashLimit + requestsAfterLimit);
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(this->serveSound());
}

// Guards against a part that crashes the later engines of chains, whose first engines answer that the request has not run.
BOOST_FIXTURE_TEST_CASE(requestsThatCrashLaterEnginesAreRefused, LaterEngineFixture)
{
    const std::string answer = this->crashAgainAndAgain();
    BOOST_TEST(this->crashes <= crashLimit + requestsAfterLimit);
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(this->serveSound());
}
