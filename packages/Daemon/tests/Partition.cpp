// Partitions daemons from the log, truncates the log and lets it reject appends. Checks that a booking runs at most once, that a booking
// reported as not executed has not run, and that the configuration never reverts to an earlier one.
#include <filbertspoke/ClusterTesting>

#include <boost/json/object.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

using namespace filbertspoke;

namespace {

const std::string body = "two hubs";

/** \brief Two daemons, each connected to the log through a relay of its own. */
struct PartitionedDaemons : Cluster {
    PartitionedDaemons()
        : Cluster({ .stages = 2, .replicas = 1, .relayLog = true })
    {
    }

    void setLogLink(std::uint32_t daemon, const std::string& mode) { this->control(this->logRelay(daemon).control, { { "mode", mode } }); }

    std::shared_ptr<PendingExchange> book(std::uint32_t daemon, const std::string& key)
    {
        const auto exchange = this->call(daemon, "POST", "/bookings", body, key);
        BOOST_TEST_REQUIRE(this->await([&] { return exchange->done(); }));
        const std::size_t runs = this->runsWithBody(body);
        BOOST_TEST(runs <= 1U);
        if (exchange->field("ran") == "no")
            BOOST_TEST(runs == 0U, exchange->body());
        return exchange;
    }

    std::uint64_t revision(std::uint32_t daemon)
    {
        const boost::json::value state = this->status(daemon);
        const auto* value = state.is_object() ? state.as_object().if_contains("configurationRevision") : nullptr;
        return value != nullptr && value->is_number() ? value->to_number<std::uint64_t>() : 0;
    }

    void truncate(const std::string& stream)
    {
        this->control(this->logAddress(), { { "truncateBefore", { { "stream", stream }, { "offset", 1'000'000 } } } });
    }

    std::string key = newKey();
};

}

BOOST_FIXTURE_TEST_CASE(daemonWithoutTheLogServesRequestsThatNeedNoClaim, PartitionedDaemons)
{
    this->setLogLink(0, "black-hole");
    const auto completion = this->complete(0, 10);
    const auto lookUp = this->call(0, "GET", "/stock/hub", {});
    BOOST_TEST_REQUIRE(this->await([&] { return completion->done() && lookUp->done(); }));

    BOOST_TEST(readStream(completion->body()).tokens == this->reference(10), boost::test_tools::per_element());
    BOOST_TEST(lookUp->status() == 200U);
    BOOST_TEST(this->book(0, {})->status() == 201U);
}

BOOST_FIXTURE_TEST_CASE(keyRefusedByAPartitionedDaemonRunsOnceThroughAnother, PartitionedDaemons)
{
    this->setLogLink(0, "black-hole");
    BOOST_TEST(this->book(0, this->key)->status() != 201U);
    const auto elsewhere = this->book(1, this->key);
    BOOST_TEST(elsewhere->status() == 201U, elsewhere->body());
    this->setLogLink(0, "forward");

    // The daemon may report the log as unavailable for a while after the link is restored. Then it reads the outcome of the other daemon.
    std::shared_ptr<PendingExchange> again;
    BOOST_TEST_REQUIRE(this->await([&] {
        again = this->book(0, this->key);
        return again->field("code") != "platform-unavailable";
    }));
    BOOST_TEST(again->status() == 201U, again->body());
    BOOST_TEST(again->body() == elsewhere->body());
}

// The claim is held in the interrupted link. It reaches the log after another daemon's claim, when the link is restored.
BOOST_FIXTURE_TEST_CASE(delayedClaimRunsNothing, PartitionedDaemons)
{
    this->setLogLink(0, "black-hole");
    const auto first = this->call(0, "POST", "/bookings", body, this->key);
    BOOST_TEST_REQUIRE(this->await([this] { return this->status(0).at("requestsInProgress").to_number<int>() > 0; }));
    const auto second = this->book(1, this->key);
    this->setLogLink(0, "forward");
    BOOST_TEST_REQUIRE(this->await([&] { return first->done(); }));

    BOOST_TEST(second->status() == 201U, second->body());
    BOOST_TEST(this->runsWithBody(body) == 1U);
}

BOOST_FIXTURE_TEST_CASE(generatedKeyIsResolvedThroughTheDaemonThatGeneratedIt, PartitionedDaemons)
{
    const auto first = this->book(0, {});
    const auto retry = this->book(1, first->header("Idempotency-Key"));

    BOOST_TEST(first->status() == 201U, first->body());
    BOOST_TEST(retry->status() == 201U, retry->body());
    BOOST_TEST(retry->body() == first->body());
}

BOOST_FIXTURE_TEST_CASE(generatedKeyOfAKilledDaemonHasUnknownOutcome, PartitionedDaemons)
{
    const auto first = this->book(0, {});
    this->daemon(0).process.kill();
    const auto retry = this->book(1, first->header("Idempotency-Key"));

    BOOST_TEST(retry->field("ran") == "unknown", retry->body());
    BOOST_TEST(this->runsWithBody(body) == 1U);
}

BOOST_FIXTURE_TEST_CASE(keyTruncatedFromTheLogDoesNotRunAgain, PartitionedDaemons)
{
    BOOST_TEST(this->book(0, this->key)->status() == 201U);
    this->truncate("actions");
    this->restartDaemon(1);
    const auto retry = this->book(1, this->key);

    BOOST_TEST(retry->status() != 201U, retry->body());
    BOOST_TEST(this->runsWithBody(body) == 1U);
}

BOOST_FIXTURE_TEST_CASE(keyedBookingDoesNotRunWhenTheLogRejectsAppends, PartitionedDaemons)
{
    this->control(this->logAddress(), { { "rejectAppends", true } });
    const auto first = this->call(0, "POST", "/bookings", body, this->key, true);
    BOOST_TEST_REQUIRE(this->await([&] { return first->done(); }));
    const auto retry = this->book(1, this->key);

    BOOST_TEST(first->field("ran") == "no", first->body());
    BOOST_TEST(retry->field("ran") == "unknown", retry->body());
    BOOST_TEST(this->runsWithBody(body) == 0U);
}

BOOST_FIXTURE_TEST_CASE(configurationTruncatedFromTheLogStaysInForce, PartitionedDaemons)
{
    BOOST_TEST_REQUIRE(this->startApproval("selam").wait() == 0);
    BOOST_TEST_REQUIRE(this->await([this] { return this->revision(0) > 0 && this->revision(0) == this->revision(1); }));
    const std::uint64_t approved = this->revision(0);
    this->truncate("configuration");
    this->restartDaemon(1);

    BOOST_TEST(this->await([&] { return this->revision(1) == approved; }));
    BOOST_TEST(this->revision(0) == approved);
}
