#include "SharedEnginesReplay.h"

#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;
using namespace std::chrono_literals;
using filbertspoke::testing::Demand;
using filbertspoke::testing::SharedEnginesReplay;

namespace {

std::vector<Demand> replay(const std::vector<Demand>& demands, bool reserve)
{
    return SharedEnginesReplay(demands, reserve).run(120s);
}

int refused(const std::vector<Demand>& demands)
{
    int sum = 0;
    for (const Demand& demand : demands)
        sum += demand.refused;
    return sum;
}

}

// Guards against urgent generations that are refused as often as all others while the least urgent demand is three times its usual.
BOOST_AUTO_TEST_CASE(mostUrgentAreRefusedLessOftenWhileTheLeastUrgentDemandTriples)
{
    const std::vector<Demand> demands { { 0, 12 }, { 1, 12 }, { 2, 3 * 12 } };
    const auto without = replay(demands, false);
    const auto with = replay(demands, true);
    for (std::size_t index = 0; index < demands.size(); ++index)
        BOOST_TEST_MESSAGE("priority " << index << ": refused " << without[index].refusedShare() << " without, " << with[index].refusedShare() << " with the reserve");
    BOOST_TEST(without[0].refusedShare() > 0.1);
    BOOST_TEST(with[0].refusedShare() < without[0].refusedShare() / 4);
    BOOST_TEST(with[1].refusedShare() < without[1].refusedShare());
    // The least urgent are not starved, and little capacity stays unused.
    BOOST_TEST(with[2].refusedShare() < 0.5);
    BOOST_TEST(refused(with) < refused(without) * 1.25);
}

// Guards against a reserve that takes capacity from sites with one priority.
BOOST_AUTO_TEST_CASE(nothingChangesWithOnePriority)
{
    for (const auto& demands : { std::vector<Demand> { { 1, 60 } }, std::vector<Demand> { { 1, 20 }, { 1, 40 } } })
        BOOST_TEST(refused(replay(demands, true)) == refused(replay(demands, false)));
}

// Guards against ranks by the value of a priority: priorities 0, 3 and 200 are three levels.
BOOST_AUTO_TEST_CASE(rankCountsDistinctMoreUrgentPriorities)
{
    const std::set<std::uint32_t> routed { 0, 3, 200 };
    BOOST_TEST(generationRank(routed, 0) == 0U);
    BOOST_TEST(generationRank(routed, 3) == 1U);
    BOOST_TEST(generationRank(routed, 200) == 2U);
    BOOST_TEST(generationRank(routed, std::nullopt) == 2U);
    BOOST_TEST(generationRank({ 1 }, 7) == 0U);
    BOOST_TEST(generationRank({}, 7) == 0U);
}

// Guards against a reserve that grows without limit, and against one for the most urgent.
BOOST_AUTO_TEST_CASE(reserveIsFivePercentForEachRankAndFifteenAtMost)
{
    BOOST_TEST(reservedShare(0) == 0.0);
    BOOST_TEST(reservedShare(2) == 0.1);
    BOOST_TEST(reservedShare(3) == 0.15, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(reservedShare(9) == 0.15);
}

// Guards against least urgent generations that no idle engine can serve because they need nearly all of it, or because it has one slot.
BOOST_AUTO_TEST_CASE(idleEngineServesAnyStageThatFits)
{
    BOOST_TEST(requiredTokenLayers(950, 1000, 0.15) == 1000.0);
    BOOST_TEST(requiredTokenLayers(1100, 1000, 0.15) == 1100.0);
    BOOST_TEST(requiredTokenLayers(100, 1000, 0.1) == 200.0);
    BOOST_TEST(requiredTokenLayers(100, 1000, 0) == 100.0);
    BOOST_TEST(usableSlots(1, 0.15) == 1.0);
    BOOST_TEST(usableSlots(100, 0.1) == 90.0);
}

// Guards against ranks from calls, from routes of other services and from routes whose share of the service is zero.
BOOST_AUTO_TEST_CASE(prioritiesAreThoseOfTheStreamRoutesToTheService)
{
    Route stream;
    stream.kind = RouteKind::Stream;
    stream.services = { { ServiceId("llm"), 1 }, { ServiceId("unused"), 0 } };
    stream.priority = 2;
    Route unnamed = stream;
    unnamed.priority.reset();
    Route call = stream;
    call.kind = RouteKind::Idempotent;
    call.priority = 0;
    Route other = stream;
    other.services = { { ServiceId("other"), 1 } };
    other.priority = 1;
    const ForwardingTable table = ForwardingTable::Builder(1).route(stream).route(unnamed).route(call).route(other).build();
    BOOST_TEST((table.streamPriorities(ServiceId("llm")) == std::set<std::uint32_t> { 2, unnamedPriority }));
    BOOST_TEST((table.streamPriorities(ServiceId("other")) == std::set<std::uint32_t> { 1 }));
    BOOST_TEST(table.streamPriorities(ServiceId("unused")).empty());
}
