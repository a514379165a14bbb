// Completions over real processes while stages, links and daemons fail. Properties: every layer
// exactly once for each token and in order; the whole answer to the caller's own request.
#include <filbertspoke/ClusterTesting>

#include <boost/json/object.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

using namespace filbertspoke;

namespace {

constexpr std::uint32_t longCompletion = 200;
constexpr std::size_t midStream = 40; ///< steps that a stage has run by then

/** \brief A cluster with a long completion in progress through daemon 0. */
struct MidStream {
    MidStream()
    {
        this->completion = this->cluster.complete(0, longCompletion);
        BOOST_TEST_REQUIRE(this->cluster.await([this] { return this->stepsOf(this->cluster.busiestReplica(1)) >= midStream; }));
        this->replica = this->cluster.busiestReplica(1);
    }

    std::size_t stepsOf(std::uint32_t stageReplica) { return this->cluster.runs(this->cluster.engine(1, stageReplica).address).size(); }

    void checkWhole()
    {
        BOOST_TEST_REQUIRE(this->cluster.await([this] { return this->completion->done(); }));
        checkEqual(*this->completion, this->cluster.reference(longCompletion));
    }

    static void checkEqual(const PendingExchange& exchange, const std::vector<std::string>& expected)
    {
        BOOST_TEST(exchange.status() == 200U);
        const StreamedCompletion streamed = readStream(exchange.body());
        BOOST_TEST(streamed.whole, exchange.body());
        BOOST_TEST(streamed.indexed);
        BOOST_TEST(streamed.tokens == expected, boost::test_tools::per_element());
    }

    Cluster cluster;
    std::shared_ptr<PendingExchange> completion;
    std::uint32_t replica = 0; ///< of the middle stage, in use by the completion
};

/** \brief As MidStream, with the middle stage's engines behind relays. */
struct MidStreamOverRelays {
    MidStreamOverRelays()
    {
        for (std::uint32_t replica = 0; replica < 2; ++replica)
            this->cluster.relay("engine-1-" + std::to_string(replica));
        this->cluster.listHosts();
        BOOST_TEST_REQUIRE(this->cluster.await([this] { return this->behindRelays(); }));
        this->completion = this->cluster.complete(0, longCompletion);
        BOOST_TEST_REQUIRE(this->cluster.await([this] { return this->runs(this->cluster.busiestReplica(1)) >= midStream; }));
        this->replica = this->cluster.busiestReplica(1);
    }

    bool behindRelays()
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

    void breakLink(const std::string& mode)
    {
        this->cluster.control(this->cluster.relayOf("engine-1-" + std::to_string(this->replica)).control, { { "mode", mode } });
        BOOST_TEST_REQUIRE(this->cluster.await([this] { return this->completion->done(); }));
        MidStream::checkEqual(*this->completion, this->cluster.reference(longCompletion));
    }

    Cluster cluster;
    std::shared_ptr<PendingExchange> completion;
    std::uint32_t replica = 0;
};

}

BOOST_FIXTURE_TEST_CASE(killedEngineLosesNoTokenAndRepeatsNone, MidStream)
{
    this->cluster.engine(1, this->replica).process.kill();

    this->checkWhole();
}

// The engine answers the step that it had when it was stopped long after the run has moved on.
BOOST_FIXTURE_TEST_CASE(stoppedEngineThatResumesDisturbsNothing, MidStream)
{
    this->cluster.engine(1, this->replica).process.signal(SIGSTOP);
    this->checkWhole();
    this->cluster.engine(1, this->replica).process.signal(SIGCONT);

    const auto next = this->cluster.complete(0, 20, "wheel truing");
    BOOST_TEST_REQUIRE(this->cluster.await([&] { return next->done(); }));
    checkEqual(*next, this->cluster.reference(20, "wheel truing"));
}

BOOST_FIXTURE_TEST_CASE(cutLinkLosesNoTokenAndRepeatsNone, MidStreamOverRelays)
{
    this->breakLink("cut");
}

