// Bookings over real processes while services, daemons and the log fail; the service counts what
// ran. Properties: a booking runs at most once; a request refused as not run did not run.
#include <filbertspoke/ClusterTesting>

#include <boost/json/object.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <memory>
#include <string>

using namespace filbertspoke;

namespace {

const std::string body = "two hubs";

/** \brief A cluster without engines' work: bookings only. */
struct Bookings : Cluster {
    std::shared_ptr<PendingExchange> book(std::uint32_t daemon, const std::string& key) { return this->call(daemon, "POST", "/bookings", body, key); }

    void awaitDone(const PendingExchange& exchange)
    {
        BOOST_TEST_REQUIRE(this->await([&] { return exchange.done(); }));
    }

    /** \brief Checks that the answer agrees with what the service counted. */
    void checkTruthful(const PendingExchange& exchange)
    {
        const std::size_t runs = this->runsWithBody(body);
        BOOST_TEST(runs <= 1U);
        if (exchange.status() == 201)
            BOOST_TEST(runs == 1U);
        if (exchange.field("ran") == "no")
            BOOST_TEST(runs == 0U);
    }

    std::string key = newKey();
};

}

BOOST_FIXTURE_TEST_CASE(bookingRunsOnceAndARetryGetsItsAnswer, Bookings)
{
    const auto first = this->book(0, this->key);
    this->awaitDone(*first);
    const auto retry = this->book(1, this->key);
    this->awaitDone(*retry);

    BOOST_TEST(first->status() == 201U, first->body());
    BOOST_TEST(retry->status() == 201U, retry->body());
    BOOST_TEST(retry->body() == first->body());
    BOOST_TEST(this->runsWithBody(body) == 1U);
}

BOOST_FIXTURE_TEST_CASE(killedDaemonsBookingDoesNotRunAgainThroughAnother, Bookings)
{
    this->control(this->service(0).address, { { "delayMs", 2000 } });
    const auto first = this->book(0, this->key);
    BOOST_TEST_REQUIRE(this->await([this] { return this->runsWithBody(body) == 1; }));
    this->daemon(0).process.kill();
    const auto retry = this->book(1, this->key);
    this->awaitDone(*retry);

    BOOST_TEST(retry->field("ran") == "unknown", retry->body());
    BOOST_TEST(this->runsWithBody(body) == 1U);
}

BOOST_FIXTURE_TEST_CASE(restartedDaemonDoesNotRepeatItsBooking, Bookings)
{
    this->control(this->service(0).address, { { "delayMs", 2000 } });
    const auto first = this->book(0, this->key);
    BOOST_TEST_REQUIRE(this->await([this] { return this->runsWithBody(body) == 1; }));
    this->restartDaemon(0);
    const auto retry = this->book(0, this->key);
    this->awaitDone(*retry);

    BOOST_TEST(retry->field("ran") == "unknown", retry->body());
    BOOST_TEST(this->runsWithBody(body) == 1U);
}

BOOST_FIXTURE_TEST_CASE(bookingWhoseAnswerIsLostIsUnknownAndNotRepeated, Bookings)
{
    this->control(this->service(0).address, { { "failAfterRun", 1 } });
    const auto first = this->book(0, this->key);
    this->awaitDone(*first);
    const auto retry = this->book(1, this->key);
    this->awaitDone(*retry);

    BOOST_TEST(first->field("ran") == "unknown", first->body());
    BOOST_TEST(retry->field("ran") == "unknown", retry->body());
    BOOST_TEST(this->runsWithBody(body) == 1U);
}

BOOST_FIXTURE_TEST_CASE(bookingWithoutAKeyIsTriedOnce, Bookings)
{
    this->control(this->service(0).address, { { "failAfterRun", 1 } });
    const auto booking = this->book(0, {});
    this->awaitDone(*booking);

    BOOST_TEST(booking->field("ran") == "unknown", booking->body());
    BOOST_TEST(this->runsWithBody(body) == 1U);
}

