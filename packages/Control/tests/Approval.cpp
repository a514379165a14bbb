#include "LogTransport.h"

#include <filbertspoke/Control>

#include <string>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;

namespace {

std::string questionnaireText(const std::string& team, int share, const std::string& account = "bole")
{
    return "organisation: Gearwell Systems\nteam: " + team + "\nweighsMore: throughput\nfailureDomains: [addis-bole]\nservices:\n    - {name: " + team
        + "-app, answerWithinMs: 100, calls: []}\naccounts:\n    - {name: " + account + ", share: " + std::to_string(share) + "}\n";
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

}

BOOST_FIXTURE_TEST_CASE(approvedQuestionnaireIsInForce, OperatorCommands)
{
    const CommandOutcome outcome = this->approve(questionnaireText("bench", 1));

    BOOST_TEST((outcome.exitCode == ExitCode::Done), outcome.error);
    BOOST_TEST(contains(outcome.output, "Accepted as revision 1"));
    BOOST_TEST(contains(this->diff(questionnaireText("bench", 1)).output, "No difference"));
    BOOST_TEST(contains(this->diff(questionnaireText("bench", 2)).output, "share changes from 1 to 2."));
}

BOOST_FIXTURE_TEST_CASE(approvingTwiceAppendsNothing, OperatorCommands)
{
    this->approve(questionnaireText("bench", 1));
    const CommandOutcome outcome = this->approve(questionnaireText("bench", 1));

    BOOST_TEST((outcome.exitCode == ExitCode::Done));
    BOOST_TEST(contains(outcome.output, "Already in force as revision 1"));
    BOOST_TEST(!contains(this->audit().output, "offset 2"));
}

BOOST_FIXTURE_TEST_CASE(lostAppendResponseIsResolvedFromTheLog, OperatorCommands)
{
    this->transport.control({ { "loseNextAppendAnswers", 1 } });

    const CommandOutcome outcome = this->approve(questionnaireText("bench", 1));

    BOOST_TEST((outcome.exitCode == ExitCode::Done), outcome.error);
    BOOST_TEST(contains(outcome.output, "Accepted as revision 1"));
}

BOOST_FIXTURE_TEST_CASE(staleBaseIsRefusedWithoutAnAppend, OperatorCommands)
{
    this->approve(questionnaireText("bench", 1));
    this->approve(questionnaireText("bench", 2), "abebe");

    const CommandOutcome outcome = this->approve(questionnaireText("bench", 3), "hanna", 1);

    BOOST_TEST((outcome.exitCode == ExitCode::Refused));
    BOOST_TEST(contains(outcome.error, "is based on revision 1, but revision 2 by abebe"));
    BOOST_TEST(!contains(this->audit().output, "offset 3"));
}

BOOST_FIXTURE_TEST_CASE(refusalAfterAConcurrentChangeNamesTheAcceptedOne, OperatorCommands)
{
    this->approve(questionnaireText("bench", 1));
    this->transport.beforeAppend = [this] {
        Approval approval;
        approval.change = "abebe's";
        approval.author = "abebe";
        approval.approver = "dawit";
        approval.answers = questionnaireText("bench", 7);
        this->append(configurationStream, makeChange(std::get<Questionnaire>(parseQuestionnaire(approval.answers)), approval, 1));
    };

    const CommandOutcome outcome = this->approve(questionnaireText("bench", 2), "hanna", std::nullopt, OutputFormat::Json);

    BOOST_TEST((outcome.exitCode == ExitCode::Refused));
    BOOST_TEST(outcome.output == "{\"outcome\":\"refused\",\"reason\":\"stale-base\",\"winner\":2,\"winnerAuthor\":\"abebe\"}\n");
    BOOST_TEST(contains(this->audit().output, "refused (stale-base, revision 2 won): bench by hanna"));
}

BOOST_FIXTURE_TEST_CASE(duplicateAppendDoesNotHideTheAcceptedChange, OperatorCommands)
{
    this->transport.afterAppend = [this] {
        Approval approval;
        approval.change = "change-1";
        approval.author = "hanna";
        approval.approver = "dawit";
        approval.answers = questionnaireText("bench", 1);
        this->append(configurationStream, makeChange(std::get<Questionnaire>(parseQuestionnaire(approval.answers)), approval, std::nullopt));
    };

    const CommandOutcome outcome = this->approve(questionnaireText("bench", 1));

    BOOST_TEST((outcome.exitCode == ExitCode::Done));
    BOOST_TEST(contains(this->audit().output, "offset 2 refused (change-repeated, it stands as revision 1)"));
}

BOOST_FIXTURE_TEST_CASE(authorCannotApprove, OperatorCommands)
{
    const CommandOutcome outcome = this->approve(questionnaireText("bench", 1), "dawit");

    BOOST_TEST((outcome.exitCode == ExitCode::Refused));
    BOOST_TEST(contains(outcome.error, "two persons"));
    BOOST_TEST(contains(this->audit().output, "No configuration is in force."));
}

BOOST_FIXTURE_TEST_CASE(nameUsedByAnotherTeamIsRefused, OperatorCommands)
{
    this->approve(questionnaireText("bench", 1));

    BOOST_TEST((this->approve(questionnaireText("office", 1)).exitCode == ExitCode::Refused));
    BOOST_TEST((this->approve(questionnaireText("office", 1, "merkato")).exitCode == ExitCode::Done));
}

BOOST_FIXTURE_TEST_CASE(unreachableLogChangesNothing, OperatorCommands)
{
    this->transport.unreachable = true;

    const CommandOutcome outcome = this->approve(questionnaireText("bench", 1));

    BOOST_TEST((outcome.exitCode == ExitCode::Unreachable));
    BOOST_TEST(contains(outcome.error, "Nothing was changed"));
}

BOOST_FIXTURE_TEST_CASE(rejectedAppendChangesNothing, OperatorCommands)
{
    this->transport.control({ { "rejectAppends", true } });

    BOOST_TEST((this->approve(questionnaireText("bench", 1)).exitCode == ExitCode::Unreachable));
}

BOOST_FIXTURE_TEST_CASE(onlyClientErrorsMeanThatNothingWasAppended, OperatorCommands)
{
    for (const unsigned status : { 202U, 302U, 503U }) {
        this->transport.appendResponse = HttpResponse { status, {}, {} };
        BOOST_TEST((this->approve(questionnaireText("bench", 1)).exitCode == ExitCode::OutcomeUnknown), status);
    }
    this->transport.appendResponse = HttpResponse { 400, {}, {} };
    BOOST_TEST((this->approve(questionnaireText("bench", 1)).exitCode == ExitCode::Unreachable));
}

BOOST_FIXTURE_TEST_CASE(lostResponseAndUnreachableLogLeaveTheOutcomeUnknown, OperatorCommands)
{
    this->transport.afterAppend = [this] { this->transport.unreachable = true; };

    const CommandOutcome outcome = this->approve(questionnaireText("bench", 1));

    BOOST_TEST((outcome.exitCode == ExitCode::OutcomeUnknown));
    BOOST_TEST(contains(outcome.error, "may have been appended"));
    BOOST_TEST(this->transport.retryWaits > 0);
    this->transport.unreachable = false;
    BOOST_TEST(contains(this->approve(questionnaireText("bench", 1)).output, "Already in force as revision 1"));
}

BOOST_FIXTURE_TEST_CASE(truncatedLogWithoutCheckpointPreventsChanges, OperatorCommands)
{
    this->approve(questionnaireText("bench", 1));
    this->approve(questionnaireText("bench", 2));
    this->transport.control({ { "truncateBefore", { { "stream", "configuration" }, { "offset", 2 } } } });

    BOOST_TEST((this->approve(questionnaireText("bench", 3)).exitCode == ExitCode::Unreachable));
    const std::string report = this->audit().output;
    BOOST_TEST(contains(report, "no longer holds records before offset 2"));
    BOOST_TEST(contains(report, "offset 2 not decided"));
}

BOOST_FIXTURE_TEST_CASE(auditShowsWhenDaemonsActivatedARevision, OperatorCommands)
{
    this->approve(questionnaireText("bench", 1));
    this->append(inForceStream, InForceReport { DaemonId("addis-bole-1"), { { 1, WallTime(std::chrono::milliseconds(60250)) } } });

    BOOST_TEST(contains(this->audit().output, "in force at addis-bole-1 since 1970-01-01T00:01:00.250Z"));
    BOOST_TEST(contains(this->audit(OutputFormat::Json).output, "\"inForce\":{\"addis-bole-1\":\"1970-01-01T00:01:00.250Z\"}"));
}

BOOST_FIXTURE_TEST_CASE(questionnaireProblemsAreListed, OperatorCommands)
{
    const CommandOutcome outcome = this->run(GenerateCommand { "answers.yaml" }, "team: Bench\n");

    BOOST_TEST((outcome.exitCode == ExitCode::MalformedInput));
    BOOST_TEST(contains(outcome.error, "answers.yaml: line 1: team: must be"));
    BOOST_TEST(contains(outcome.error, "organisation"));
    BOOST_TEST((this->approve("team: Bench\n").exitCode == ExitCode::MalformedInput));
}
