// Sends bookings through real processes while services, daemons and the log fail. The service records which bookings it ran.
// Checks that a booking runs at most once, and that a booking reported as not executed has not run.
#include <filbertspoke/ClusterTesting>

#include <boost/json/object.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <memory>
#include <string>

using namespace filbertspoke;

namespace {

const std::string body = "two hubs";

/** \brief A cluster with helpers that send bookings and check their outcome. */
struct BookingCluster : Cluster {
    std::shared_ptr<PendingExchange> book(std::uint32_t daemon, const std::string& key) { return this->call(daemon, "POST", "/bookings", body, key); }

    void waitUntilDone(const PendingExchange& exchange)
    {
        BOOST_TEST_REQUIRE(this->await([&] { return exchange.done(); }));
    }

    /** \brief Checks that the reported outcome matches the runs recorded by the service. */
    void checkReportedOutcome(const PendingExchange& exchange)
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

BOOST_FIXTURE_TEST_CASE(retriedBookingRunsOnceAndReturnsTheFirstAnswer, BookingCluster)
{
    const auto first = this->book(0, this->key);
    this->waitUntilDone(*first);
    const auto retry = this->book(1, this->key);
    this->waitUntilDone(*retry);

    BOOST_TEST(first->status() == 201U, first->body());
    BOOST_TEST(retry->status() == 201U, retry->body());
    BOOST_TEST(retry->body() == first->body());
    BOOST_TEST(this->runsWithBody(body) == 1U);
}

BOOST_FIXTURE_TEST_CASE(bookingOfAKilledDaemonIsNotRepeatedByAnotherDaemon, BookingCluster)
{
    this->control(this->service(0).address, { { "delayMs", 2000 } });
    const auto first = this->book(0, this->key);
    BOOST_TEST_REQUIRE(this->await([this] { return this->runsWithBody(body) == 1; }));
    this->daemon(0).process.kill();
    const auto retry = this->book(1, this->key);
    this->waitUntilDone(*retry);

    BOOST_TEST(retry->field("ran") == "unknown", retry->body());
    BOOST_TEST(this->runsWithBody(body) == 1U);
}

BOOST_FIXTURE_TEST_CASE(restartedDaemonDoesNotRepeatABooking, BookingCluster)
{
    this->control(this->service(0).address, { { "delayMs", 2000 } });
    const auto first = this->book(0, this->key);
    BOOST_TEST_REQUIRE(this->await([this] { return this->runsWithBody(body) == 1; }));
    this->restartDaemon(0);
    const auto retry = this->book(0, this->key);
    this->waitUntilDone(*retry);

    BOOST_TEST(retry->field("ran") == "unknown", retry->body());
    BOOST_TEST(this->runsWithBody(body) == 1U);
}

BOOST_FIXTURE_TEST_CASE(bookingWithLostAnswerIsUnknownAndNotRepeated, BookingCluster)
{
    this->control(this->service(0).address, { { "failAfterRun", 1 } });
    const auto first = this->book(0, this->key);
    this->waitUntilDone(*first);
    const auto retry = this->book(1, this->key);
    this->waitUntilDone(*retry);

    BOOST_TEST(first->field("ran") == "unknown", first->body());
    BOOST_TEST(retry->field("ran") == "unknown", retry->body());
    BOOST_TEST(this->runsWithBody(body) == 1U);
}

BOOST_FIXTURE_TEST_CASE(bookingWithoutKeyIsNotRetried, BookingCluster)
{
    this->control(this->service(0).address, { { "failAfterRun", 1 } });
    const auto booking = this->book(0, {});
    this->waitUntilDone(*booking);

    BOOST_TEST(booking->field("ran") == "unknown", booking->body());
    BOOST_TEST(this->runsWithBody(body) == 1U);
}

BOOST_FIXTURE_TEST_CASE(lostAppendAnswerIsResolvedByReadingTheLog, BookingCluster)
{
    this->control(this->logAddress(), { { "loseNextAppendAnswers", 1 } });
    const auto booking = this->book(0, this->key);
    this->waitUntilDone(*booking);

    this->checkReportedOutcome(*booking);
    const auto retry = this->book(1, this->key);
    this->waitUntilDone(*retry);
    this->checkReportedOutcome(*retry);
    BOOST_TEST(retry->status() == 201U, retry->body());
}

BOOST_FIXTURE_TEST_CASE(slowLogOnlyDelaysABooking, BookingCluster)
{
    this->control(this->logAddress(), { { "slowMs", 300 } });
    const auto booking = this->book(0, this->key);
    this->waitUntilDone(*booking);

    BOOST_TEST(booking->status() == 201U, booking->body());
    BOOST_TEST(this->runsWithBody(body) == 1U);
}

BOOST_FIXTURE_TEST_CASE(logOutageRefusesKeyedBookingsAndServesOtherRequests, BookingCluster)
{
    this->control(this->logAddress(), { { "down", true } });
    const auto lookUp = this->call(0, "GET", "/stock/hub", {});
    const auto completion = this->complete(0, 10);
    const auto booking = this->book(0, this->key);
    for (const auto& exchange : { lookUp, completion, booking })
        this->waitUntilDone(*exchange);

    BOOST_TEST(lookUp->status() == 200U, lookUp->body());
    BOOST_TEST(readStream(completion->body()).tokens == this->reference(10), boost::test_tools::per_element());
    BOOST_TEST(booking->status() != 201U);
    this->checkReportedOutcome(*booking);

    this->control(this->logAddress(), { { "down", false } });
    std::shared_ptr<PendingExchange> retry;
    BOOST_TEST_REQUIRE(this->await([&] {
        if (!retry || (retry->done() && retry->status() != 201))
            retry = this->book(1, newKey());
        return retry->done() && retry->status() == 201;
    }));
    BOOST_TEST(this->runsWithBody(body) == 1U);
}

BOOST_FIXTURE_TEST_CASE(concurrentBookingsWithOneKeyRunOnce, BookingCluster)
{
    this->control(this->service(0).address, { { "delayMs", 200 } });
    const auto first = this->book(0, this->key);
    const auto second = this->book(1, this->key);
    this->waitUntilDone(*first);
    this->waitUntilDone(*second);

    BOOST_TEST((first->status() == 201 || second->status() == 201), first->body() + second->body());
    this->checkReportedOutcome(*first);
    this->checkReportedOutcome(*second);
    BOOST_TEST(this->runsWithBody(body) == 1U);
}

// The daemon is paused between appending its claim and sending the booking, for longer than any timeout.
BOOST_FIXTURE_TEST_CASE(resumedDaemonRunsNothingTwice, BookingCluster)
{
    this->control(this->logAddress(), { { "slowMs", 300 } });
    const auto first = this->book(0, this->key);
    BOOST_TEST_REQUIRE(this->await([this] { return this->status(0).at("requestsInProgress").to_number<int>() == 1; }));
    this->daemon(0).process.signal(SIGSTOP);
    const auto second = this->book(1, this->key);
    this->waitUntilDone(*second);
    this->daemon(0).process.signal(SIGCONT);
    this->waitUntilDone(*first);

    this->checkReportedOutcome(*first);
    this->checkReportedOutcome(*second);
}

BOOST_FIXTURE_TEST_CASE(keyReusedWithAnotherBodyIsRefused, BookingCluster)
{
    const auto first = this->book(0, this->key);
    this->waitUntilDone(*first);
    const auto other = this->call(1, "POST", "/bookings", "three hubs", this->key);
    this->waitUntilDone(*other);

    BOOST_TEST(other->status() == 409U);
    BOOST_TEST(other->field("code") == "key-reused", other->body());
    BOOST_TEST(this->runsWithBody("three hubs") == 0U);
}

BOOST_FIXTURE_TEST_CASE(drainingServiceDoesNotRunABooking, BookingCluster)
{
    this->control(this->service(0).address, { { "draining", true } });
    const auto booking = this->book(0, this->key);
    this->waitUntilDone(*booking);

    BOOST_TEST(booking->field("ran") == "no", booking->body());
    BOOST_TEST(this->runsWithBody(body) == 0U);
}
