// How often a gateway process sends one request to endpoints that lose, withhold or delay their answers.
#include <filbertspoke/PlatformTesting>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> firstEngines { "engine-a1", "engine-b1", "engine-c1" };
const std::vector<std::string> applications { "app-1", "app-2" };
const LayerRange firstLayers { 0, 4 };
const std::string endOfStream = "0\r\n\r\n";
// Longer than the gateway waits for a first event, or for a look-up, before it asks elsewhere.
constexpr Duration late = 1300ms;

ReplicaScript wholeStream(const HttpRequest& request)
{
    ReplicaScript script;
    script.pieces = { streamHead(request), eventChunk(1), lastChunk() };
    return script;
}

/** \brief A gateway before three engines for the first layers; routes allow two attempts. */
struct Fixture : GatewayScene {
    explicit Fixture(double retriesForEachRequest = 10)
    {
        this->retryRatio = retriesForEachRequest;
        this->start();
        this->replicas.emplace("engine-c1", std::make_unique<ReplicaStandIn>(this->context, ownLoopbackAddress(1), wholeStream));
        this->putEngine("engine-c1", firstLayers);
    }

    /** \brief Has every first engine treat requests for streams so. */
    void setStreams(const ReplicaStandIn::Answer& answer)
    {
        for (const std::string& id : firstEngines)
            this->replicas.at(id)->setAnswer([answer](const HttpRequest& request) { return request.target.starts_with("/filbertspoke/") ? emptyReport() : answer(request); });
    }

    std::vector<std::size_t> sendsByFirstEngine() const
    {
        std::vector<std::size_t> sends;
        sends.reserve(firstEngines.size());
        for (const std::string& id : firstEngines)
            sends.push_back(this->replicas.at(id)->requests().size());
        return sends;
    }

    /** \brief Serves streams until the gateway knows all engines and has saved up for some retries. */
    void saveUp()
    {
        // Streams that last for a while spread over all engines.
        this->setStreams([](const HttpRequest& request) {
            ReplicaScript script = wholeStream(request);
            script.pause = 50ms;
            return script;
        });
        const auto allEnginesServe = [this] {
            constexpr int together = 12;
            std::vector<std::unique_ptr<RawCaller>> callers;
            callers.reserve(together);
            for (int caller = 0; caller < together; ++caller)
                callers.push_back(this->call("POST", "/chat/x"));
            for (const auto& caller : callers)
                this->answer(*caller, endOfStream);
            return this->sendsByFirstEngine().back() > 0;
        };
        this->await(allEnginesServe);
        for (int round = 0; round < 3; ++round)
            allEnginesServe();
    }

    /** \returns at how many first engines one stream arrived */
    std::ptrdiff_t enginesOfOneStream()
    {
        const auto before = this->sendsByFirstEngine();
        this->answer(*this->call("POST", "/chat/x"), "\r\n\r\n");
        const auto after = this->sendsByFirstEngine();
        std::ptrdiff_t engines = 0;
        for (std::size_t index = 0; index < after.size(); ++index)
            engines += after[index] > before[index] ? 1 : 0;
        return engines;
    }
};

}

// A stream without an event did not count against its route's attempts, though its engine may have run it.
BOOST_FIXTURE_TEST_CASE(streamWhoseAnswerIsLostGoesToNoMoreEnginesThanItsRouteAllows, Fixture)
{
    this->saveUp();
    this->setStreams([](const HttpRequest&) { return ReplicaScript { {}, 5ms, ReplicaScript::End::Reset }; });
    BOOST_TEST(this->enginesOfOneStream() == 2);
}

BOOST_FIXTURE_TEST_CASE(silentStreamGoesToNoMoreEnginesThanItsRouteAllows, Fixture)
{
    this->saveUp();
    this->setStreams([](const HttpRequest&) { return ReplicaScript { {}, 5ms, ReplicaScript::End::Silence }; });
    BOOST_TEST(this->enginesOfOneStream() == 2);
}

// Engines that refuse a stream have not run it.
BOOST_FIXTURE_TEST_CASE(streamThatDidNotRunMayGoToMoreEnginesThanItsRouteAllows, Fixture)
{
    this->saveUp();
    this->setStreams([](const HttpRequest&) { return ReplicaScript { { fullAnswer() }, 5ms, ReplicaScript::End::Keep }; });
    BOOST_TEST(this->enginesOfOneStream() == 3);
}

