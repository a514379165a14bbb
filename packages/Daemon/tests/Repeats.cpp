// Checks how often a gateway process sends one request to endpoints that reset connections, never answer or answer late.
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
const std::vector<std::string> serviceReplicas { "app-1", "app-2" };
const LayerRange firstLayers { 0, 4 };
const std::string endOfStream = "0\r\n\r\n";
// Longer than the gateway waits for the first event of a stream, or for a look-up, before it retries at another endpoint.
constexpr Duration slowResponseDelay = 1300ms;

ReplicaScript wholeStream(const HttpRequest& request)
{
    ReplicaScript script;
    script.pieces = { streamHead(request), eventChunk(1), lastChunk() };
    return script;
}

/** \brief A gateway with three engines that hold the first layers; routes allow two attempts. */
struct Fixture : GatewayScene {
    explicit Fixture(double retriesPerRequest = 10)
    {
        this->retryRatio = retriesPerRequest;
        this->start();
        this->replicas.emplace("engine-c1", std::make_unique<ReplicaStandIn>(this->context, ownLoopbackAddress(1), wholeStream));
        this->putEngine("engine-c1", firstLayers);
    }

    /** \brief Sets how every first engine answers requests for streams; requests for reports still get an empty report. */
    void setStreams(const ReplicaStandIn::Answer& answer)
    {
        for (const std::string& id : firstEngines)
            this->replicas.at(id)->setAnswer([answer](const HttpRequest& request) { return request.target.starts_with("/filbertspoke/") ? emptyReport() : answer(request); });
    }

    std::vector<std::size_t> requestsByFirstEngine() const
    {
        std::vector<std::size_t> requests;
        requests.reserve(firstEngines.size());
        for (const std::string& id : firstEngines)
            requests.push_back(this->replicas.at(id)->requests().size());
        return requests;
    }

    /** \brief Sends streams until the gateway uses all first engines and its retry budget allows several retries. */
    void fillRetryBudget()
    {
        // Streams that stay open for a while are distributed over all engines.
        this->setStreams([](const HttpRequest& request) {
            ReplicaScript script = wholeStream(request);
            script.pause = 50ms;
            return script;
        });
        const auto allEnginesServe = [this] {
            constexpr int concurrentStreams = 12;
            std::vector<std::unique_ptr<RawCaller>> callers;
            callers.reserve(concurrentStreams);
            for (int caller = 0; caller < concurrentStreams; ++caller)
                callers.push_back(this->call("POST", "/chat/x"));
            for (const auto& caller : callers)
                this->answer(*caller, endOfStream);
            return this->requestsByFirstEngine().back() > 0;
        };
        this->await(allEnginesServe);
        for (int round = 0; round < 3; ++round)
            allEnginesServe();
    }

    /** \returns the number of first engines that received a request for one stream */
    std::ptrdiff_t enginesReachedByOneStream()
    {
        const auto before = this->requestsByFirstEngine();
        this->answer(*this->call("POST", "/chat/x"), "\r\n\r\n");
        const auto after = this->requestsByFirstEngine();
        std::ptrdiff_t engines = 0;
        for (std::size_t index = 0; index < after.size(); ++index)
            engines += after[index] > before[index] ? 1 : 0;
        return engines;
    }
};

}

// Guards against streams that fail before the first event and are not counted as an attempt, although their engine may have run them.
BOOST_FIXTURE_TEST_CASE(streamWithLostAnswerRespectsTheAttemptLimit, Fixture)
{
    this->fillRetryBudget();
    this->setStreams([](const HttpRequest&) { return ReplicaScript { {}, 5ms, ReplicaScript::End::Reset }; });
    BOOST_TEST(this->enginesReachedByOneStream() == 2);
}

BOOST_FIXTURE_TEST_CASE(stalledStreamRespectsTheAttemptLimit, Fixture)
{
    this->fillRetryBudget();
    this->setStreams([](const HttpRequest&) { return ReplicaScript { {}, 5ms, ReplicaScript::End::Silence }; });
    BOOST_TEST(this->enginesReachedByOneStream() == 2);
}

// An engine that refuses a stream has not run it, so the refusal does not count as an attempt.
BOOST_FIXTURE_TEST_CASE(refusedStreamMayExceedTheAttemptLimit, Fixture)
{
    this->fillRetryBudget();
    this->setStreams([](const HttpRequest&) { return ReplicaScript { { fullAnswer() }, 5ms, ReplicaScript::End::Keep }; });
    BOOST_TEST(this->enginesReachedByOneStream() == 3);
}

