#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const EndpointId engine("e1");

struct Fixture {
    LoadBook loads;
    TimePoint now { 100s };
};

}

BOOST_FIXTURE_TEST_CASE(ownAndPeersWorkAddUp, Fixture)
{
    this->loads.begin(engine, { 1, 500 });
    this->loads.notePeer(DaemonId("p"), { { engine, { 2, 700 } } }, this->now);
    this->loads.notePeer(DaemonId("q"), { { engine, { 1, 100 } } }, this->now);
    BOOST_TEST((this->loads.total(engine) == WorkInProgress { 4, 1300 }));
    BOOST_TEST((this->loads.own() == WorkByEndpoint { { engine, { 1, 500 } } }));
}

BOOST_FIXTURE_TEST_CASE(newWordOfAPeerReplacesItsLastOne, Fixture)
{
    this->loads.notePeer(DaemonId("p"), { { engine, { 2, 700 } } }, this->now);
    this->loads.notePeer(DaemonId("p"), {}, this->now);
    BOOST_TEST((this->loads.total(engine) == WorkInProgress {}));
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
    this->loads.notePeer(DaemonId("p"), { { engine, { 2, 700 } } }, this->now);
    this->loads.expire(this->now + 1900ms);
    BOOST_TEST(this->loads.total(engine).requests == 2);
    this->loads.expire(this->now + 2100ms);
    BOOST_TEST(this->loads.total(engine).requests == 0);
}
