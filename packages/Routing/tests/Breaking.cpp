#include <filbertspoke/Routing>

#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace filbertspoke;
using std::chrono::milliseconds;

namespace {

struct Fixture {
    CircuitBreaker breaker;
    TimePoint now;

    void fail(int times)
    {
        for (int round = 0; round < times; ++round)
            this->breaker.failed(this->now);
    }
};

}

BOOST_FIXTURE_TEST_CASE(failuresInARowOpenTheBreaker, Fixture)
{
    this->fail(2);
    BOOST_TEST(this->breaker.allows(this->now));
    this->fail(1);
    BOOST_TEST(!this->breaker.allows(this->now));
    BOOST_TEST(this->breaker.allows(this->now + milliseconds(500)));
}

BOOST_FIXTURE_TEST_CASE(successBetweenFailuresStartsTheCountAnew, Fixture)
{
    this->fail(2);
    this->breaker.succeeded(this->now);
    this->fail(2);

    BOOST_TEST(this->breaker.allows(this->now));
}

BOOST_FIXTURE_TEST_CASE(oneProbeAtATimeAndLongerAfterEachFailedProbe, Fixture)
{
    this->fail(3);
    this->now += milliseconds(500);
    this->breaker.started(this->now);
    BOOST_TEST(!this->breaker.allows(this->now));

    this->fail(1);
    BOOST_TEST(!this->breaker.allows(this->now + milliseconds(999)));
    BOOST_TEST(this->breaker.allows(this->now + milliseconds(1000)));

    this->now += milliseconds(1000);
    this->breaker.started(this->now);
    this->breaker.succeeded(this->now);
    BOOST_TEST(this->breaker.isClosed());
}

BOOST_FIXTURE_TEST_CASE(cancelledProbeLeavesRoomForTheNext, Fixture)
{
    this->fail(3);
    this->now += milliseconds(500);
    this->breaker.started(this->now);
    this->breaker.cancelled(this->now);

    BOOST_TEST(this->breaker.allows(this->now));
    BOOST_TEST(!this->breaker.isClosed());
}

BOOST_AUTO_TEST_CASE(retriesAreBoundedByTheBudget)
{
    RetryBudget budget(0.1, 2);
    BOOST_TEST(budget.takeRetry());
    BOOST_TEST(budget.takeRetry());
    BOOST_TEST(!budget.takeRetry());

    int retries = 0;
    for (int attempt = 0; attempt < 100; ++attempt) {
        budget.firstAttempt();
        retries += budget.takeRetry() ? 1 : 0;
    }
    BOOST_TEST(retries >= 9);
    BOOST_TEST(retries <= 10);
}
