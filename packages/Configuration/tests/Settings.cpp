#include <filbertspoke/Configuration>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const std::string minimalYaml = R"(daemon: riga-a-1
failureDomain: riga-a
callers: {address: 127.0.0.2}
peers: {address: 127.0.0.2}
operators: {address: 127.0.0.2}
platform:
    log: {address: 127.0.0.9, port: 9001}
    hosts: {address: 127.0.0.9, port: 9002}
)";

std::vector<SettingsProblem> parseProblems(const std::string& yaml)
{
    const auto parsed = parseSettings(yaml);
    const auto* problems = std::get_if<std::vector<SettingsProblem>>(&parsed);
    return problems ? *problems : std::vector<SettingsProblem>();
}

}

BOOST_AUTO_TEST_CASE(minimalSettingsUseDefaults)
{
    const Settings settings = std::get<Settings>(parseSettings(minimalYaml));

    BOOST_TEST(settings.daemon().str() == "riga-a-1");
    BOOST_TEST(settings.callers().port == defaultCallersPort);
    BOOST_TEST((settings.platformHosts() == SocketAddress { "127.0.0.9", 9002 }));
    BOOST_TEST((settings.limits() == CallerLimits()));
    BOOST_TEST((settings.limits().drainTimeout == Duration(30s)));
    BOOST_TEST(!settings.randomSeed().has_value());
}

BOOST_AUTO_TEST_CASE(explicitValuesOverrideDefaults)
{
    const Settings settings = std::get<Settings>(parseSettings(minimalYaml + "limits: {drainMs: 1500, bodyBytes: 2048}\nlogLevel: debug\nrandomSeed: 7\n"));

    BOOST_TEST((settings.limits().drainTimeout == Duration(1500ms)));
    BOOST_TEST(settings.limits().bodyBytes == 2048u);
    BOOST_TEST((settings.logLevel() == LogLevel::Debug));
    BOOST_TEST((settings.randomSeed() == 7u));
}

BOOST_AUTO_TEST_CASE(allProblemsAreReportedAtOnce)
{
    const std::vector<SettingsProblem> problems = parseProblems(R"(daemon: Riga A
callers: {address: balancer.example, port: 80800}
peers: {adress: 127.0.0.2}
operators: 8082
platform:
    log: {address: 127.0.0.9, port: 9001}
limits:
    drainMs: 30s
    drainMs: 40000
)");

    const std::vector<std::tuple<std::uint32_t, std::string, ProblemReason>> expected = {
        { 1, "daemon", ProblemReason::OutOfRange },
        { 1, "failureDomain", ProblemReason::MissingKey },
        { 2, "callers.address", ProblemReason::OutOfRange },
        { 2, "callers.port", ProblemReason::OutOfRange },
        { 3, "peers.address", ProblemReason::MissingKey },
        { 3, "peers.adress", ProblemReason::UnknownKey },
        { 4, "operators", ProblemReason::WrongType },
        { 5, "platform.hosts", ProblemReason::MissingKey },
        { 8, "limits.drainMs", ProblemReason::WrongType },
        { 9, "limits.drainMs", ProblemReason::DuplicateKey },
    };
    BOOST_TEST_REQUIRE(problems.size() == expected.size());
    for (std::size_t index = 0; index < expected.size(); ++index) {
        const SettingsProblem& problem = problems[index];
        BOOST_TEST((std::tuple(problem.line, problem.key, problem.reason) == expected[index]), describe(problem));
        BOOST_TEST(!problem.sentence.empty());
    }
}

BOOST_AUTO_TEST_CASE(invalidYamlIsOneProblemWithLine)
{
    const std::vector<SettingsProblem> problems = parseProblems("daemon: a\nplatform: [unclosed\n");

    BOOST_TEST_REQUIRE(problems.size() == 1u);
    BOOST_TEST((problems[0].reason == ProblemReason::MalformedYaml));
    BOOST_TEST(problems[0].line >= 2u);
}

BOOST_AUTO_TEST_CASE(documentWithoutMappingIsRejected)
{
    BOOST_TEST(!parseProblems("").empty());
    BOOST_TEST(!parseProblems("- a\n- b\n").empty());
}

BOOST_AUTO_TEST_CASE(sampleParsesToDefaultsAndMatchesExampleFile)
{
    const std::string sample = settingsSample();

    const Settings settings = std::get<Settings>(parseSettings(sample));
    BOOST_TEST((settings.limits() == CallerLimits()));
    BOOST_TEST(settings.operators().port == defaultOperatorsPort);

    const std::string path = FILBERTSPOKE_EXAMPLES "/filbertspoked.settings.yaml";
    if (std::getenv("FILBERTSPOKE_REGENERATE"))
        std::ofstream(path) << sample;
    std::stringstream file;
    file << std::ifstream(path).rdbuf();
    BOOST_TEST(file.str() == sample, "run the test with FILBERTSPOKE_REGENERATE=1 and commit the sample");
}
