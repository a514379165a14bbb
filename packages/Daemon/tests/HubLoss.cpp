// Two gateways of one failure domain: the first is the hub, which reads the store, and the second gets the list of endpoints from it.
// Checks that the second gateway learns that an endpoint is draining when the hub or its store fails.
#include <filbertspoke/PlatformTesting>
#include <filbertspoke/StandIns>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <csignal>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

// Requirement of the users: an endpoint receives no new requests this long after the store has accepted that it is draining.
constexpr auto drainPropagationLimit = 2s;
// A gateway whose hub follows the store makes no store calls of its own. The period is longer than any interval between its calls.
constexpr auto quietPeriod = 1s;

struct Fixture : GatewayScene {
    // The link has an address of its own: at the gateways' it might be given a port that is reserved for them.
    Fixture()
        : link(this->context, { ownLoopbackAddress(2), 0 }, this->secondStore.address(), { ownLoopbackAddress(2), 0 })
    {
        this->start();
        this->startSecond("zone-a", this->link.address());
        this->callers = this->secondCallers;
        BOOST_REQUIRE(this->await([&] { return this->makesNoStoreCalls(); }));
    }

    bool makesNoStoreCalls()
    {
        const std::size_t before = this->secondStore.calls();
        const auto until = Clock::now() + quietPeriod;
        this->await([&] { return Clock::now() >= until; });
        return this->secondStore.calls() == before;
    }

    std::size_t requestsAtDrainingReplica() const { return this->replicas.at("app-1")->requests().size(); }

    /** \brief Sets a replica to draining and sends requests until the limit has passed, then twenty more.
     * \returns the number of requests that the draining replica received after the limit */
    std::size_t requestsAfterLimit()
    {
        this->putEndpoint("app-1", "draining");
        const auto limit = Clock::now() + drainPropagationLimit;
        while (Clock::now() < limit)
            this->answer(*this->call("POST", "/book/x"), "served");
        const std::size_t before = this->requestsAtDrainingReplica();
        for (int call = 0; call < 20; ++call)
            this->answer(*this->call("POST", "/book/x"), "served");
        return this->requestsAtDrainingReplica() - before;
    }

    RelayStandIn link; ///< between the second gateway and its store
};

}

BOOST_FIXTURE_TEST_CASE(drainingIsPropagatedWhileTheHubIsPaused, Fixture)
{
    this->gateway->signal(SIGSTOP);
    BOOST_TEST(this->requestsAfterLimit() == 0U);
}

BOOST_FIXTURE_TEST_CASE(drainingIsPropagatedWhileTheStoreRejectsTheHub, Fixture)
{
    this->store.setAway(true);
    BOOST_TEST(this->requestsAfterLimit() == 0U);
}

BOOST_FIXTURE_TEST_CASE(drainingIsPropagatedWhileTheHubsStoreIsUnresponsive, Fixture)
{
    this->store.setSilent(true);
    BOOST_TEST(this->requestsAfterLimit() == 0U);
}

// The second gateway still has a connection from its own last read of the store, over which no bytes pass any more.
BOOST_FIXTURE_TEST_CASE(drainingIsPropagatedWhenTheStoreAndTheMembersConnectionAreUnresponsive, Fixture)
{
    this->link.control({ { "mode", "silence" } });
    this->store.setSilent(true);
    BOOST_TEST(this->requestsAfterLimit() == 0U);
}

BOOST_FIXTURE_TEST_CASE(drainingIsPropagatedWhenTheHubAndTheMembersConnectionAreUnresponsive, Fixture)
{
    this->link.control({ { "mode", "silence" } });
    this->gateway->signal(SIGSTOP);
    BOOST_TEST(this->requestsAfterLimit() == 0U);
}
