#include "../filbertspoke/src/Router/CallHandler.h"

#include <filbertspoke/Router>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

using internal::CallHandler;
using internal::RouterContext;

const std::string callerKey = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";
const Now start(TimePoint(1h), CallerKey::parse(callerKey)->time() + 1s);

Configuration configuration()
{
    const ServiceConfiguration service { ServiceId("bench-app"), { { "GET", "/stock", true, false }, { "GET", "/prices", true, true }, { "POST", "/bookings", false, false } }, 5s };
    return Configuration::Builder().service(service).account({ AccountId("addis"), 1, 0, 0 }).build();
}

ListedDaemon peer(const char* name)
{
    return { DaemonId(name), FailureDomainId("addis-merkato"), "127.0.0.9", 9000 };
}

// A CallHandler with two replicas of bench-app, a peer daemon and a log that answers immediately.
struct Fixture {
    explicit Fixture(const char* name = "d1", std::uint64_t incarnation = 7)
        : context({ DaemonId(name), FailureDomainId("addis-bole"), incarnation }, 1)
        , handler(this->context)
    {
        this->context.configuration = std::make_shared<const ConfigurationInForce>(ConfigurationInForce { 1, configuration() });
        for (const char* replica : { "s1", "s2" })
            this->context.endpoints.put(Endpoint::Builder(EndpointId(replica)).role(ServiceRole { ServiceId("bench-app") }).build());
        for (const char* other : { "d1", "d2" })
            this->context.peers.emplace(DaemonId(other), peer(other));
        Actions actions;
        this->handler.start(this->now, actions);
        this->carryOut(std::move(actions));
    }

    template <typename Event>
    void handle(const Event& event)
    {
        Actions actions;
        this->handler.handle(event, this->now, actions);
        this->carryOut(std::move(actions));
    }
    // Answers the actions for the log, with failures while it is unreachable; stores all other actions except metrics.
    void carryOut(Actions actions)
    {
        for (Action& action : actions) {
            if (const auto* append = std::get_if<AppendRecords>(&action))
                this->append(*append);
            else if (const auto* read = std::get_if<ReadRecords>(&action))
                this->read(*read);
            else if (!std::holds_alternative<CountMetric>(action))
                this->seen.push_back(std::move(action));
        }
    }
    void append(const AppendRecords& append)
    {
        if (!this->logReachable)
            return this->handle(AppendFailed { append.append, false });
        const LogOffset first = this->log.size();
        for (const std::string& payload : append.payloads)
            this->log.push_back({ append.stream, this->log.size(), payload });
        this->handle(RecordsAppended { append.append, first });
    }
    void read(const ReadRecords& read)
    {
        if (!this->logReachable)
            return this->handle(ReadFailed { read.stream });
        const auto first = this->log.begin() + static_cast<std::ptrdiff_t>(read.from);
        this->handle(RecordsRead { read.stream, { first, this->log.end() }, 0, this->log.size() });
    }
    void advance(Duration time)
    {
        const TimePoint end = this->now.monotonic() + time;
        while (this->now.monotonic() < end) {
            const TimePoint next = std::clamp(this->handler.nextWake().value_or(end), this->now.monotonic() + 1ms, end);
            this->now = this->now.after(next - this->now.monotonic());
            this->handle(Tick {});
        }
    }
    void call(const char* request, const char* method, const char* path, std::optional<std::string> key = std::nullopt)
    {
        this->handle(CallReceived { RequestId(request), AccountId("addis"), { ServiceId("bench-app"), method, path, "application/json", "{}" }, std::move(key), std::nullopt });
    }
    void callBooking(const char* request, std::optional<std::string> key = std::nullopt)
    {
        this->call(request, "POST", "/bookings", std::move(key));
        this->advance(20ms);
    }

    template <typename Kind>
    std::vector<Kind> take()
    {
        std::vector<Kind> found;
        for (const Action& action : this->seen) {
            if (const Kind* kind = std::get_if<Kind>(&action))
                found.push_back(*kind);
        }
        std::erase_if(this->seen, [](const Action& action) { return std::holds_alternative<Kind>(action); });
        return found;
    }
    template <typename Kind>
    Kind takeOne()
    {
        const std::vector<Kind> found = this->take<Kind>();
        BOOST_REQUIRE_EQUAL(found.size(), 1u);
        return found.front();
    }
    void answer(const SendCall& sent)
    {
        this->handle(CallAnswered { sent.endpoint, sent.request, sent.attempt, { 201, "text/plain", "booked" }, false });
    }
    void notRun(const SendCall& sent) { this->handle(CallAnswered { sent.endpoint, sent.request, sent.attempt, { 503, "", "" }, true }); }
    void fail(const SendCall& sent, bool maybeSent) { this->handle(CallFailed { sent.endpoint, sent.request, sent.attempt, maybeSent }); }

