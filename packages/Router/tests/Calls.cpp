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

// A handler with two replicas of bench-app and a peer daemon, and a log that answers at once.
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
    void on(const Event& event)
    {
        Actions actions;
        this->handler.handle(event, this->now, actions);
        this->carryOut(std::move(actions));
    }
    // Answers what is for the log, when it is up; keeps the rest.
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
        if (!this->logUp)
            return this->on(AppendFailed { append.append, false });
        const LogOffset first = this->log.size();
        for (const std::string& payload : append.payloads)
            this->log.push_back({ append.stream, this->log.size(), payload });
        this->on(RecordsAppended { append.append, first });
    }
    void read(const ReadRecords& read)
    {
        if (!this->logUp)
            return this->on(ReadFailed { read.stream });
        const auto first = this->log.begin() + static_cast<std::ptrdiff_t>(read.from);
        this->on(RecordsRead { read.stream, { first, this->log.end() }, 0, this->log.size() });
    }
    void pass(Duration time)
    {
        const TimePoint end = this->now.monotonic() + time;
        while (this->now.monotonic() < end) {
            const TimePoint next = std::clamp(this->handler.nextWake().value_or(end), this->now.monotonic() + 1ms, end);
            this->now = this->now.after(next - this->now.monotonic());
            this->on(Tick {});
        }
    }
    void call(const char* request, const char* method, const char* path, std::optional<std::string> key = std::nullopt)
    {
        this->on(CallReceived { RequestId(request), AccountId("addis"), { ServiceId("bench-app"), method, path, "application/json", "{}" }, std::move(key), std::nullopt });
    }
    void book(const char* request, std::optional<std::string> key = std::nullopt)
    {
        this->call(request, "POST", "/bookings", std::move(key));
        this->pass(20ms);
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
        this->on(CallAnswered { sent.endpoint, sent.request, sent.attempt, { 201, "text/plain", "booked" }, false });
    }
    void notRun(const SendCall& sent) { this->on(CallAnswered { sent.endpoint, sent.request, sent.attempt, { 503, "", "" }, true }); }
    void lose(const SendCall& sent, bool left) { this->on(CallFailed { sent.endpoint, sent.request, sent.attempt, left }); }

    RouterContext context;
    CallHandler handler;
    Now now = start;
    bool logUp = true;
    std::vector<LogRecord> log;
    Actions seen;
};

}

BOOST_AUTO_TEST_CASE(anIdempotentCallIsRepeatedElsewhere)
{
    Fixture daemon;
    daemon.call("r1", "GET", "/stock");
    const auto first = daemon.takeOne<SendCall>();
    daemon.lose(first, true);
    const auto second = daemon.takeOne<SendCall>();
    BOOST_TEST((second.endpoint != first.endpoint));
    daemon.answer(second);
    BOOST_TEST((daemon.takeOne<AnswerCall>().answer.status == 201u));
    daemon.answer(first);
    BOOST_TEST(daemon.take<AnswerCall>().empty());
}

BOOST_AUTO_TEST_CASE(anActionIsNeverRepeatedOnceAByteLeft)
{
    for (const std::optional<std::string>& key : { std::optional<std::string>(), std::optional(callerKey) }) {
        Fixture daemon;
        daemon.book("r1", key);
        daemon.lose(daemon.takeOne<SendCall>(), true);
        BOOST_TEST(daemon.take<SendCall>().empty());
        const auto refused = daemon.takeOne<RefuseRequest>();
        BOOST_TEST((refused.refusal == Refusal(ErrorCode::OutcomeUnknown, Ran::Unknown)));
        daemon.book("r2", key ? key : refused.idempotencyKey);
        BOOST_TEST(daemon.take<SendCall>().empty());
        BOOST_TEST((daemon.takeOne<RefuseRequest>().refusal.ran() == Ran::Unknown));
    }
}

BOOST_AUTO_TEST_CASE(anActionThatDidNotRunGoesToAnotherReplica)
{
    Fixture daemon;
    daemon.book("r1", callerKey);
    const auto first = daemon.takeOne<SendCall>();
    daemon.lose(first, false);
    const auto second = daemon.takeOne<SendCall>();
    BOOST_TEST((second.endpoint != first.endpoint));
    daemon.notRun(second);
    const auto refused = daemon.takeOne<RefuseRequest>();
    BOOST_TEST((refused.refusal.ran() == Ran::No));
    BOOST_TEST(refused.refusal.retryAfter().has_value());
    daemon.book("r2", callerKey);
    daemon.answer(daemon.takeOne<SendCall>());
    BOOST_TEST(daemon.takeOne<AnswerCall>().answer.body == "booked");
}

