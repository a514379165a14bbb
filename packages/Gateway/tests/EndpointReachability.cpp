// Whether a daemon that fails to reach endpoints is cut off from them itself.
#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

#include <string>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t endpoints = 40;

EndpointId endpoint(int number)
{
    return EndpointId("e" + std::to_string(number));
}

struct Fixture {
    void failAt(int first, int last)
    {
        for (int number = first; number <= last; ++number)
            this->reachability.noteUnreachable(endpoint(number), endpoints, this->now);
    }

    bool is(Reachability state) const { return this->reachability.state() == state; }

    EndpointReachability reachability;
    TimePoint now { 100s };
};

}

BOOST_FIXTURE_TEST_CASE(lossOfOneEndpointIsNoSuspicion, Fixture)
{
    for (int attempt = 0; attempt < 20; ++attempt)
        this->failAt(1, 1);
    BOOST_TEST(this->is(Reachability::Reachable));
    BOOST_TEST(this->reachability.takeProbes(this->now) == 0U);
    BOOST_TEST(this->reachability.ownShare() == 1);
}

// Load pattern: a rack of engines is lost, for all daemons.
BOOST_FIXTURE_TEST_CASE(lossOfSeveralEndpointsEndsWithTheFirstProbeThatIsAccepted, Fixture)
{
    this->failAt(1, 3);
    BOOST_TEST(this->is(Reachability::Suspect));
    BOOST_TEST(this->reachability.takeProbes(this->now) == 3U);
    BOOST_TEST(this->reachability.takeProbes(this->now) == 0U);
    BOOST_TEST(this->reachability.hasFailed(endpoint(1)));
    BOOST_TEST(this->reachability.noteConnected());
    BOOST_TEST(this->is(Reachability::Reachable));
    BOOST_TEST(!this->reachability.hasFailed(endpoint(1)));
}

// Load pattern: a partition from all endpoints, during which streams over old connections go on.
BOOST_FIXTURE_TEST_CASE(endpointsThatAcceptNothingMeanThatTheDaemonIsCutOff, Fixture)
{
    this->failAt(1, 2);
    BOOST_TEST(this->reachability.ownShare() == 0);
    this->failAt(3, 5);
    BOOST_TEST(this->is(Reachability::CutOff));
    BOOST_TEST(this->reachability.ownShare() == 0);
    BOOST_TEST(this->reachability.takeProbes(this->now) == 1U);
}

BOOST_FIXTURE_TEST_CASE(serviceWithFewEndpointsIsCutOffWhenAllOfThemFail, Fixture)
{
    for (int number = 1; number <= 3; ++number)
        this->reachability.noteUnreachable(endpoint(number), 3, this->now);
    BOOST_TEST(this->is(Reachability::CutOff));
}

BOOST_FIXTURE_TEST_CASE(failuresThatAreFarApartDoNotAddUp, Fixture)
{
    for (int number = 1; number <= 20; ++number) {
        this->failAt(number, number);
        this->now += 4s;
    }
    BOOST_TEST(this->is(Reachability::Reachable));
}

// Load pattern: the path comes and goes; the load must not swing with it.
BOOST_FIXTURE_TEST_CASE(shareGrowsWithEachAcceptedConnectionAndAFailureTakesItBack, Fixture)
{
    this->failAt(1, 5);
    double before = 0;
    for (int accepted = 0; accepted < 3; ++accepted) {
        BOOST_TEST(!this->reachability.noteConnected());
        BOOST_TEST(this->is(Reachability::CutOff));
        BOOST_TEST(this->reachability.ownShare() > before);
        before = this->reachability.ownShare();
    }
    this->failAt(9, 9);
    BOOST_TEST(this->reachability.ownShare() == 0);
    for (int accepted = 0; accepted < 4; ++accepted)
        this->reachability.noteConnected();
    BOOST_TEST(this->is(Reachability::Reachable));
    BOOST_TEST(this->reachability.ownShare() == 1);
}

// Load pattern: many requests wait at one slow endpoint.
BOOST_FIXTURE_TEST_CASE(silentEndpointIsProbedOnceInAnInterval, Fixture)
{
    BOOST_TEST(this->reachability.takeSilenceProbe(endpoint(1), this->now));
    BOOST_TEST(this->reachability.takeSilenceProbe(endpoint(2), this->now));
    BOOST_TEST(!this->reachability.takeSilenceProbe(endpoint(1), this->now + 299ms));
    BOOST_TEST(this->reachability.takeSilenceProbe(endpoint(1), this->now + 300ms));
}
