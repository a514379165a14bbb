#include "LogText.h"

#include <filbertspoke/Report>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace filbertspoke;
using namespace filbertspoke::report;
using testing::Fields;
using testing::logText;

namespace {

std::string ended(const std::string& seconds, const std::string& daemon, const std::string& request, const std::string& outcome, const std::string& status, const std::string& tookMs = "0", const std::string& fingerprint = "")
{
    return logText(seconds, daemon, "request-ended", { { "request", request }, { "service", "model" }, { "fingerprint", fingerprint }, { "outcome", outcome }, { "status", status }, { "tookMs", tookMs } });
}

std::string about(const std::string& seconds, const std::string& daemon, const std::string& event, const std::string& request, Fields fields = {})
{
    fields.insert(fields.begin(), { { "request", request }, { "service", "model" } });
    return logText(seconds, daemon, event, fields);
}

Report fold(const std::vector<std::string>& lines)
{
    LogFold fold;
    for (const std::string& line : lines)
        fold.add(line);
    return fold.finish();
}

SecondRow rowAt(const Report& report, std::int64_t second, const std::string& service = "model")
{
    for (const SecondRow& row : report.seconds) {
        if (row.second == second && row.service == service)
            return row;
    }
    BOOST_FAIL("no row for second " << second);
    return {};
}

}

BOOST_AUTO_TEST_CASE(requestsAreOfferedWhenTheyArriveAndAnsweredWhenTheyEnd)
{
    const Report report = fold({ ended("3.5", "g1", "r1", "answered", "200", "2000"), ended("3.6", "g2", "r2", "no-pipeline", "503", "0"), ended("3.7", "g2", "r3", "broken-off", "0", "100"), ended("3.8", "g2", "r4", "endpoint-failed", "502") });
    BOOST_TEST(rowAt(report, 1).counts.offered == 1);
    const SecondCounts counts = rowAt(report, 3).counts;
    BOOST_TEST(counts.offered == 3);
    BOOST_TEST(counts.answered == 1);
    BOOST_TEST(counts.refused.at("no-pipeline") == 1);
    BOOST_TEST(counts.brokenOff == 1);
    BOOST_TEST(counts.failed.at("endpoint-failed") == 1);
}

BOOST_AUTO_TEST_CASE(requestThatIsHandedOverCountsOnce)
{
    const Report report = fold({ about("1.0", "g1", "request-handed-over", "r1"), about("1.1", "g2", "request-taken-over", "r1"), ended("1.5", "g2", "r1", "answered", "200"), ended("1.6", "g1", "r1", "answered", "200") });
    const SecondCounts counts = rowAt(report, 1).counts;
    BOOST_TEST(counts.offered == 1);
    BOOST_TEST(counts.answered == 1);
    BOOST_TEST(counts.handedOver == 1);
}

BOOST_AUTO_TEST_CASE(generationsRunFromTheirChainToTheirEnd)
{
    const Report report = fold({ about("1.0", "g1", "chain-chosen", "r1", { { "resumesAfter", "" } }), about("1.1", "g1", "chain-chosen", "r2", { { "resumesAfter", "" } }),
        about("2.0", "g1", "attempt-failed", "r1", { { "reason", "engine-lost" }, { "events", "3" }, { "retry", "yes" } }), about("2.1", "g1", "chain-chosen", "r1", { { "resumesAfter", "3" } }),
        about("3.0", "g1", "stream-pace", "r1"), ended("3.1", "g1", "r1", "answered", "200", "2100") });
    BOOST_TEST(rowAt(report, 1).running == 2);
    BOOST_TEST(rowAt(report, 2).running == 2);
    BOOST_TEST(rowAt(report, 2).counts.resumed == 1);
    BOOST_TEST(rowAt(report, 2).counts.interrupted == 1);
    BOOST_TEST(rowAt(report, 2).counts.retried == 1);
    BOOST_TEST(rowAt(report, 2).counts.attemptsFailed.at("engine-lost") == 1);
    BOOST_TEST(rowAt(report, 3).running == 1);
}

BOOST_AUTO_TEST_CASE(generationsOfAGatewayThatStartsAnewHaveEnded)
{
    const Report report = fold({ about("1.0", "g1", "chain-chosen", "r1"), about("1.1", "g2", "chain-chosen", "r2"), logText("2.0", "g1", "started", {}) });
    BOOST_TEST(rowAt(report, 1).running == 2);
    BOOST_TEST(rowAt(report, 2).running == 1);
}

