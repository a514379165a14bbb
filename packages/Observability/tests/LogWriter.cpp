#include <filbertspoke/Observability>

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace filbertspoke;

BOOST_AUTO_TEST_CASE(linesAreJsonAndLowerLevelsAreDiscarded)
{
    std::ostringstream stream;
    LogWriter::open(stream, "warning", DaemonId("d1"));
    LogWriter::write({ WriteLog::Level::Info, "started", {} });
    LogWriter::write({ WriteLog::Level::Warning, "stage-lost", { { "endpoint", "engine \"7\"" } } });

    const std::string text = stream.str();
    BOOST_TEST(text.find("started") == std::string::npos);
    BOOST_TEST(text.find("\"level\":\"warning\",\"daemon\":\"d1\",\"event\":\"stage-lost\",\"endpoint\":\"engine \\\"7\\\"\"}\n") != std::string::npos);
}