namespace {

/** \brief A gateway that never earns a retry. */
struct FixtureWithoutRetries : Fixture {
    static constexpr double none = 0;

    FixtureWithoutRetries()
        : Fixture(none)
    {
    }
};

/** \returns the script with its first bytes sent late */
ReplicaScript delayed(ReplicaScript script)
{
    script.pieces.insert(script.pieces.begin(), "");
    script.pause = late;
    return script;
}

}

// A stream whose engine was slow was given up though nobody else could be asked, and its caller got a failure.
BOOST_FIXTURE_TEST_CASE(slowStreamIsWaitedForWhenItMayNotBeRepeated, FixtureWithoutRetries)
{
    this->setStreams([](const HttpRequest& request) { return delayed({ { streamHead(request) + eventChunk(1) + lastChunk() }, late }); });
    const std::string received = this->answer(*this->call("POST", "/chat/x"), endOfStream);
    BOOST_TEST(received.starts_with("HTTP/1.1 200"));
    BOOST_TEST(received.ends_with(endOfStream));
}

BOOST_FIXTURE_TEST_CASE(streamThatPausesIsWaitedForWhenItMayNotBeRepeated, FixtureWithoutRetries)
{
    constexpr Duration pause = 1600ms;
    this->setStreams([pause](const HttpRequest& request) { return ReplicaScript { { streamHead(request) + eventChunk(1), eventChunk(2) + lastChunk() }, pause }; });
    const std::string received = this->answer(*this->call("POST", "/chat/x"), endOfStream);
    BOOST_TEST(received.starts_with("HTTP/1.1 200"));
    BOOST_TEST(received.ends_with(endOfStream));
}

BOOST_FIXTURE_TEST_CASE(slowLookUpIsWaitedForWhenItMayNotBeRepeated, FixtureWithoutRetries)
{
    for (const std::string& id : applications)
        this->replicas.at(id)->setAnswer([](const HttpRequest& request) { return delayed({ { wholeAnswer(request, 200, "served") }, late }); });
    BOOST_TEST(this->answer(*this->call("GET", "/stock/x"), "served").ends_with("served"));
}

// The endpoint's own failure is worth more to the caller than the gateway's word that it failed.
BOOST_FIXTURE_TEST_CASE(failureOfAnEndpointIsPassedOnWhenItMayNotBeRepeated, FixtureWithoutRetries)
{
    for (const std::string& id : applications)
        this->replicas.at(id)->setAnswer([](const HttpRequest& request) { return ReplicaScript { { wholeAnswer(request, 500, "broken") } }; });
    BOOST_TEST(this->answer(*this->call("GET", "/stock/x"), "broken").starts_with("HTTP/1.1 500"));
}

BOOST_FIXTURE_TEST_CASE(repeatIsHandedNoMoreTimeThanTheCallerHasLeft, Fixture)
{
    this->saveUp();
    bool first = true;
    std::vector<std::chrono::milliseconds> handedOn;
    for (const std::string& id : applications) {
        this->replicas.at(id)->setAnswer([&](const HttpRequest& request) {
            handedOn.emplace_back(std::stol(std::string(findHeader(request.headers, "Deadline-Ms"))));
            if (std::exchange(first, false))
                return ReplicaScript { {}, 5ms, ReplicaScript::End::Silence };
            return ReplicaScript { { wholeAnswer(request, 200, "served") } };
        });
    }
    const auto began = std::chrono::steady_clock::now();
    this->answer(*this->call("GET", "/stock/x"), "served");
    const auto took = std::chrono::steady_clock::now() - began;
    // What the operator's rule leaves for the way.
    constexpr Duration tolerance = 500ms;
    constexpr Duration callerLimit = 4s;
    BOOST_REQUIRE(handedOn.size() == 2);
    BOOST_TEST((handedOn.front() <= callerLimit));
    // Both end together: the time between the sends, nearly all of the exchange, is gone.
    BOOST_TEST((handedOn.back() <= handedOn.front() - took + tolerance));
}