    RouterContext context;
    CallHandler handler;
    Now now = start;
    bool logReachable = true;
    std::vector<LogRecord> log;
    Actions seen;
};

}

BOOST_AUTO_TEST_CASE(failedIdempotentCallIsRetriedAtAnotherReplica)
{
    Fixture daemon;
    daemon.call("r1", "GET", "/stock");
    const auto first = daemon.takeOne<SendCall>();
    daemon.fail(first, true);
    const auto second = daemon.takeOne<SendCall>();
    BOOST_TEST((second.endpoint != first.endpoint));
    daemon.answer(second);
    BOOST_TEST((daemon.takeOne<AnswerCall>().answer.status == 201u));
    daemon.answer(first);
    BOOST_TEST(daemon.take<AnswerCall>().empty());
}

BOOST_AUTO_TEST_CASE(actionThatMayHaveRunIsNeverRepeated)
{
    for (const std::optional<std::string>& key : { std::optional<std::string>(), std::optional(callerKey) }) {
        Fixture daemon;
        daemon.callBooking("r1", key);
        daemon.fail(daemon.takeOne<SendCall>(), true);
        BOOST_TEST(daemon.take<SendCall>().empty());
        const auto refused = daemon.takeOne<RefuseRequest>();
        BOOST_TEST((refused.refusal == Refusal(ErrorCode::OutcomeUnknown, Ran::Unknown)));
        daemon.callBooking("r2", key ? key : refused.idempotencyKey);
        BOOST_TEST(daemon.take<SendCall>().empty());
        BOOST_TEST((daemon.takeOne<RefuseRequest>().refusal.ran() == Ran::Unknown));
    }
}

BOOST_AUTO_TEST_CASE(actionThatDidNotRunIsRetriedAtAnotherReplica)
{
    Fixture daemon;
    daemon.callBooking("r1", callerKey);
    const auto first = daemon.takeOne<SendCall>();
    daemon.fail(first, false);
    const auto second = daemon.takeOne<SendCall>();
    BOOST_TEST((second.endpoint != first.endpoint));
    daemon.notRun(second);
    const auto refused = daemon.takeOne<RefuseRequest>();
    BOOST_TEST((refused.refusal.ran() == Ran::No));
    BOOST_TEST(refused.refusal.retryAfter().has_value());
    daemon.callBooking("r2", callerKey);
    daemon.answer(daemon.takeOne<SendCall>());
    BOOST_TEST(daemon.takeOne<AnswerCall>().answer.body == "booked");
}

BOOST_AUTO_TEST_CASE(retriedActionGetsTheStoredOutcome)
{
    Fixture daemon;
    daemon.callBooking("r1", callerKey);
    daemon.answer(daemon.takeOne<SendCall>());
    daemon.take<AnswerCall>();
    daemon.callBooking("r2", callerKey);
    BOOST_TEST(daemon.take<SendCall>().empty());
    BOOST_TEST(daemon.takeOne<AnswerCall>().answer.body == "booked");
}

BOOST_AUTO_TEST_CASE(actionWithoutAKeyRunsWhileThePlatformIsUnavailable)
{
    Fixture daemon;
    daemon.logReachable = false;
    daemon.callBooking("r1");
    daemon.answer(daemon.takeOne<SendCall>());
    const auto answered = daemon.takeOne<AnswerCall>();
    BOOST_REQUIRE(answered.idempotencyKey.has_value());
    daemon.callBooking("r2", answered.idempotencyKey);
    BOOST_TEST(daemon.take<SendCall>().empty());
    BOOST_TEST((daemon.takeOne<AnswerCall>().answer == answered.answer));
}