namespace {

/** \brief A gateway whose retry budget is always empty. */
struct NoRetryBudgetFixture : Fixture {
    static constexpr double none = 0;

    NoRetryBudgetFixture()
        : Fixture(none)
    {
    }
};

/** \returns \a script with its first bytes delayed by slowResponseDelay */
ReplicaScript delayed(ReplicaScript script)
{
    script.pieces.insert(script.pieces.begin(), "");
    script.pause = slowResponseDelay;
    return script;
}

}

// Guards against a gateway that abandons a slow stream although no retry is allowed, so that the caller gets an error instead of the
// stream.
BOOST_FIXTURE_TEST_CASE(slowStreamIsAwaitedWithoutRetryBudget, NoRetryBudgetFixture)
{
    this->setStreams([](const HttpRequest& request) { return delayed({ { streamHead(request) + eventChunk(1) + lastChunk() }, slowResponseDelay }); });
    const std::string received = this->answer(*this->call("POST", "/chat/x"), endOfStream);
    BOOST_TEST(received.starts_with("HTTP/1.1 200"));
    BOOST_TEST(received.ends_with(endOfStream));
}

BOOST_FIXTURE_TEST_CASE(pausedStreamIsAwaitedWithoutRetryBudget, NoRetryBudgetFixture)
{
    constexpr Duration pause = 1600ms;
    this->setStreams([pause](const HttpRequest& request) { return ReplicaScript { { streamHead(request) + eventChunk(1), eventChunk(2) + lastChunk() }, pause }; });
    const std::string received = this->answer(*this->call("POST", "/chat/x"), endOfStream);
    BOOST_TEST(received.starts_with("HTTP/1.1 200"));
    BOOST_TEST(received.ends_with(endOfStream));
}

BOOST_FIXTURE_TEST_CASE(slowLookUpIsAwaitedWithoutRetryBudget, NoRetryBudgetFixture)
{
    for (const std::string& id : serviceReplicas)
        this->replicas.at(id)->setAnswer([](const HttpRequest& request) { return delayed({ { wholeAnswer(request, 200, "served") }, slowResponseDelay }); });
    BOOST_TEST(this->answer(*this->call("GET", "/stock/x"), "served").ends_with("served"));
}

// The endpoint's error response tells the caller more than an error response generated by the gateway.
BOOST_FIXTURE_TEST_CASE(endpointFailureIsForwardedWithoutRetryBudget, NoRetryBudgetFixture)
{
    for (const std::string& id : serviceReplicas)
        this->replicas.at(id)->setAnswer([](const HttpRequest& request) { return ReplicaScript { { wholeAnswer(request, 500, "broken") } }; });
    BOOST_TEST(this->answer(*this->call("GET", "/stock/x"), "broken").starts_with("HTTP/1.1 500"));
}

BOOST_FIXTURE_TEST_CASE(retryIsForwardedWithTheRemainingDeadline, Fixture)
{
    this->fillRetryBudget();
    bool first = true;
    std::vector<std::chrono::milliseconds> forwardedDeadlines;
    for (const std::string& id : serviceReplicas) {
        this->replicas.at(id)->setAnswer([&](const HttpRequest& request) {
            forwardedDeadlines.emplace_back(std::stol(std::string(findHeader(request.headers, "Deadline-Ms"))));
            if (std::exchange(first, false))
                return ReplicaScript { {}, 5ms, ReplicaScript::End::Silence };
            return ReplicaScript { { wholeAnswer(request, 200, "served") } };
        });
    }
    const auto began = std::chrono::steady_clock::now();
    this->answer(*this->call("GET", "/stock/x"), "served");
    const auto elapsed = std::chrono::steady_clock::now() - began;
    // Time that the operators' rule allows for the transmission.
    constexpr Duration tolerance = 500ms;
    constexpr Duration callerLimit = 4s;
    BOOST_REQUIRE(forwardedDeadlines.size() == 2);
    BOOST_TEST((forwardedDeadlines.front() <= callerLimit));
    // Both deadlines denote the same instant: the second is shorter by the time between the two attempts, which is nearly all of the elapsed
    // time.
    BOOST_TEST((forwardedDeadlines.back() <= forwardedDeadlines.front() - elapsed + tolerance));
}
