#include "RouterFixtures.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;
using namespace filbertspoke::testing;
using namespace std::chrono_literals;

namespace {

/** \brief A Router in virtual time, with engines that answer on demand. */
struct Fixture {
    Fixture()
        : router({ DaemonId("d"), FailureDomainId("a"), 1 }, 7)
    {
        this->router.start(this->now);
        this->handle(RecordsRead { "configuration", { { "configuration", 0, initialConfigurationRecord() } }, 0, 1 });
        this->listHosts({ listedEngine("e1", { 0, 4 }), listedEngine("e2", { 4, 8 }), listedEngine("e3", { 4, 8 }) });
        for (const char* id : { "e1", "e2", "e3" })
            this->handle(EndpointReported { EndpointId(id), LoadReport { 0, 0, 100, false }, std::nullopt });
    }

    Actions handle(const Event& event)
    {
        this->now = this->now.after(1ms);
        return this->router.handle(event, this->now);
    }

    void listHosts(std::vector<ListedHost> hosts) { this->handle(HostsListed { std::move(hosts) }); }

    Actions sendRequest(std::uint32_t tokens, std::optional<Duration> deadline = std::nullopt)
    {
        CompletionReceived event;
        event.request = RequestId("r");
        event.account = AccountId("acme");
        event.model = ModelId("m");
        event.prompt = "true the wheel";
        event.maximumTokens = tokens;
        event.stream = true;
        event.deadline = deadline;
        return this->handle(event);
    }

    Actions answer(const SendStep& step, const std::string& output)
    {
        return this->handle(StepAnswered { step.endpoint, StepReceipt(step.step, StepStatus::Ok, output) });
    }

    /** \brief Lets time pass until the outstanding step has no answer in time. */
    Actions timeOutStep()
    {
        Actions actions;
        while (collect<SendStep>(actions).empty() && collect<RefuseRequest>(actions).empty()) {
            BOOST_REQUIRE(this->router.nextWake().has_value());
            this->now = this->now.after(*this->router.nextWake() - this->now.monotonic());
            actions = this->router.handle(Tick {}, this->now);
        }
        return actions;
    }

    Router router;
    Now now { TimePoint {}, WallTime {} };
};

SendStep onlyStep(const Actions& actions)
{
    const auto steps = collect<SendStep>(actions);
    BOOST_REQUIRE(steps.size() == 1);
    return steps.front();
}

ErrorCode refusalCode(const Actions& actions)
{
    const auto refusals = collect<RefuseRequest>(actions);
    BOOST_REQUIRE(refusals.size() == 1);
    return refusals.front().refusal.code();
}

}

BOOST_FIXTURE_TEST_CASE(requestRunsFromEndToEnd, Fixture)
{
    const SendStep first = onlyStep(this->sendRequest(2));
    BOOST_TEST((first.step.layers() == LayerRange(0, 4)));
    const SendStep second = onlyStep(this->answer(first, "x"));
    BOOST_TEST((second.step.layers() == LayerRange(4, 8)));

    const Actions afterToken = this->answer(second, "hub");
    BOOST_TEST((collect<EmitToken>(afterToken) == std::vector<EmitToken> { { RequestId("r"), 0, "hub" } }));
    const SendStep third = onlyStep(afterToken);
    const SendStep fourth = onlyStep(this->answer(third, "y"));
    const Actions last = this->answer(fourth, "rim");
    BOOST_TEST((collect<EmitToken>(last) == std::vector<EmitToken> { { RequestId("r"), 1, "rim" } }));
    BOOST_TEST((collect<CompleteRequest>(last) == std::vector<CompleteRequest> { { RequestId("r"), "length" } }));
    BOOST_TEST(this->router.status().requestsInProgress == 0u);
    BOOST_TEST(this->router.explain(RequestId("r"))->entries.back().decision == "complete");
}

