#include <filbertspoke/Control>
#include <filbertspoke/ProcessTesting>

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;

namespace {

Arguments parsedArguments(const std::vector<std::string>& words)
{
    return std::get<Arguments>(parseArguments(words));
}

CommandOutcome parseOutcome(const std::vector<std::string>& words)
{
    const auto parsed = parseArguments(words);
    BOOST_TEST_REQUIRE(std::holds_alternative<CommandOutcome>(parsed));
    return std::get<CommandOutcome>(parsed);
}

}

BOOST_AUTO_TEST_CASE(commandsAreParsed)
{
    const HttpAddress log { "10.0.0.9", 9001 };
    BOOST_TEST((parsedArguments({ "generate", "a.yaml" }).command == Command(GenerateCommand { "a.yaml" })));
    BOOST_TEST((parsedArguments({ "diff", "a.yaml", "--log", "10.0.0.9:9001" }).command == Command(DiffCommand { "a.yaml", log })));
    BOOST_TEST((parsedArguments({ "approve", "a.yaml", "--author", "a", "--approver", "b", "--base", "7", "--log", "10.0.0.9:9001" }).command == Command(ApproveCommand { "a.yaml", log, "a", "b", 7 })));
    BOOST_TEST((parsedArguments({ "audit", "--log", "10.0.0.9:9001", "--output", "json" }) == Arguments { AuditCommand { log, {} }, OutputFormat::Json }));
    BOOST_TEST((parsedArguments({ "--output", "json", "status", "--daemon", "[::1]:8082" }) == Arguments { StatusCommand { { "::1", 8082 } }, OutputFormat::Json }));
    BOOST_TEST((parsedArguments({ "explain", "r-1", "--daemon", "10.0.0.9:9001" }).command == Command(ExplainCommand { log, "r-1" })));
}

BOOST_AUTO_TEST_CASE(helpShowsExamples)
{
    const CommandOutcome help = parseOutcome({ "--help" });

    BOOST_TEST((help.exitCode == ExitCode::Done));
    BOOST_TEST(help.output.find("Examples:") != std::string::npos);
    BOOST_TEST((parseOutcome({ "approve", "--help" }).exitCode == ExitCode::Done));
}

BOOST_AUTO_TEST_CASE(invalidArgumentsAreMalformedInput)
{
    const std::vector<std::vector<std::string>> invalidCommandLines = {
        {}, { "publish" }, { "generate" }, { "approve", "a.yaml", "--log", "10.0.0.9:9001" }, { "audit", "--log", "10.0.0.9" },
        { "audit", "--log", "10.0.0.9:port" }, { "audit", "--log", "10.0.0.9:99999" }, { "audit", "--log", "1.2.3.4:1", "--output", "xml" }
    };
    for (const std::vector<std::string>& words : invalidCommandLines) {
        const CommandOutcome outcome = parseOutcome(words);
        BOOST_TEST((outcome.exitCode == ExitCode::MalformedInput));
        BOOST_TEST(!outcome.error.empty());
    }
}

BOOST_AUTO_TEST_CASE(programApprovesAndAudits)
{
    const StandInProcess log = StandInProcess::start({ "log" });
    const std::string address = log.address.address + ":" + std::to_string(log.address.port);
    const std::string answers = FILBERTSPOKE_EXAMPLES "/gearwell.questionnaire.yaml";

    BOOST_TEST(Process("filbertspokectl", { "generate", answers }).wait() == 0);
    BOOST_TEST(Process("filbertspokectl", { "approve", answers, "--author", "hanna", "--approver", "dawit", "--log", address }).wait() == 0);
    BOOST_TEST(Process("filbertspokectl", { "approve", answers, "--author", "hanna", "--approver", "hanna", "--base", "9", "--log", address }).wait() == 0);
    BOOST_TEST(Process("filbertspokectl", { "generate", "/no/such/file" }).wait() == 2);
    BOOST_TEST(Process("filbertspokectl", { "status", "--daemon", ownLoopbackAddress(1) + ":" + std::to_string(freePort(ownLoopbackAddress(1))) }).wait() == 4);

    Process audit("filbertspokectl", { "audit", "--log", address });
    BOOST_TEST(audit.readLine().value_or("").starts_with("offset 1 accepted: workshop-assistant by hanna, approved by dawit"));
    BOOST_TEST(audit.readLine().value_or("") == "In force: revision 1.");
    BOOST_TEST(audit.wait() == 0);
}
