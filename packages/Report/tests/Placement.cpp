#include "LogText.h"

#include <filbertspoke/Report>

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace filbertspoke;
using namespace filbertspoke::report;
using testing::engineText;
using testing::logText;
using testing::profileText;

namespace {

Report fold(const std::vector<std::string>& lines)
{
    LogFold fold;
    for (const std::string& line : lines)
        fold.add(line);
    return fold.finish();
}

SecondRow rowAt(const Report& report, std::int64_t second)
{
    for (const SecondRow& row : report.seconds) {
        if (row.second == second && row.service == "model")
            return row;
    }
    BOOST_FAIL("no row for second " << second);
    return {};
}

std::string endedText(const std::string& seconds)
{
    return logText(seconds, "g1", "request-ended", { { "request", "r" + seconds }, { "service", "model" }, { "outcome", "answered" }, { "status", "200" }, { "tookMs", "0" } });
}

const std::vector<std::string> twoCopies { profileText("0.1"), engineText("0.2", "a1", "a", 0, 5), engineText("0.2", "a2", "a", 5, 10), engineText("0.2", "b1", "b", 0, 5), engineText("0.2", "b2", "b", 5, 10), endedText("1.0") };

std::vector<std::string> with(std::vector<std::string> lines, const std::vector<std::string>& more)
{
    lines.insert(lines.end(), more.begin(), more.end());
    return lines;
}

}

BOOST_AUTO_TEST_CASE(capacityIsTheFlowOverThePlacedLayers)
{
    const auto capacity = rowAt(fold(twoCopies), 1).capacity;
    BOOST_REQUIRE(capacity.has_value());
    // 5,000 MB beside five layers; a generation of 100 tokens takes 100 MB a layer: ten on each engine.
    BOOST_TEST(capacity->atOnce == 20, boost::test_tools::tolerance(0.005));
    BOOST_TEST(capacity->atOnceWithinDomains == 20, boost::test_tools::tolerance(0.005));
    BOOST_TEST(capacity->engines == 4u);
    BOOST_TEST(capacity->leastCopies == 2u);
    BOOST_TEST(capacity->leastCopiesByDomain.at("a") == 1u);
    BOOST_TEST(capacity->perSecond > 0);
}

BOOST_AUTO_TEST_CASE(lostEnginesOfTwoDomainsLeaveChainsAcrossThem)
{
    const Report report = fold(with(twoCopies, { logText("2.5", "g1", "endpoint-removed", { { "endpoint", "a1" }, { "source", "store" } }), logText("2.6", "g1", "engine-taken-as-lost", { { "endpoint", "b2" }, { "heartbeat", "1" } }), endedText("2.9") }));
    const SecondRow row = rowAt(report, 2);
    BOOST_TEST(row.counts.enginesLost == 2);
    BOOST_TEST(row.capacity->atOnce == 10, boost::test_tools::tolerance(0.005));
    BOOST_TEST(row.capacity->atOnceWithinDomains == 0);
    BOOST_TEST(row.capacity->leastCopies == 1u);
    BOOST_TEST(row.capacity->leastCopiesByDomain.at("a") == 0u);
}

BOOST_AUTO_TEST_CASE(theLeastCapacityOfASecondIsReported)
{
    const Report report = fold(with(twoCopies, { logText("2.1", "g1", "endpoint-removed", { { "endpoint", "a1" } }), engineText("2.9", "a3", "a", 0, 5), endedText("3.0") }));
    BOOST_TEST(rowAt(report, 2).capacity->atOnce == 10, boost::test_tools::tolerance(0.005));
    BOOST_TEST(rowAt(report, 3).capacity->atOnce == 20, boost::test_tools::tolerance(0.005));
}

BOOST_AUTO_TEST_CASE(whatSlowerGatewaysReportAgainChangesNothing)
{
    std::vector<std::string> lines = with(twoCopies, { engineText("2.1", "a1", "a", 0, 3, 1000, 7), engineText("2.2", "a1", "a", 0, 5, 1000, 1, "g2"), engineText("2.3", "a1", "a", 0, 3, 1000, 7, "g2"), logText("3.1", "g1", "endpoint-removed", { { "endpoint", "a1" } }), engineText("3.2", "a1", "a", 0, 3, 1000, 7, "g2"), logText("3.3", "g2", "endpoint-removed", { { "endpoint", "a1" } }) });
    const Report report = fold(lines);
    BOOST_TEST(rowAt(report, 2).counts.enginesLost == 0);
    BOOST_TEST(rowAt(report, 3).counts.enginesLost == 1);
    BOOST_TEST(rowAt(report, 3).counts.enginesReturned == 0);
    std::reverse(lines.begin(), lines.end());
    BOOST_TEST((fold(lines).seconds == report.seconds));
}

BOOST_AUTO_TEST_CASE(aNewEngineAtAnAddressReplacesTheOneThere)
{
    const Report report = fold(with(twoCopies, { engineText("2.1", "a1#2", "a", 0, 0, 2000), endedText("2.2") }));
    // engineText() takes the address from the name before the #.
    BOOST_TEST(rowAt(report, 2).counts.enginesLost == 1);
    BOOST_TEST(rowAt(report, 2).counts.enginesReturned == 1);
    BOOST_TEST(rowAt(report, 2).capacity->engines == 3u);
}

BOOST_AUTO_TEST_CASE(anEngineThatStartsAnewIsLostAndReturns)
{
    const SecondRow row = rowAt(fold(with(twoCopies, { engineText("2.1", "a1", "a", 0, 0, 2000) })), 2);
    BOOST_TEST(row.counts.enginesLost == 1);
    BOOST_TEST(row.counts.enginesReturned == 1);
    BOOST_TEST(row.capacity->atOnce == 10, boost::test_tools::tolerance(0.005));
}

BOOST_AUTO_TEST_CASE(ordersAreCountedWhenTheyGoOutAndWhenTheirLayersAreThere)
{
    const Report report = fold(with(twoCopies, { logText("2.1", "g1", "layer-order", { { "endpoint", "a1" }, { "firstLayer", "0" }, { "lastLayer", "7" }, { "outcome", "status 202" } }), logText("2.2", "g1", "layer-order", { { "endpoint", "a2" }, { "firstLayer", "0" }, { "lastLayer", "7" }, { "outcome", "status 409" } }), engineText("4.1", "a1", "a", 0, 7, 1000, 9) }));
    BOOST_TEST(rowAt(report, 2).counts.ordersSent == 1);
    BOOST_TEST(rowAt(report, 2).counts.ordersDone == 0);
    BOOST_TEST(rowAt(report, 4).counts.ordersDone == 1);
}

BOOST_AUTO_TEST_CASE(copiesAreListedByDomainAtEachChange)
{
    const Report report = fold(with(twoCopies, { logText("2.1", "g1", "endpoint-removed", { { "endpoint", "a1" } }) }));
    BOOST_TEST(report.copies.back().time == 2'100'000);
    BOOST_TEST(report.copies.back().byDomain.at("a") == (std::vector<std::uint32_t> { 0, 0, 0, 0, 0, 1, 1, 1, 1, 1 }), boost::test_tools::per_element());
    BOOST_TEST(formatCopies(report, CsvFormat {}).find("2.100,model,a,0000011111\n") != std::string::npos);
}