BOOST_FIXTURE_TEST_CASE(blackHoledLinkLosesNoTokenAndRepeatsNone, MidStreamOverRelays)
{
    this->breakLink("black-hole");
}

// Nothing can run meanwhile: what the caller got is a part of its own answer, and the end tells the truth.
BOOST_FIXTURE_TEST_CASE(stageWithoutAnyEngineEndsTruthfullyAndComesBack, MidStream)
{
    for (const std::uint32_t stageReplica : { 0, 1 })
        this->cluster.engine(1, stageReplica).process.signal(SIGSTOP);
    BOOST_TEST_REQUIRE(this->cluster.await([this] { return this->completion->done(); }));
    const std::vector<std::string> whole = this->cluster.reference(longCompletion);
    const StreamedCompletion streamed = readStream(this->completion->body());
    BOOST_TEST(!streamed.whole);
    BOOST_TEST(streamed.indexed);
    BOOST_TEST_REQUIRE(streamed.tokens.size() < whole.size());
    BOOST_TEST(std::equal(streamed.tokens.begin(), streamed.tokens.end(), whole.begin()));

    for (const std::uint32_t stageReplica : { 0, 1 })
        this->cluster.engine(1, stageReplica).process.signal(SIGCONT);
    BOOST_TEST_REQUIRE(this->cluster.await([this] { return this->cluster.ready(0); }));
    const auto resumed = this->cluster.complete(0, longCompletion, Cluster::defaultPrompt, streamed.tokens);
    BOOST_TEST_REQUIRE(this->cluster.await([&] { return resumed->done(); }));
    const StreamedCompletion rest = readStream(resumed->body(), static_cast<std::uint32_t>(streamed.tokens.size()));
    BOOST_TEST(rest.whole, resumed->body());
    BOOST_TEST(rest.tokens == std::vector<std::string>(whole.begin() + static_cast<std::ptrdiff_t>(streamed.tokens.size()), whole.end()), boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(lostCacheIsFilledAgain, MidStream)
{
    this->cluster.control(this->cluster.engine(1, this->replica).address, { { "dropCaches", true } });

    this->checkWhole();
}

BOOST_FIXTURE_TEST_CASE(engineThatNamesOtherLayersIsNotBelieved, MidStream)
{
    this->cluster.control(this->cluster.engine(1, this->replica).address, { { "lie", "echo" } });

    this->checkWhole();
}

BOOST_FIXTURE_TEST_CASE(killedDaemonsStreamResumesThroughAnother, MidStream)
{
    this->cluster.daemon(0).process.kill();
    BOOST_TEST_REQUIRE(this->cluster.await([this] { return this->completion->done(); }));
    const std::vector<std::string> whole = this->cluster.reference(longCompletion);
    const std::vector<std::string> received(whole.begin(), whole.begin() + 30);
    const auto resumed = this->cluster.complete(1, longCompletion, Cluster::defaultPrompt, received);

    BOOST_TEST_REQUIRE(this->cluster.await([&] { return resumed->done(); }));
    const StreamedCompletion rest = readStream(resumed->body(), 30);
    BOOST_TEST(rest.whole);
    BOOST_TEST(rest.indexed);
    BOOST_TEST(rest.tokens == std::vector<std::string>(whole.begin() + 30, whole.end()), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(answersThatCrossReachTheirOwnCallers)
{
    Cluster cluster;
    std::vector<std::shared_ptr<PendingExchange>> completions;
    const auto promptOf = [](std::size_t index) { return "bench " + std::to_string(index) + " asks"; };
    for (std::size_t index = 0; index < 24; ++index)
        completions.push_back(cluster.complete(index % 2, 20, promptOf(index)));
    cluster.engine(0, 0).process.kill();

    for (std::size_t index = 0; index < completions.size(); ++index) {
        BOOST_TEST_REQUIRE(cluster.await([&] { return completions[index]->done(); }));
        MidStream::checkEqual(*completions[index], cluster.reference(20, promptOf(index)));
    }
}