BOOST_FIXTURE_TEST_CASE(failedStageIsReplacedAndTheStreamContinues, Fixture)
{
    const SendStep first = onlyStep(this->sendRequest(2));
    const SendStep second = onlyStep(this->answer(first, "x"));
    const SendStep third = onlyStep(this->answer(second, "hub"));
    const SendStep failed = onlyStep(this->answer(third, "y"));

    const SendStep retried = onlyStep(this->handle(StepFailed { failed.endpoint, RequestId("r"), failed.step.generation(), failed.step.sequence(), true }));
    BOOST_TEST(retried.step.generation() == 1u);
    BOOST_TEST(retried.step.count() == 4u);
    const SendStep replacement = onlyStep(this->answer(retried, "z"));
    BOOST_TEST(replacement.endpoint != failed.endpoint);
    const Actions last = this->answer(replacement, "rim");
    BOOST_TEST((collect<EmitToken>(last) == std::vector<EmitToken> { { RequestId("r"), 1, "rim" } }));
    BOOST_TEST(collect<CompleteRequest>(last).size() == 1u);
}

// Guards against a stream that ends early without a line that tells why.
BOOST_FIXTURE_TEST_CASE(completionThatEndsEarlyIsLogged, Fixture)
{
    const SendStep first = onlyStep(this->sendRequest(2));
    const SendStep failed = onlyStep(this->answer(first, "x"));
    const auto fail = [this](const SendStep& sent) { return this->handle(StepFailed { sent.endpoint, RequestId("r"), sent.step.generation(), sent.step.sequence(), true }); };
    const SendStep failedAgain = onlyStep(this->answer(onlyStep(fail(failed)), "y"));

    const Actions last = fail(failedAgain);
    BOOST_TEST((refusalCode(last) == ErrorCode::NoPipeline));
    const WriteLog expected { WriteLog::Level::Warning, "completion-ended-early",
        { { "request", "r" }, { "code", "no-pipeline" }, { "tokens", "0" }, { "lost", failed.endpoint.str() + " " + failedAgain.endpoint.str() } } };
    BOOST_TEST((collect<WriteLog>(last) == std::vector<WriteLog> { expected }));
}

BOOST_FIXTURE_TEST_CASE(unresponsiveEngineTimesOutAndIsReplaced, Fixture)
{
    const SendStep first = onlyStep(this->sendRequest(1));
    const SendStep silent = onlyStep(this->answer(first, "x"));
    const SendStep retried = onlyStep(this->timeOutStep());
    const SendStep replacement = onlyStep(this->answer(retried, "z"));
    BOOST_TEST(replacement.endpoint != silent.endpoint);
    // A late answer of the replaced engine is dropped.
    BOOST_TEST(collect<EmitToken>(this->answer(silent, "late")).empty());
}