BOOST_AUTO_TEST_CASE(callerKeyIsRefusedImmediatelyWhileThePlatformIsUnavailable)
{
    Fixture daemon;
    daemon.logReachable = false;
    daemon.callBooking("r1", callerKey);
    BOOST_TEST(daemon.take<SendCall>().empty());
    const auto refused = daemon.takeOne<RefuseRequest>();
    BOOST_TEST((refused.refusal.code() == ErrorCode::PlatformUnavailable));
    BOOST_TEST(refused.refusal.retryAfter().has_value());
    daemon.logReachable = true;
    daemon.advance(2s);
    daemon.callBooking("r2", callerKey);
    daemon.answer(daemon.takeOne<SendCall>());
    BOOST_TEST(daemon.take<AnswerCall>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(callerMayRequestABoundKeyBeforeItsCall)
{
    Fixture daemon;
    daemon.logReachable = false;
    daemon.handle(KeyRequested { RequestId("r1"), AccountId("addis"), std::nullopt });
    const std::string key = daemon.takeOne<AnswerCall>().idempotencyKey.value();
    daemon.callBooking("r2", key);
    daemon.handle(CallerDisconnected { RequestId("r2") });
    daemon.answer(daemon.takeOne<SendCall>());
    daemon.callBooking("r3", key);
    BOOST_TEST(daemon.take<SendCall>().empty());
    BOOST_TEST(daemon.takeOne<AnswerCall>().answer.body == "booked");
}

BOOST_AUTO_TEST_CASE(callWithABoundKeyOfAnotherDaemonIsForwarded)
{
    Fixture asked("d1");
    Fixture holder("d2");
    holder.callBooking("r1");
    holder.answer(holder.takeOne<SendCall>());
    const auto first = holder.takeOne<AnswerCall>();

    asked.callBooking("r2", first.idempotencyKey);
    BOOST_TEST(asked.take<SendCall>().empty());
    const auto forwarded = asked.takeOne<SendToPeer>();
    BOOST_TEST((forwarded.peer.id == DaemonId("d2")));
    holder.handle(PeerMessageReceived { DaemonId("d1"), forwarded.message });
    BOOST_TEST(holder.take<SendCall>().empty());
    const auto back = holder.takeOne<SendToPeer>();
    BOOST_TEST((back.peer.id == DaemonId("d1")));
    asked.handle(PeerMessageReceived { DaemonId("d2"), back.message });
    BOOST_TEST((asked.takeOne<AnswerCall>().answer == first.answer));
}

BOOST_AUTO_TEST_CASE(outcomeOfABoundKeyOfALostDaemonIsUnknown)
{
    Fixture restarted("d2", 9);
    restarted.callBooking("r1", BoundKey { DaemonId("d2"), 7, 1 }.str());
    BOOST_TEST((restarted.takeOne<RefuseRequest>().refusal.ran() == Ran::Unknown));

    Fixture asked("d1");
    asked.callBooking("r2", BoundKey { DaemonId("d2"), 7, 1 }.str());
    asked.handle(PeerSendFailed { DaemonId("d2") });
    const auto unreached = asked.takeOne<RefuseRequest>();
    BOOST_TEST((unreached.refusal.code() == ErrorCode::PeerUnreachable));
    BOOST_TEST((unreached.refusal.ran() == Ran::Unknown));
    asked.callBooking("r3", BoundKey { DaemonId("d9"), 7, 1 }.str());
    BOOST_TEST((asked.takeOne<RefuseRequest>().refusal.ran() == Ran::Unknown));
}

BOOST_AUTO_TEST_CASE(requestsAreRefusedAtTheDeadline)
{
    Fixture daemon;
    daemon.call("r1", "GET", "/stock");
    daemon.callBooking("r2", callerKey);
    const auto sent = daemon.take<SendCall>();
    daemon.advance(5s);
    const auto refused = daemon.take<RefuseRequest>();
    BOOST_REQUIRE_EQUAL(refused.size(), 2u);
    for (const RefuseRequest& refusal : refused) {
        BOOST_TEST((refusal.refusal.ran() == Ran::Unknown));
        BOOST_TEST(refusal.refusal.retryAfter().has_value());
    }
    BOOST_TEST((daemon.takeOne<CancelCall>().request == RequestId("r1")));
    daemon.answer(sent.back());
    daemon.callBooking("r3", callerKey);
    BOOST_TEST(daemon.takeOne<AnswerCall>().answer.body == "booked");
}

BOOST_AUTO_TEST_CASE(hedgedCallIsSentToASecondReplicaWhenTheFirstIsSlow)
{
    Fixture daemon;
    daemon.call("r1", "GET", "/prices");
    const SendCall first = daemon.takeOne<SendCall>();
    daemon.advance(200ms);
    const SendCall second = daemon.takeOne<SendCall>();
    BOOST_TEST((second.endpoint != first.endpoint));
    daemon.answer(second);
    BOOST_TEST((daemon.takeOne<AnswerCall>().request == RequestId("r1")));
    BOOST_TEST((daemon.takeOne<CancelCall>() == CancelCall { first.endpoint, RequestId("r1"), first.attempt }));
    daemon.answer(first);
    BOOST_TEST(daemon.take<AnswerCall>().empty());
}

BOOST_AUTO_TEST_CASE(firstReplicaCanAnswerAfterTheHedgeFailed)
{
    Fixture daemon;
    daemon.call("r1", "GET", "/prices");
    const SendCall first = daemon.takeOne<SendCall>();
    daemon.advance(200ms);
    daemon.fail(daemon.takeOne<SendCall>(), true);
    BOOST_TEST(daemon.take<RefuseRequest>().empty());
    daemon.answer(first);
    BOOST_TEST((daemon.takeOne<AnswerCall>().request == RequestId("r1")));
}

BOOST_AUTO_TEST_CASE(callsWithoutHedgingWaitForTheirReplica)
{
    Fixture daemon;
    daemon.call("r1", "GET", "/stock");
    daemon.callBooking("r2");
    BOOST_TEST(daemon.take<SendCall>().size() == 2u);
    daemon.advance(2s);
    BOOST_TEST(daemon.take<SendCall>().empty());
}

BOOST_AUTO_TEST_CASE(hedgesAreLimitedByTheRetryBudget)
{
    constexpr std::size_t calls = 100;
    Fixture daemon;
    for (std::size_t number = 0; number < calls; ++number)
        daemon.call(("r" + std::to_string(number)).c_str(), "GET", "/prices");
    daemon.advance(200ms);
    const std::size_t hedges = daemon.take<SendCall>().size() - calls;
    BOOST_TEST(hedges > 0u);
    BOOST_TEST(hedges <= 30u); // a reserve of 10, and one per five calls
}

BOOST_AUTO_TEST_CASE(actionContinuesAfterItsCallerDisconnected)
{
    Fixture daemon;
    daemon.call("r1", "GET", "/stock");
    daemon.callBooking("r2", callerKey);
    const auto sent = daemon.take<SendCall>();
    daemon.handle(CallerDisconnected { RequestId("r1") });
    daemon.handle(CallerDisconnected { RequestId("r2") });
    BOOST_TEST((daemon.takeOne<CancelCall>().request == RequestId("r1")));
    BOOST_TEST(daemon.handler.inProgress() == 2u); // the run, and its key in the log without an outcome
    daemon.answer(sent.back());
    daemon.advance(20ms);
    BOOST_TEST(daemon.handler.inProgress() == 0u);
    daemon.callBooking("r3", callerKey);
    BOOST_TEST(daemon.takeOne<AnswerCall>().answer.body == "booked");
}

BOOST_AUTO_TEST_CASE(callsMissingFromTheConfigurationAreRefused)
{
    Fixture daemon;
    daemon.call("r1", "DELETE", "/stock");
    BOOST_TEST((daemon.takeOne<RefuseRequest>().refusal == Refusal(ErrorCode::UnknownPath, Ran::No)));
    daemon.handle(CallReceived { RequestId("r2"), AccountId("addis"), { ServiceId("nobody"), "GET", "/", "", "" }, std::nullopt, std::nullopt });
    BOOST_TEST((daemon.takeOne<RefuseRequest>().refusal == Refusal(ErrorCode::UnknownService, Ran::No)));
    daemon.call("r3", "POST", "/bookings", "no uuid");
    BOOST_TEST((daemon.takeOne<RefuseRequest>().refusal == Refusal(ErrorCode::MalformedKey, Ran::No)));
    daemon.call("r4", "POST", "/bookings", "bound.1");
    BOOST_TEST((daemon.takeOne<RefuseRequest>().refusal == Refusal(ErrorCode::MalformedKey, Ran::No)));
}
