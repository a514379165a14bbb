// Runs completions through real processes while stages, links and daemons fail. Checks that every token passes each layer exactly once and
// in order, and that each caller gets the complete answer to its own request.
#include <filbertspoke/ClusterTesting>

#include <boost/json/object.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

using namespace filbertspoke;

namespace {

constexpr std::uint32_t completionTokens = 200;
constexpr std::size_t stepsBeforeFailure = 40; ///< steps run by the middle stage before a failure is injected
constexpr std::chrono::seconds holdUp { 1 }; ///< longer than a daemon waits for the answer to a step of an engine that it knows

/** \brief A cluster in which daemon 0 serves a long completion. */
struct CompletionInProgress {
    explicit CompletionInProgress(const ClusterOptions& options = {})
        : cluster(options)
    {
        this->completion = this->cluster.complete(0, completionTokens);
        BOOST_TEST_REQUIRE(this->cluster.await([this] { return this->stepCount(this->cluster.busiestReplica(1)) >= stepsBeforeFailure; }));
        this->replica = this->cluster.busiestReplica(1);
    }

    std::size_t stepCount(std::uint32_t stageReplica) { return this->cluster.runs(this->cluster.engine(1, stageReplica).address).size(); }

    void checkCompletes()
    {
        BOOST_TEST_REQUIRE(this->cluster.await([this] { return this->completion->done(); }));
        checkCompletion(*this->completion, this->cluster.reference(completionTokens));
    }

    static void checkCompletion(const PendingExchange& exchange, const std::vector<std::string>& expected)
    {
        BOOST_TEST(exchange.status() == 200U);
        const StreamedCompletion streamed = readStream(exchange.body());
        BOOST_TEST(streamed.whole, exchange.body());
        BOOST_TEST(streamed.indexed);
        BOOST_TEST(streamed.tokens == expected, boost::test_tools::per_element());
    }

    Cluster cluster;
    std::shared_ptr<PendingExchange> completion;
    std::uint32_t replica = 0; ///< replica of the middle stage that serves the completion
};

/** \brief Like CompletionInProgress, without a spare engine for any stage. */
struct CompletionWithoutSpares : CompletionInProgress {
    CompletionWithoutSpares()
        : CompletionInProgress(ClusterOptions { .replicas = 1 })
    {
    }
};

/** \brief Like CompletionInProgress, with the engines of the middle stage reached through relays. */
struct RelayedCompletionInProgress {
    RelayedCompletionInProgress()
    {
        for (std::uint32_t replica = 0; replica < 2; ++replica)
            this->cluster.relay("engine-1-" + std::to_string(replica));
        this->cluster.listHosts();
        BOOST_TEST_REQUIRE(this->cluster.await([this] { return this->usesRelays(); }));
        this->completion = this->cluster.complete(0, completionTokens);
        BOOST_TEST_REQUIRE(this->cluster.await([this] { return this->runs(this->cluster.busiestReplica(1)) >= stepsBeforeFailure; }));
        this->replica = this->cluster.busiestReplica(1);
    }

    bool usesRelays()
    {
        const boost::json::value status = this->cluster.status(0);
        for (const boost::json::value& endpoint : status.at("endpoints").as_array()) {
            for (const std::uint32_t direct : { 0, 1 }) {
                const HttpAddress& address = this->cluster.engine(1, direct).address;
                if (endpoint.at("address").as_string() == address.address + ":" + std::to_string(address.port))
                    return false;
            }
        }
        return this->cluster.ready(0);
    }

    std::size_t runs(std::uint32_t stageReplica) { return this->cluster.runs(this->cluster.engine(1, stageReplica).address).size(); }

    void failLink(const std::string& mode)
    {
        this->cluster.control(this->cluster.relayOf("engine-1-" + std::to_string(this->replica)).control, { { "mode", mode } });
        BOOST_TEST_REQUIRE(this->cluster.await([this] { return this->completion->done(); }));
        CompletionInProgress::checkCompletion(*this->completion, this->cluster.reference(completionTokens));
    }

    Cluster cluster;
    std::shared_ptr<PendingExchange> completion;
    std::uint32_t replica = 0;
};

}

BOOST_FIXTURE_TEST_CASE(killedEngineLosesAndRepeatsNoToken, CompletionInProgress)
{
    this->cluster.engine(1, this->replica).process.kill();

    this->checkCompletes();
}

// The engine answers the step that it had when it was paused, long after the completion has continued at another engine.
BOOST_FIXTURE_TEST_CASE(resumedEngineDoesNotAffectCompletions, CompletionInProgress)
{
    this->cluster.engine(1, this->replica).process.signal(SIGSTOP);
    this->checkCompletes();
    this->cluster.engine(1, this->replica).process.signal(SIGCONT);

    const auto next = this->cluster.complete(0, 20, "wheel truing");
    BOOST_TEST_REQUIRE(this->cluster.await([&] { return next->done(); }));
    checkCompletion(*next, this->cluster.reference(20, "wheel truing"));
}

