// Two gateways of one failure domain: the first is its hub, and the second has the list of endpoints from it.
#include <filbertspoke/PlatformTesting>
#include <filbertspoke/StandIns>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <csignal>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

// The users' bound on new work for an endpoint after its leaving was accepted by the store.
constexpr auto leavingLimit = 2s;
// A member whose hub follows the store asks it nothing; longer than any of its pauses between calls.
constexpr auto quietTime = 1s;

struct Fixture : GatewayScene {
    Fixture()
        : link(this->context, { ownLoopbackAddress(1), 0 }, this->secondStore.address(), { ownLoopbackAddress(1), 0 })
    {
        this->start();
        this->startSecond("zone-a", this->link.address());
        this->callers = this->secondCallers;
        BOOST_REQUIRE(this->await([&] { return this->isQuiet(); }));
    }

    bool isQuiet()
    {
        const std::size_t before = this->secondStore.calls();
        const auto until = Clock::now() + quietTime;
        this->await([&] { return Clock::now() >= until; });
        return this->secondStore.calls() == before;
    }

    std::size_t sentToLeaving() const { return this->replicas.at("app-1")->requests().size(); }

    /** \brief Calls until the limit is over, then some more.
     * \returns how many calls the leaving replica got after the limit */
    std::size_t sentAfterLimit()
    {
        this->putEndpoint("app-1", "draining");
        const auto limit = Clock::now() + leavingLimit;
        while (Clock::now() < limit)
            this->answer(*this->call("POST", "/book/x"), "served");
        const std::size_t before = this->sentToLeaving();
        for (int call = 0; call < 20; ++call)
            this->answer(*this->call("POST", "/book/x"), "served");
        return this->sentToLeaving() - before;
    }

    RelayStandIn link; ///< between the second gateway and its store
};

}

BOOST_FIXTURE_TEST_CASE(leavingIsLearntThoughTheHubIsPaused, Fixture)
{
    this->gateway->signal(SIGSTOP);
    BOOST_TEST(this->sentAfterLimit() == 0U);
}

BOOST_FIXTURE_TEST_CASE(leavingIsLearntThoughTheStoreRefusesTheHub, Fixture)
{
    this->store.setAway(true);
    BOOST_TEST(this->sentAfterLimit() == 0U);
}

BOOST_FIXTURE_TEST_CASE(leavingIsLearntThoughTheHubsStoreIsSilent, Fixture)
{
    this->store.setSilent(true);
    BOOST_TEST(this->sentAfterLimit() == 0U);
}

// The member kept a connection from when it last read the store itself, over which nothing passes any more.
BOOST_FIXTURE_TEST_CASE(leavingIsLearntThoughTheMembersOldConnectionIsSilent, Fixture)
{
    this->link.control({ { "mode", "silence" } });
    this->store.setSilent(true);
    BOOST_TEST(this->sentAfterLimit() == 0U);
}

BOOST_FIXTURE_TEST_CASE(leavingIsLearntThoughTheHubIsPausedAndTheMembersOldConnectionIsSilent, Fixture)
{
    this->link.control({ { "mode", "silence" } });
    this->gateway->signal(SIGSTOP);
    BOOST_TEST(this->sentAfterLimit() == 0U);
}
