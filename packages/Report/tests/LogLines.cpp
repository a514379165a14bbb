#include <filbertspoke/Report>
#include <filbertspoke/Testing>

#include <boost/test/unit_test.hpp>

#include <string>
#include <variant>

using namespace filbertspoke;
using namespace filbertspoke::report;

namespace {

const std::string plainLine = R"({"time":"2026-01-04T11:33:13.035245Z","level":"info","daemon":"gateway-1","event":"chain-chosen","request":"a1","stages":"11","first":"e\"1"})";

LogLine parsed(const std::string& text)
{
    const ParsedLine line = parseLogLine(text);
    BOOST_REQUIRE(std::holds_alternative<LogLine>(line));
    return std::get<LogLine>(line);
}

}

BOOST_AUTO_TEST_CASE(plainLineIsRead)
{
    const LogLine line = parsed(plainLine);
    BOOST_TEST(line.time == 1'767'526'393'035'245);
    BOOST_TEST(!line.offset.has_value());
    BOOST_TEST(line.instant() == line.time);
    BOOST_TEST(line.daemon == "gateway-1");
    BOOST_TEST(line.event == "chain-chosen");
    BOOST_TEST(line.field("first") == "e\"1");
    BOOST_TEST(line.number("stages").value() == 11);
    BOOST_TEST(!line.number("first").has_value());
    BOOST_TEST(line.field("missing").empty());
}

BOOST_AUTO_TEST_CASE(textBeforeALineMayGiveItsTime)
{
    BOOST_TEST(parsed("  23.9334 gateway-1 " + plainLine).instant() == 23'933'400);
    BOOST_TEST(parsed("  -9.5 gateway-1 " + plainLine).instant() == -9'500'000);
    const LogLine unnumbered = parsed("gateway-1 | " + plainLine);
    BOOST_TEST(unnumbered.instant() == unnumbered.time);
    BOOST_TEST(parsed("nan " + plainLine).instant() == unnumbered.time);
}

BOOST_AUTO_TEST_CASE(otherTextIsForeignAndBrokenLinesAreDamaged)
{
    BOOST_TEST(std::holds_alternative<ForeignLine>(parseLogLine("built in 0.4 s; 40640 lines")));
    BOOST_TEST(std::holds_alternative<DamagedLine>(parseLogLine(plainLine + plainLine)));
    BOOST_TEST(std::holds_alternative<DamagedLine>(parseLogLine(R"({"event":"started","daemon":"gateway-1"})")));
    BOOST_TEST(std::holds_alternative<DamagedLine>(parseLogLine(R"({"time":"yesterday","event":"started","daemon":"gateway-1"})")));
    BOOST_TEST(std::holds_alternative<DamagedLine>(parseLogLine(R"(x {"time" ["2026"])")));
}

BOOST_AUTO_TEST_CASE(timesThatAreNoneAreRefused)
{
    for (const std::string text : { "", "2026-01-04", "2026-13-04T11:33:13Z", "2026-01-32T11:33:13Z", "2026-01-04T24:33:13Z", "2026-01-04T11:33:13.5", "2026-01-04T11:33:13.xZ", "2026-01-04T11:33:13-1Z", "2026/01/04T11:33:13Z" })
        BOOST_TEST(!parseLogTime(text).has_value(), text);
    BOOST_TEST(parseLogTime("1970-01-01T00:00:01Z").value() == 1'000'000);
}

BOOST_AUTO_TEST_CASE(cutLinesAreNeverTakenForWholeOnes)
{
    for (std::size_t size = 0; size < plainLine.size(); ++size)
        BOOST_TEST(!std::holds_alternative<LogLine>(parseLogLine(plainLine.substr(0, size))), size);
}

BOOST_AUTO_TEST_CASE(anyTextIsParsedWithoutAnError)
{
    testing::checkProperty([](const std::string& noise) {
        std::string text = plainLine;
        const std::size_t position = *rc::gen::inRange<std::size_t>(0, plainLine.size());
        text.replace(position, std::min(noise.size(), plainLine.size() - position), noise);
        LogFold fold;
        fold.add(text);
        fold.add(noise);
        const LineCounts lines = fold.finish().lines;
        RC_ASSERT(lines.read + lines.damaged + lines.foreign <= 2);
    });
}