BOOST_AUTO_TEST_CASE(aRetriedActionGetsTheFirstAnswer)
{
    Fixture daemon;
    daemon.book("r1", callerKey);
    daemon.answer(daemon.takeOne<SendCall>());
    daemon.take<AnswerCall>();
    daemon.book("r2", callerKey);
    BOOST_TEST(daemon.take<SendCall>().empty());
    BOOST_TEST(daemon.takeOne<AnswerCall>().answer.body == "booked");
}

BOOST_AUTO_TEST_CASE(anActionWithoutAKeyRunsWhileThePlatformIsAway)
{
    Fixture daemon;
    daemon.logUp = false;
    daemon.book("r1");
    daemon.answer(daemon.takeOne<SendCall>());
    const auto answered = daemon.takeOne<AnswerCall>();
    BOOST_REQUIRE(answered.idempotencyKey.has_value());
    daemon.book("r2", answered.idempotencyKey);
    BOOST_TEST(daemon.take<SendCall>().empty());
    BOOST_TEST((daemon.takeOne<AnswerCall>().answer == answered.answer));
}

BOOST_AUTO_TEST_CASE(aCallerKeyIsRefusedAtOnceWhileThePlatformIsAway)
{
    Fixture daemon;
    daemon.logUp = false;
    daemon.book("r1", callerKey);
    BOOST_TEST(daemon.take<SendCall>().empty());
    const auto refused = daemon.takeOne<RefuseRequest>();
    BOOST_TEST((refused.refusal.code() == ErrorCode::PlatformUnavailable));
    BOOST_TEST(refused.refusal.retryAfter().has_value());
    daemon.logUp = true;
    daemon.pass(2s);
    daemon.book("r2", callerKey);
    daemon.answer(daemon.takeOne<SendCall>());
    BOOST_TEST(daemon.take<AnswerCall>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(aCallerMayTakeABoundKeyBeforeItCalls)
{
    Fixture daemon;
    daemon.logUp = false;
    daemon.on(KeyRequested { RequestId("r1"), AccountId("addis"), std::nullopt });
    const std::string key = daemon.takeOne<AnswerCall>().idempotencyKey.value();
    daemon.book("r2", key);
    daemon.on(CallerDisconnected { RequestId("r2") });
    daemon.answer(daemon.takeOne<SendCall>());
    daemon.book("r3", key);
    BOOST_TEST(daemon.take<SendCall>().empty());
    BOOST_TEST(daemon.takeOne<AnswerCall>().answer.body == "booked");
}

BOOST_AUTO_TEST_CASE(aBoundKeyOfAnotherDaemonIsForwarded)
{
    Fixture asked("d1");
    Fixture holder("d2");
    holder.book("r1");
    holder.answer(holder.takeOne<SendCall>());
    const auto first = holder.takeOne<AnswerCall>();

    asked.book("r2", first.idempotencyKey);
    BOOST_TEST(asked.take<SendCall>().empty());
    const auto forwarded = asked.takeOne<SendToPeer>();
    BOOST_TEST((forwarded.peer.id == DaemonId("d2")));
    holder.on(PeerMessageReceived { DaemonId("d1"), forwarded.message });
    BOOST_TEST(holder.take<SendCall>().empty());
    const auto back = holder.takeOne<SendToPeer>();
    BOOST_TEST((back.peer.id == DaemonId("d1")));
    asked.on(PeerMessageReceived { DaemonId("d2"), back.message });
    BOOST_TEST((asked.takeOne<AnswerCall>().answer == first.answer));
}

BOOST_AUTO_TEST_CASE(aBoundKeyWhoseDaemonIsGoneIsUnknown)
{
    Fixture restarted("d2", 9);
    restarted.book("r1", BoundKey { DaemonId("d2"), 7, 1 }.str());
    BOOST_TEST((restarted.takeOne<RefuseRequest>().refusal.ran() == Ran::Unknown));

    Fixture asked("d1");
    asked.book("r2", BoundKey { DaemonId("d2"), 7, 1 }.str());
    asked.on(PeerSendFailed { DaemonId("d2") });
    const auto unreached = asked.takeOne<RefuseRequest>();
    BOOST_TEST((unreached.refusal.code() == ErrorCode::PeerUnreachable));
    BOOST_TEST((unreached.refusal.ran() == Ran::Unknown));
    asked.book("r3", BoundKey { DaemonId("d9"), 7, 1 }.str());
    BOOST_TEST((asked.takeOne<RefuseRequest>().refusal.ran() == Ran::Unknown));
}

BOOST_AUTO_TEST_CASE(requestsGetTheirFinalAnswerAtTheDeadline)
{
    Fixture daemon;
    daemon.call("r1", "GET", "/stock");
    daemon.book("r2", callerKey);
    const auto sent = daemon.take<SendCall>();
    daemon.pass(5s);
    const auto refused = daemon.take<RefuseRequest>();
    BOOST_REQUIRE_EQUAL(refused.size(), 2u);
    for (const RefuseRequest& refusal : refused) {
        BOOST_TEST((refusal.refusal.ran() == Ran::Unknown));
        BOOST_TEST(refusal.refusal.retryAfter().has_value());
    }
    BOOST_TEST((daemon.takeOne<CancelCall>().request == RequestId("r1")));
    daemon.answer(sent.back());
    daemon.book("r3", callerKey);
    BOOST_TEST(daemon.takeOne<AnswerCall>().answer.body == "booked");
}

BOOST_AUTO_TEST_CASE(slowReplicaOfAHedgedCallGetsASecondOneBesideIt)
{
    Fixture daemon;
    daemon.call("r1", "GET", "/prices");
    const SendCall first = daemon.takeOne<SendCall>();
    daemon.pass(200ms);
    const SendCall second = daemon.takeOne<SendCall>();
    BOOST_TEST((second.endpoint != first.endpoint));
    daemon.answer(second);
    BOOST_TEST((daemon.takeOne<AnswerCall>().request == RequestId("r1")));
    BOOST_TEST((daemon.takeOne<CancelCall>() == CancelCall { first.endpoint, RequestId("r1"), first.attempt }));
    daemon.answer(first);
    BOOST_TEST(daemon.take<AnswerCall>().empty());
}

BOOST_AUTO_TEST_CASE(failedHedgeLeavesTheFirstReplicaToAnswer)
{
    Fixture daemon;
    daemon.call("r1", "GET", "/prices");
    const SendCall first = daemon.takeOne<SendCall>();
    daemon.pass(200ms);
    daemon.lose(daemon.takeOne<SendCall>(), true);
    BOOST_TEST(daemon.take<RefuseRequest>().empty());
    daemon.answer(first);
    BOOST_TEST((daemon.takeOne<AnswerCall>().request == RequestId("r1")));
}

BOOST_AUTO_TEST_CASE(callsThatAreNotHedgedWaitForTheirReplica)
{
    Fixture daemon;
    daemon.call("r1", "GET", "/stock");
    daemon.book("r2");
    BOOST_TEST(daemon.take<SendCall>().size() == 2u);
    daemon.pass(2s);
    BOOST_TEST(daemon.take<SendCall>().empty());
}

BOOST_AUTO_TEST_CASE(hedgesComeOutOfABudget)
{
    constexpr std::size_t calls = 100;
    Fixture daemon;
    for (std::size_t number = 0; number < calls; ++number)
        daemon.call(("r" + std::to_string(number)).c_str(), "GET", "/prices");
    daemon.pass(200ms);
    const std::size_t hedges = daemon.take<SendCall>().size() - calls;
    BOOST_TEST(hedges > 0u);
    BOOST_TEST(hedges <= 30u); // a reserve of 10, and one for each five calls
}

BOOST_AUTO_TEST_CASE(anActionGoesOnWithoutItsCaller)
{
    Fixture daemon;
    daemon.call("r1", "GET", "/stock");
    daemon.book("r2", callerKey);
    const auto sent = daemon.take<SendCall>();
    daemon.on(CallerDisconnected { RequestId("r1") });
    daemon.on(CallerDisconnected { RequestId("r2") });
    BOOST_TEST((daemon.takeOne<CancelCall>().request == RequestId("r1")));
    BOOST_TEST(daemon.handler.inProgress() == 2u); // the run, and its claim in the log
    daemon.answer(sent.back());
    daemon.pass(20ms);
    BOOST_TEST(daemon.handler.inProgress() == 0u);
    daemon.book("r3", callerKey);
    BOOST_TEST(daemon.takeOne<AnswerCall>().answer.body == "booked");
}

BOOST_AUTO_TEST_CASE(callsThatTheConfigurationLacksAreRefused)
{
    Fixture daemon;
    daemon.call("r1", "DELETE", "/stock");
    BOOST_TEST((daemon.takeOne<RefuseRequest>().refusal == Refusal(ErrorCode::UnknownPath, Ran::No)));
    daemon.on(CallReceived { RequestId("r2"), AccountId("addis"), { ServiceId("nobody"), "GET", "/", "", "" }, std::nullopt, std::nullopt });
    BOOST_TEST((daemon.takeOne<RefuseRequest>().refusal == Refusal(ErrorCode::UnknownService, Ran::No)));
    daemon.call("r3", "POST", "/bookings", "no uuid");
    BOOST_TEST((daemon.takeOne<RefuseRequest>().refusal == Refusal(ErrorCode::MalformedKey, Ran::No)));
    daemon.call("r4", "POST", "/bookings", "bound.1");
    BOOST_TEST((daemon.takeOne<RefuseRequest>().refusal == Refusal(ErrorCode::MalformedKey, Ran::No)));
}