BOOST_AUTO_TEST_CASE(requestsThatRepeatRefusedOnesAreCounted)
{
    // The lines of a later gateway's file may be read first.
    const Report report = fold({ ended("4.0", "g2", "r2", "answered", "200", "500", "f1"), ended("4.0", "g2", "r3", "answered", "200", "500", "f2"), ended("1.5", "g1", "r1", "no-pipeline", "503", "0", "f1"),
        about("1.5", "g1", "request-given-up", "r1", { { "reason", "no-pipeline" }, { "returnAfterMs", "2100" } }) });
    BOOST_TEST(rowAt(report, 3).counts.offered == 2);
    BOOST_TEST(rowAt(report, 3).counts.repeats == 1);
    BOOST_TEST(rowAt(report, 3).counts.toldToReturn == 1);
    BOOST_TEST(rowAt(report, 4).counts.repeatsAnswered == 1);
    BOOST_TEST(rowAt(report, 1).counts.givenUp.at("no-pipeline") == 1);
}

BOOST_AUTO_TEST_CASE(requestsRefusedBeforeTheirServiceIsKnownHaveTheirOwnRows)
{
    const Report report = fold({ logText("1.0", "g1", "request-refused", { { "request", "r1" }, { "reason", "unknown-path" }, { "status", "404" } }) });
    BOOST_TEST(rowAt(report, 1, "-").counts.refused.at("unknown-path") == 1);
}

BOOST_AUTO_TEST_CASE(linesWithoutAnOffsetCountFromTheEarliest)
{
    const std::string line = ended("", "g1", "r1", "answered", "200");
    BOOST_TEST(rowAt(fold({ line.substr(line.find('{')) }), 0).counts.answered == 1);
}

BOOST_AUTO_TEST_CASE(damagedAndForeignLinesAreCountedAndDoNoHarm)
{
    const std::string line = ended("1.0", "g1", "r1", "answered", "200");
    const Report report = fold({ "", "built in 0.4 s", line.substr(0, line.size() - 4), line, "\x01{\"\xff" });
    BOOST_TEST((report.lines == LineCounts { 1, 2, 1 }));
    BOOST_TEST(rowAt(report, 1).counts.answered == 1);
    BOOST_TEST(formatSeconds(report, TextFormat {}).find("1 log lines, 2 damaged, 1 other lines") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(allFormatsHoldTheSameCells)
{
    const Report report = fold({ ended("1.0", "g1", "r1", "answered", "200"), ended("1.2", "g1", "r2", "no-pipeline", "503") });
    const std::string csv = formatSeconds(report, CsvFormat {});
    BOOST_TEST(csv.find("\n1,model,,,,,,,0,2,0,1,") != std::string::npos, csv);
    BOOST_TEST(csv.find(",no-pipeline=1,") != std::string::npos, csv);
    const auto document = boost::json::parse(formatSeconds(report, JsonFormat {}));
    const auto& row = document.at("rows").as_array().front();
    BOOST_TEST(row.at("offered").as_string() == "2");
    BOOST_TEST(row.at("refused").as_string() == "no-pipeline=1");
    BOOST_TEST(document.at("lines").at("read").as_int64() == 2);
}

BOOST_AUTO_TEST_CASE(csvQuotesWhatNeedsIt)
{
    const std::string csv = formatTrace({ std::get<LogLine>(parseLogLine(logText("1.0", "g1", "started", { { "note", R"(a,\"b\")" } }))) }, CsvFormat {});
    BOOST_TEST(csv.find(R"(0.000,g1,started,"note=a,""b""")") != std::string::npos, csv);
}

BOOST_AUTO_TEST_CASE(aRequestsWayIsInTheOrderOfTimeOverAllGateways)
{
    RequestTrace trace("r1");
    for (const std::string& line : { ended("3.0", "g1", "r1", "answered", "200"), about("1.0", "g1", "chain-chosen", "r1"), about("2.0", "g2", "request-taken-over", "r1"), about("2.0", "g2", "request-taken-over", "r12"), std::string("r1 of no log") })
        trace.add(line);
    const std::vector<LogLine> lines = trace.inOrder();
    std::vector<std::string> events;
    events.reserve(lines.size());
    for (const LogLine& line : lines)
        events.push_back(line.event);
    BOOST_TEST(events == (std::vector<std::string> { "chain-chosen", "request-taken-over", "request-ended" }), boost::test_tools::per_element());
    BOOST_TEST(formatTrace(trace.inOrder(), CsvFormat {}).find("2.000,g1,request-ended") != std::string::npos);
}