// Guards against a stream that ends because the last engine for some layers was late once.
BOOST_FIXTURE_TEST_CASE(lateEnginesAreAskedAgainWhenNoOtherIsLeft, Fixture)
{
    const SendStep late = onlyStep(this->answer(onlyStep(this->sendRequest(1)), "x"));
    const SendStep lateToo = onlyStep(this->answer(onlyStep(this->timeOutStep()), "y"));
    BOOST_TEST(lateToo.endpoint != late.endpoint);

    const SendStep again = onlyStep(this->answer(onlyStep(this->timeOutStep()), "z"));
    BOOST_TEST(again.step.generation() == 2u);
    // Late answers to earlier steps are dropped.
    BOOST_TEST(collect<EmitToken>(this->answer(lateToo, "late")).empty());
    const Actions last = this->answer(again, "hub");
    BOOST_TEST((collect<EmitToken>(last) == std::vector<EmitToken> { { RequestId("r"), 0, "hub" } }));
    BOOST_TEST(collect<CompleteRequest>(last).size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(silentEnginesAreNotAskedForEver, Fixture)
{
    this->answer(onlyStep(this->sendRequest(1)), "x");
    int asked = 1;
    Actions actions;
    for (actions = this->timeOutStep(); !collect<SendStep>(actions).empty(); actions = this->timeOutStep()) {
        this->answer(onlyStep(actions), "y");
        ++asked;
    }
    BOOST_TEST((refusalCode(actions) == ErrorCode::EndpointFailed));
    BOOST_TEST(asked == 9);
}

BOOST_FIXTURE_TEST_CASE(disconnectedCallerCancelsEveryStage, Fixture)
{
    const SendStep first = onlyStep(this->sendRequest(4));
    const SendStep second = onlyStep(this->answer(first, "x"));
    const Actions actions = this->handle(CallerDisconnected { RequestId("r") });
    std::vector<EndpointId> cancelled;
    for (const CancelSteps& cancel : collect<CancelSteps>(actions))
        cancelled.push_back(cancel.endpoint);
    BOOST_TEST((cancelled == std::vector<EndpointId> { first.endpoint, second.endpoint }));
    BOOST_TEST(this->router.status().requestsInProgress == 0u);
}

BOOST_FIXTURE_TEST_CASE(unknownModelAndAccountAreRefusedAsNotRun, Fixture)
{
    CompletionReceived event { RequestId("r"), AccountId("acme"), ModelId("other"), "hub", 1, false, 0, std::nullopt, {} };
    const Actions actions = this->handle(event);
    BOOST_TEST((refusalCode(actions) == ErrorCode::UnknownModel));
    BOOST_TEST((collect<RefuseRequest>(actions).front().refusal.ran() == Ran::No));
    event.model = ModelId("m");
    event.account = AccountId("nobody");
    BOOST_TEST((refusalCode(this->handle(event)) == ErrorCode::UnknownAccount));
}

BOOST_FIXTURE_TEST_CASE(requestWithAnIdInUseIsDropped, Fixture)
{
    const SendStep first = onlyStep(this->sendRequest(1));
    const Actions actions = this->sendRequest(1);
    BOOST_TEST(collect<RefuseRequest>(actions).empty());
    BOOST_TEST(collect<CancelSteps>(actions).empty());
    const SendStep second = onlyStep(this->answer(first, "x"));
    BOOST_TEST(collect<CompleteRequest>(this->answer(second, "hub")).size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(missingPipelineIsRefusedImmediatelyWithRetryAfter, Fixture)
{
    this->listHosts({ { listedEngine("e1", { 0, 4 }).member, true }, listedEngine("e2", { 4, 8 }), listedEngine("e3", { 4, 8 }) });
    const Actions actions = this->sendRequest(1);
    BOOST_TEST((refusalCode(actions) == ErrorCode::NoPipeline));
    BOOST_TEST(collect<RefuseRequest>(actions).front().refusal.retryAfter().has_value());
}

BOOST_FIXTURE_TEST_CASE(requestIsRefusedAtItsDeadline, Fixture)
{
    this->sendRequest(1, 50ms);
    this->now = this->now.after(60ms);
    const Actions actions = this->router.handle(Tick {}, this->now);
    BOOST_TEST((refusalCode(actions) == ErrorCode::DeadlineExceeded));
    BOOST_TEST((collect<RefuseRequest>(actions).front().refusal.ran() == Ran::Yes));
}

BOOST_FIXTURE_TEST_CASE(gracefulStopWaitsForRequestsInProgress, Fixture)
{
    const SendStep first = onlyStep(this->sendRequest(1));
    BOOST_TEST(collect<StopProcess>(this->handle(StopRequested {})).empty());
    const SendStep second = onlyStep(this->answer(first, "x"));
    const Actions last = this->answer(second, "hub");
    BOOST_TEST(collect<CompleteRequest>(last).size() == 1u);
    BOOST_TEST(collect<StopProcess>(last).size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(secondStopRefusesRemainingRequests, Fixture)
{
    this->sendRequest(1);
    this->handle(StopRequested {});
    const Actions actions = this->handle(StopRequested {});
    BOOST_TEST((refusalCode(actions) == ErrorCode::Draining));
    BOOST_TEST(collect<StopProcess>(actions).size() == 1u);
}
