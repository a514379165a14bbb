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

BOOST_FIXTURE_TEST_CASE(totalIncludesOwnMemberAndGroupWork, Fixture)
{
    this->loads.begin(engine, { 1, 500 });
    this->loads.replaceMemberLoad(DaemonId("p"), { { engine, { 2, 700 } } }, this->now);
    this->loads.replaceGroupLoad("elsewhere", { { engine, { 1, 100 } } }, this->now);
    BOOST_TEST((this->loads.total(engine) == WorkInProgress { 4, 1300 }));
    BOOST_TEST((this->loads.own() == WorkByEndpoint { { engine, { 1, 500 } } }));
}

BOOST_FIXTURE_TEST_CASE(newReportReplacesThePreviousOne, Fixture)
{
    this->loads.replaceMemberLoad(DaemonId("p"), { { engine, { 2, 700 } } }, this->now);
    this->loads.replaceMemberLoad(DaemonId("p"), {}, this->now);
    BOOST_TEST((this->loads.total(engine) == WorkInProgress {}));
}

BOOST_FIXTURE_TEST_CASE(sumForAMemberExcludesItsOwnWork, Fixture)
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

// Guards against a herd effect: 28 gateways filled the same free engine at once, before they received each other's reports.
BOOST_FIXTURE_TEST_CASE(synchronizedPeersAreAssumedToBeginTheSameWorkUntilTheNextRefresh, Fixture)
{
    this->loads.markRefreshed(3, this->now);
    this->loads.begin(engine, { 1, 10 });
    BOOST_TEST((this->loads.total(engine) == WorkInProgress { 4, 40 }));
    BOOST_TEST((this->loads.own() == WorkByEndpoint { { engine, { 1, 10 } } }));
    this->loads.markRefreshed(3, this->now);
    BOOST_TEST((this->loads.total(engine) == WorkInProgress { 1, 10 }));
}

BOOST_FIXTURE_TEST_CASE(endedWorkLeavesNoEntry, Fixture)
{
    this->loads.begin(engine, { 1, 0.1 });
    this->loads.begin(engine, { 1, 0.2 });
    this->loads.end(engine, { 1, 0.1 });
    this->loads.end(engine, { 1, 0.2 });
    BOOST_TEST(this->loads.own().empty());
}

BOOST_FIXTURE_TEST_CASE(reportOfASilentMemberExpires, Fixture)
{
    this->loads.replaceMemberLoad(DaemonId("p"), { { engine, { 2, 700 } } }, this->now);
    this->loads.expire(this->now + 1900ms);
    BOOST_TEST(this->loads.total(engine).requests == 2);
    this->loads.expire(this->now + 2100ms);
    BOOST_TEST(this->loads.total(engine).requests == 0);
}

// Guards against further requests to an engine that others have filled since their reports; the reports that come next may be older than the
// refusal.
BOOST_FIXTURE_TEST_CASE(refusalRaisesTheLoadUntilNewerReports, Fixture)
{
    this->loads.replaceGroupLoad("hub", { { engine, { 2, 700 } } }, this->now);
    this->loads.noteRefusal(engine, 1000, 200, this->now);
    BOOST_TEST(this->loads.total(engine).tokenLayers == 801);
    this->loads.noteRefusal(engine, 1000, 250, this->now);
    BOOST_TEST(this->loads.total(engine).tokenLayers == 801);
    this->loads.noteRefusal(engine, 1000, 100, this->now);
    BOOST_TEST(this->loads.total(engine).tokenLayers == 901);
    this->loads.markRefreshed(3, this->now + 150ms);
    BOOST_TEST(this->loads.total(engine).tokenLayers == 901);
    BOOST_TEST(this->loads.withMembers().empty());
    this->loads.markRefreshed(3, this->now + 200ms);
    BOOST_TEST(this->loads.total(engine).tokenLayers == 700);
}

// Guards against a raised load that stays when no reports come any more.
BOOST_FIXTURE_TEST_CASE(raisedLoadExpires, Fixture)
{
    this->loads.noteRefusal(engine, 1000, 200, this->now);
    this->loads.expire(this->now + 2100ms);
    BOOST_TEST(this->loads.total(engine).tokenLayers == 0);
}

// Guards against random choices on sites where nothing is unknown: with a single gateway, or with little new work.
BOOST_FIXTURE_TEST_CASE(unreportedShareFollowsFromRateAgeAndNumberOfGateways, Fixture)
{
    BOOST_TEST(this->loads.unreportedShare(0, 1, 1e6, this->now) == 0);
    BOOST_TEST(this->loads.unreportedShare(29, 1, 1e6, this->now) == 0.25);
    // 200 at each refresh: 1000 per second.
    for (int refresh = 0; refresh < 150; ++refresh) {
        this->loads.markRefreshed(29, this->now);
        this->loads.begin(engine, { 1, 200 });
        this->now += 200ms;
    }
    this->loads.markRefreshed(29, this->now);
    // 29 gateways x 1000 per second x 200 ms.
    BOOST_TEST(this->loads.unreportedShare(29, 1, 1e5, this->now + 100ms) == 0.058, boost::test_tools::tolerance(0.01));
    BOOST_TEST(this->loads.unreportedShare(29, 0.5, 1e5, this->now + 100ms) == 0.029, boost::test_tools::tolerance(0.01));
    BOOST_TEST(this->loads.unreportedShare(29, 1, 1e4, this->now + 100ms) == 0.25);
    BOOST_TEST(this->loads.unreportedShare(29, 1, 1e9, this->now + 2100ms) == 0.25);
}
