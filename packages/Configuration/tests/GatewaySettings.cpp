#include <filbertspoke/Configuration>

#include <boost/test/unit_test.hpp>

#include <set>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const std::string completeYaml = R"(
daemon: front-1
failureDomain: bole
callers: 10.1.0.40:8227
readiness: 10.1.0.40:8220
peers: 10.1.0.40:8229
metrics: 10.1.0.40:7340
handover: 10.1.0.40:7341
seeds: ["10.1.0.40:8229", "10.2.0.29:8229"]
store: 10.200.1.7:8223
heartbeatMs: 1200
retryBudget:
    ratio: 0.2
    reserve: 25
stopTimeoutMs: 8000
requestMemoryMb: 16
)";

std::set<std::string> problemKeys(const std::string& yaml)
{
    const auto parsed = parseGatewaySettings(yaml);
    std::set<std::string> keys;
    if (const auto* problems = std::get_if<std::vector<DocumentProblem>>(&parsed)) {
        for (const DocumentProblem& problem : *problems)
            keys.insert(problem.key);
    }
    return keys;
}

}

BOOST_AUTO_TEST_CASE(gatewaySettingsAreParsed)
{
    const auto parsed = parseGatewaySettings(completeYaml);
    BOOST_REQUIRE(std::holds_alternative<GatewaySettings>(parsed));
    const auto& settings = std::get<GatewaySettings>(parsed);
    BOOST_TEST((settings.daemon == DaemonId("front-1")));
    BOOST_TEST((settings.callers == SocketAddress { "10.1.0.40", 8227 }));
    BOOST_TEST((settings.peers == SocketAddress { "10.1.0.40", 8229 }));
    BOOST_TEST((settings.handover == SocketAddress { "10.1.0.40", 7341 }));
    BOOST_TEST(settings.seeds.size() == 2U);
    BOOST_TEST((settings.heartbeatInterval == Duration(1200ms)));
    BOOST_TEST((settings.retryBudget == RetryBudgetSettings { 0.2, 25 }));
    BOOST_TEST((settings.stopTimeout == Duration(8s)));
    BOOST_TEST(settings.requestMemoryBytes == 16U * 1024 * 1024);
}

BOOST_AUTO_TEST_CASE(peersAndMetricsAreOptional)
{
    const auto parsed = parseGatewaySettings("daemon: d\nfailureDomain: f\ncallers: 10.0.0.1:1\nreadiness: 10.0.0.1:2\nstore: 10.0.0.2:3\n");
    BOOST_REQUIRE(std::holds_alternative<GatewaySettings>(parsed));
    BOOST_TEST(!std::get<GatewaySettings>(parsed).handover.has_value());
    BOOST_TEST(!std::get<GatewaySettings>(parsed).peers.has_value());
}

// Guards against a limit for requests that no request of the largest size fits into.
BOOST_AUTO_TEST_CASE(requestMemoryHasADefaultAndAMinimum)
{
    const std::string required = "daemon: d\nfailureDomain: f\ncallers: 10.0.0.1:1\nreadiness: 10.0.0.1:2\nstore: 10.0.0.2:3\n";
    const auto parsed = parseGatewaySettings(required);
    BOOST_REQUIRE(std::holds_alternative<GatewaySettings>(parsed));
    BOOST_TEST(std::get<GatewaySettings>(parsed).requestMemoryBytes == 64U * 1024 * 1024);
    BOOST_TEST(problemKeys(required + "requestMemoryMb: 7\n").contains("requestMemoryMb"));
    BOOST_TEST(problemKeys(required + "requestMemoryMb: 8\n").empty());
}

BOOST_AUTO_TEST_CASE(allProblemsAreReportedAtOnce)
{
    const auto keys = problemKeys("daemon: d\ncallers: nowhere\nreadiness: 10.0.0.1:99999\nstore: 10.0.0.2:3\nseeds: [\"x\"]\nheartbeatMs: 0\nstopTimeoutMs: -1\nsurprise: 1\n");
    for (const char* key : { "failureDomain", "callers", "readiness", "seeds", "heartbeatMs", "stopTimeoutMs", "surprise" })
        BOOST_TEST(keys.contains(key), key);
}

BOOST_AUTO_TEST_CASE(invalidYamlIsRejected)
{
    BOOST_TEST(!problemKeys("daemon: [").empty());
}
