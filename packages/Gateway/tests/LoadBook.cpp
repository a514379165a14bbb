#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const EndpointId engine("e1");

struct Fixture {
    LoadTracker loads;
    TimePoint now { 100s };
};

}

BOOST_FIXTURE_TEST_CASE(ownAndPeersWorkAddUp, Fixture)
{
    this->loads.begin(engine, { 1, 500 });
    this->loads.replaceMemberLoad(DaemonId("p"), { { engine, { 2, 700 } } }, this->now);
    this->loads.replaceGroupLoad("elsewhere", { { engine, { 1, 100 } } }, this->now);
    BOOST_TEST((this->loads.total(engine) == WorkInProgress { 4, 1300 }));
    BOOST_TEST((this->loads.own() == WorkByEndpoint { { engine, { 1, 500 } } }));
}

BOOST_FIXTURE_TEST_CASE(newWordOfAPeerReplacesItsLastOne, Fixture)
{
    this->loads.replaceMemberLoad(DaemonId("p"), { { engine, { 2, 700 } } }, this->now);
    this->loads.replaceMemberLoad(DaemonId("p"), {}, this->now);
    BOOST_TEST((this->loads.total(engine) == WorkInProgress {}));
}

BOOST_FIXTURE_TEST_CASE(sumsLeaveOutWhomTheyAreFor, Fixture)
{
    this->loads.begin(engine, { 1, 10 });
    this->loads.replaceMemberLoad(DaemonId("p"), { { engine, { 2, 20 } } }, this->now);
    this->loads.replaceMemberLoad(DaemonId("q"), { { engine, { 4, 40 } } }, this->now);
    this->loads.replaceGroupLoad("elsewhere", { { engine, { 8, 80 } } }, this->now);
    BOOST_TEST((this->loads.withMembers() == WorkByEndpoint { { engine, { 7, 70 } } }));
    BOOST_TEST((this->loads.withoutMember(DaemonId("p")) == WorkByEndpoint { { engine, { 13, 130 } } }));
    this->loads.clearRemoteLoads();
    BOOST_TEST((this->loads.total(engine) == WorkInProgress { 1, 10 }));
}

// With 28 gateways an engine that had room was filled by all of them before they heard of each other.
BOOST_FIXTURE_TEST_CASE(othersAreAssumedToBeginAsMuchUntilTheyAreHeard, Fixture)
{
    this->loads.markRefreshed(3);
    this->loads.begin(engine, { 1, 10 });
    BOOST_TEST((this->loads.total(engine) == WorkInProgress { 4, 40 }));
    BOOST_TEST((this->loads.own() == WorkByEndpoint { { engine, { 1, 10 } } }));
    this->loads.markRefreshed(3);
    BOOST_TEST((this->loads.total(engine) == WorkInProgress { 1, 10 }));
}

BOOST_FIXTURE_TEST_CASE(workThatEndedLeavesNothingBehind, Fixture)
{
    this->loads.begin(engine, { 1, 0.1 });
    this->loads.begin(engine, { 1, 0.2 });
    this->loads.end(engine, { 1, 0.1 });
    this->loads.end(engine, { 1, 0.2 });
    BOOST_TEST(this->loads.own().empty());
}

BOOST_FIXTURE_TEST_CASE(silentPeerIsForgotten, Fixture)
{
    this->loads.replaceMemberLoad(DaemonId("p"), { { engine, { 2, 700 } } }, this->now);
    this->loads.expire(this->now + 1900ms);
    BOOST_TEST(this->loads.total(engine).requests == 2);
    this->loads.expire(this->now + 2100ms);
    BOOST_TEST(this->loads.total(engine).requests == 0);
}