BOOST_FIXTURE_TEST_CASE(cutLinkLosesAndRepeatsNoToken, RelayedCompletionInProgress)
{
    this->failLink("cut");
}

BOOST_FIXTURE_TEST_CASE(blackHoledLinkLosesAndRepeatsNoToken, RelayedCompletionInProgress)
{
    this->failLink("black-hole");
}

// Guards against streams that end because their daemon was held up and had not read the answers of its engines.
BOOST_FIXTURE_TEST_CASE(completionGoesOnWhenTheDaemonWasHeldUp, CompletionWithoutSpares)
{
    this->cluster.daemon(0).process.signal(SIGSTOP);
    const auto heldUpUntil = std::chrono::steady_clock::now() + holdUp;
    this->cluster.await([&] { return std::chrono::steady_clock::now() >= heldUpUntil; });
    this->cluster.daemon(0).process.signal(SIGCONT);

    this->checkCompletes();
}

// No engine of the middle stage runs, so the stream ends early: it must contain a prefix of the expected tokens and be marked incomplete.
BOOST_FIXTURE_TEST_CASE(completionWithoutAnyEngineForAStageIsIncompleteAndCanBeResumed, CompletionInProgress)
{
    for (const std::uint32_t stageReplica : { 0, 1 })
        this->cluster.engine(1, stageReplica).process.signal(SIGSTOP);
    BOOST_TEST_REQUIRE(this->cluster.await([this] { return this->completion->done(); }));
    const std::vector<std::string> whole = this->cluster.reference(completionTokens);
    const StreamedCompletion streamed = readStream(this->completion->body());
    BOOST_TEST(!streamed.whole);
    BOOST_TEST(streamed.indexed);
    BOOST_TEST_REQUIRE(streamed.tokens.size() < whole.size());
    BOOST_TEST(std::equal(streamed.tokens.begin(), streamed.tokens.end(), whole.begin()));

    for (const std::uint32_t stageReplica : { 0, 1 })
        this->cluster.engine(1, stageReplica).process.signal(SIGCONT);
    BOOST_TEST_REQUIRE(this->cluster.await([this] { return this->cluster.ready(0); }));
    const auto resumed = this->cluster.complete(0, completionTokens, Cluster::defaultPrompt, streamed.tokens);
    BOOST_TEST_REQUIRE(this->cluster.await([&] { return resumed->done(); }));
    const StreamedCompletion rest = readStream(resumed->body(), static_cast<std::uint32_t>(streamed.tokens.size()));
    BOOST_TEST(rest.whole, resumed->body());
    BOOST_TEST(rest.tokens == std::vector<std::string>(whole.begin() + static_cast<std::ptrdiff_t>(streamed.tokens.size()), whole.end()), boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(lostCacheIsRebuilt, CompletionInProgress)
{
    this->cluster.control(this->cluster.engine(1, this->replica).address, { { "dropCaches", true } });

    this->checkCompletes();
}

BOOST_FIXTURE_TEST_CASE(receiptForOtherLayersIsRejected, CompletionInProgress)
{
    this->cluster.control(this->cluster.engine(1, this->replica).address, { { "lie", "echo" } });

    this->checkCompletes();
}

BOOST_FIXTURE_TEST_CASE(streamOfAKilledDaemonResumesThroughAnother, CompletionInProgress)
{
    this->cluster.daemon(0).process.kill();
    BOOST_TEST_REQUIRE(this->cluster.await([this] { return this->completion->done(); }));
    const std::vector<std::string> whole = this->cluster.reference(completionTokens);
    const std::vector<std::string> received(whole.begin(), whole.begin() + 30);
    const auto resumed = this->cluster.complete(1, completionTokens, Cluster::defaultPrompt, received);

    BOOST_TEST_REQUIRE(this->cluster.await([&] { return resumed->done(); }));
    const StreamedCompletion rest = readStream(resumed->body(), 30);
    BOOST_TEST(rest.whole);
    BOOST_TEST(rest.indexed);
    BOOST_TEST(rest.tokens == std::vector<std::string>(whole.begin() + 30, whole.end()), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(concurrentAnswersReachTheirOwnCallers)
{
    Cluster cluster;
    std::vector<std::shared_ptr<PendingExchange>> completions;
    const auto promptOf = [](std::size_t index) { return "bench " + std::to_string(index) + " asks"; };
    for (std::size_t index = 0; index < 24; ++index)
        completions.push_back(cluster.complete(index % 2, 20, promptOf(index)));
    cluster.engine(0, 0).process.kill();

    for (std::size_t index = 0; index < completions.size(); ++index) {
        BOOST_TEST_REQUIRE(cluster.await([&] { return completions[index]->done(); }));
        CompletionInProgress::checkCompletion(*completions[index], cluster.reference(20, promptOf(index)));
    }
}