BOOST_FIXTURE_TEST_CASE(lostAppendAnswerIsSettledByReading, Bookings)
{
    this->control(this->logAddress(), { { "loseNextAppendAnswers", 1 } });
    const auto booking = this->book(0, this->key);
    this->awaitDone(*booking);

    this->checkTruthful(*booking);
    const auto retry = this->book(1, this->key);
    this->awaitDone(*retry);
    this->checkTruthful(*retry);
    BOOST_TEST(retry->status() == 201U, retry->body());
}

BOOST_FIXTURE_TEST_CASE(slowLogDelaysABookingAndNoMore, Bookings)
{
    this->control(this->logAddress(), { { "slowMs", 300 } });
    const auto booking = this->book(0, this->key);
    this->awaitDone(*booking);

    BOOST_TEST(booking->status() == 201U, booking->body());
    BOOST_TEST(this->runsWithBody(body) == 1U);
}

BOOST_FIXTURE_TEST_CASE(outageOfTheLogRefusesWhatItCannotClaimAndServesTheRest, Bookings)
{
    this->control(this->logAddress(), { { "down", true } });
    const auto lookUp = this->call(0, "GET", "/stock/hub", {});
    const auto completion = this->complete(0, 10);
    const auto booking = this->book(0, this->key);
    for (const auto& exchange : { lookUp, completion, booking })
        this->awaitDone(*exchange);

    BOOST_TEST(lookUp->status() == 200U, lookUp->body());
    BOOST_TEST(readStream(completion->body()).tokens == this->reference(10), boost::test_tools::per_element());
    BOOST_TEST(booking->status() != 201U);
    this->checkTruthful(*booking);

    this->control(this->logAddress(), { { "down", false } });
    std::shared_ptr<PendingExchange> retry;
    BOOST_TEST_REQUIRE(this->await([&] {
        if (!retry || (retry->done() && retry->status() != 201))
            retry = this->book(1, newKey());
        return retry->done() && retry->status() == 201;
    }));
    BOOST_TEST(this->runsWithBody(body) == 1U);
}

BOOST_FIXTURE_TEST_CASE(oneKeyThroughTwoDaemonsAtOnceRunsOnce, Bookings)
{
    this->control(this->service(0).address, { { "delayMs", 200 } });
    const auto first = this->book(0, this->key);
    const auto second = this->book(1, this->key);
    this->awaitDone(*first);
    this->awaitDone(*second);

    BOOST_TEST((first->status() == 201 || second->status() == 201), first->body() + second->body());
    this->checkTruthful(*first);
    this->checkTruthful(*second);
    BOOST_TEST(this->runsWithBody(body) == 1U);
}

// The daemon is stopped between its claim and the send for longer than any timeout.
BOOST_FIXTURE_TEST_CASE(stoppedDaemonThatResumesRunsNothingTwice, Bookings)
{
    this->control(this->logAddress(), { { "slowMs", 300 } });
    const auto first = this->book(0, this->key);
    BOOST_TEST_REQUIRE(this->await([this] { return this->status(0).at("requestsInProgress").to_number<int>() == 1; }));
    this->daemon(0).process.signal(SIGSTOP);
    const auto second = this->book(1, this->key);
    this->awaitDone(*second);
    this->daemon(0).process.signal(SIGCONT);
    this->awaitDone(*first);

    this->checkTruthful(*first);
    this->checkTruthful(*second);
}

BOOST_FIXTURE_TEST_CASE(keyWithAnotherBodyIsRefused, Bookings)
{
    const auto first = this->book(0, this->key);
    this->awaitDone(*first);
    const auto other = this->call(1, "POST", "/bookings", "three hubs", this->key);
    this->awaitDone(*other);

    BOOST_TEST(other->status() == 409U);
    BOOST_TEST(other->field("code") == "key-reused", other->body());
    BOOST_TEST(this->runsWithBody("three hubs") == 0U);
}

BOOST_FIXTURE_TEST_CASE(bookingAtADrainingServiceDoesNotRun, Bookings)
{
    this->control(this->service(0).address, { { "draining", true } });
    const auto booking = this->book(0, this->key);
    this->awaitDone(*booking);

    BOOST_TEST(booking->field("ran") == "no", booking->body());
    BOOST_TEST(this->runsWithBody(body) == 0U);
}
