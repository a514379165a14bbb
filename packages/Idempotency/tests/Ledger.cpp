#include <filbertspoke/Idempotency>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const std::string key = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";
const Now start(TimePoint(1h), CallerKey::parse(key)->time() + 1s);

// The platform's log: keeps what is appended and answers reads.
struct FakeLog {
    std::vector<LogRecord> records;
    LogOffset oldest = 0;

    void append(const std::vector<std::string>& payloads)
    {
        for (const std::string& payload : payloads)
            this->records.push_back({ "actions", this->records.size(), payload });
    }
    std::vector<LogRecord> from(LogOffset offset) const
    {
        const auto first = std::min<LogOffset>(std::max(offset, this->oldest), this->records.size());
        return { this->records.begin() + static_cast<std::ptrdiff_t>(first), this->records.end() };
    }
};

template <typename Kind>
std::optional<Kind> find(const LedgerOutputs& outputs)
{
    for (const LedgerOutput& output : outputs) {
        if (const Kind* kind = std::get_if<Kind>(&output))
            return *kind;
    }
    return std::nullopt;
}

// A daemon with a healthy log; keeps the outputs that are not for the log.
struct Daemon {
    Daemon(FakeLog& log, const char* name, std::uint64_t incarnation = 1, LedgerLimits limits = {})
        : log(log)
        , ledger({ DaemonId(name), incarnation }, limits)
    {
    }

    void take(const LedgerOutputs& outputs)
    {
        for (const LedgerOutput& output : outputs) {
            if (const auto* append = std::get_if<AppendKeyRecords>(&output)) {
                this->log.append(append->payloads);
                this->take(this->ledger.appended(append->append, this->now));
            } else if (const auto* read = std::get_if<ReadKeyRecords>(&output)) {
                this->take(this->ledger.recordsRead(this->log.from(read->from), this->log.oldest, this->log.records.size(), this->now));
            } else {
                this->seen.push_back(output);
            }
        }
    }
    // Lets time pass in steps no longer than the ledger asks for.
    void pass(Duration time)
    {
        const TimePoint end = this->now.monotonic() + time;
        while (this->now.monotonic() < end) {
            const TimePoint next = std::clamp(this->ledger.nextWake(), this->now.monotonic() + 1ms, end);
            this->now = this->now.after(next - this->now.monotonic());
            this->take(this->ledger.wake(this->now));
            this->follow();
        }
    }
    // Hands over new records unasked, as a client that follows the stream does.
    void follow()
    {
        const std::vector<LogRecord> records = this->log.from(this->followed);
        if (records.empty())
            return;
        this->followed = records.back().offset + 1;
        this->take(this->ledger.recordsRead(records, this->log.oldest, this->log.records.size(), this->now));
    }
    void ask(const char* request, Duration deadline = 5s, const std::string& digest = "digest")
    {
        this->take(this->ledger.begin({ RequestId(request), key, digest, this->now.monotonic() + deadline, false }, this->now));
    }
    LedgerOutputs takeSeen() { return std::exchange(this->seen, {}); }

    FakeLog& log;
    KeyLedger ledger;
    Now now = start;
    LogOffset followed = 0;
    LedgerOutputs seen;
};

const StoredOutcome booked { 201, "text/plain", "booked", false };

}

BOOST_AUTO_TEST_CASE(anActionRunsAfterItsClaimWasReadBack)
{
    FakeLog log;
    Daemon daemon(log, "d1");
    daemon.ask("r1");
    BOOST_TEST(daemon.takeSeen().empty());
    daemon.pass(20ms);
    BOOST_TEST((daemon.takeSeen() == LedgerOutputs { RunAction { key, RequestId("r1") } }));
    daemon.take(daemon.ledger.finish(key, booked, daemon.now));
    BOOST_TEST((daemon.takeSeen() == LedgerOutputs { ReturnOutcome { RequestId("r1"), booked } }));
}

BOOST_AUTO_TEST_CASE(aRetryThroughAnotherDaemonWaitsAndGetsTheStoredOutcome)
{
    FakeLog log;
    Daemon first(log, "d1");
    Daemon second(log, "d2");
    first.ask("r1");
    first.pass(20ms);
    second.ask("r2");
    second.pass(20ms);
    BOOST_TEST(second.takeSeen().empty());
    first.take(first.ledger.finish(key, booked, first.now));
    first.pass(20ms);
    second.pass(200ms);
    BOOST_TEST((second.takeSeen() == LedgerOutputs { ReturnOutcome { RequestId("r2"), booked } }));
}

BOOST_AUTO_TEST_CASE(aRetryAfterTheHolderDiedIsUnknownAndNeverRuns)
{
    FakeLog log;
    Daemon first(log, "d1");
    first.ask("r1", 1s);
    first.pass(20ms);
    Daemon second(log, "d2");
    second.ask("r2", 60s);
    second.pass(30s);
    const auto refused = find<RefuseKeyedRequest>(second.takeSeen());
    BOOST_REQUIRE(refused.has_value());
    BOOST_TEST((refused->refusal.ran() == Ran::Unknown));
    BOOST_TEST(refused->refusal.retryAfter().has_value());
    second.ask("r3");
    BOOST_TEST(find<RefuseKeyedRequest>(second.takeSeen()).has_value());
}

BOOST_AUTO_TEST_CASE(aRestartedDaemonAnswersAtOnceThatItsEarlierAttemptIsUnknown)
{
    FakeLog log;
    Daemon first(log, "d1", 1);
    first.ask("r1", 60s);
    first.pass(20ms);
    Daemon restarted(log, "d1", 2);
    restarted.ask("r2", 60s);
    restarted.pass(20ms);
    BOOST_TEST((find<RefuseKeyedRequest>(restarted.takeSeen())->refusal.ran() == Ran::Unknown));
}

BOOST_AUTO_TEST_CASE(aReleasedAttemptAllowsTheNext)
{
    FakeLog log;
    Daemon first(log, "d1");
    Daemon second(log, "d2");
    first.ask("r1");
    first.pass(20ms);
    first.take(first.ledger.release(key, Refusal(ErrorCode::EndpointUnreachable, Ran::No), first.now));
    first.pass(20ms);
    second.ask("r2");
    second.pass(200ms);
    BOOST_TEST((second.takeSeen() == LedgerOutputs { RunAction { key, RequestId("r2") } }));
}

BOOST_AUTO_TEST_CASE(aRequestAfterTheReleaseMayBeServedElsewhere)
{
    FakeLog log;
    Daemon first(log, "d1");
    first.ask("r1");
    first.pass(20ms);
    first.takeSeen();
    first.ledger.release(key, Refusal(ErrorCode::EndpointUnreachable, Ran::No), first.now);
    first.ledger.begin({ RequestId("r2"), key, "digest", first.now.monotonic() + 1s, false }, first.now);
    const auto late = find<RefuseKeyedRequest>(first.ledger.wake(first.now.after(1s)));
    BOOST_REQUIRE(late.has_value());
    BOOST_TEST((late->refusal.ran() == Ran::Unknown));
}

BOOST_AUTO_TEST_CASE(sameKeyWithAnotherBodyIsRefused)
{
    FakeLog log;
    Daemon first(log, "d1");
    Daemon second(log, "d2");
    first.ask("r1");
    first.pass(20ms);
    second.pass(1s);
    second.ask("r2", 5s, "other");
    BOOST_TEST((find<RefuseKeyedRequest>(second.takeSeen())->refusal == Refusal(ErrorCode::KeyReused, Ran::No)));
}

BOOST_AUTO_TEST_CASE(aLostAppendAnswerIsSettledByReading)
{
    FakeLog log;
    KeyLedger ledger({ DaemonId("d1"), 1 });
    ledger.wake(start);
    ledger.recordsRead({}, 0, 0, start);
    ledger.begin({ RequestId("r1"), key, "digest", start.monotonic() + 5s, false }, start);
    Now now = start.after(20ms);
    const auto append = find<AppendKeyRecords>(ledger.wake(now));
    log.append(append->payloads);
    const LedgerOutputs after = ledger.appendFailed(append->append, true, now);
    BOOST_TEST(find<ReadKeyRecords>(after).has_value());
    BOOST_TEST(!find<RunAction>(after).has_value());
    BOOST_TEST(find<RunAction>(ledger.recordsRead(log.from(0), 0, 1, now)).has_value());
}

BOOST_AUTO_TEST_CASE(anUnreachableLogRefusesAtOnceAndTheClaimIsNotTried)
{
    KeyLedger ledger({ DaemonId("d1"), 1 });
    BOOST_TEST(find<ReadKeyRecords>(ledger.wake(start)).has_value());
    ledger.readFailed(start);
    const LedgerOutputs outputs = ledger.begin({ RequestId("r1"), key, "digest", start.monotonic() + 5s, true }, start);
    const auto refused = find<RefuseKeyedRequest>(outputs);
    BOOST_REQUIRE(refused.has_value());
    BOOST_TEST((refused->refusal.code() == ErrorCode::PlatformUnavailable));
    BOOST_TEST((refused->refusal.ran() == Ran::No));
    BOOST_TEST(refused->refusal.retryAfter().has_value());
}

BOOST_AUTO_TEST_CASE(aPausedHolderReadsTheLogAgainBeforeItSends)
{
    FakeLog log;
    KeyLedger ledger({ DaemonId("d1"), 1 });
    ledger.wake(start);
    ledger.recordsRead({}, 0, 0, start);
    ledger.begin({ RequestId("r1"), key, "digest", start.monotonic() + 60s, false }, start);
    const Now claimed = start.after(20ms);
    const auto append = find<AppendKeyRecords>(ledger.wake(claimed));
    log.append(append->payloads);
    BOOST_TEST(find<ReadKeyRecords>(ledger.appended(append->append, claimed)).has_value());
    const Now resumed = claimed.after(30s);
    const LedgerOutputs stale = ledger.recordsRead(log.from(0), 0, 1, resumed);
    BOOST_TEST(!find<RunAction>(stale).has_value());
    BOOST_TEST((find<ReadKeyRecords>(stale) == ReadKeyRecords { 1 }));
    BOOST_TEST(find<RunAction>(ledger.recordsRead({}, 0, 1, resumed)).has_value());
}

BOOST_AUTO_TEST_CASE(aKeyThatTheTruncatedLogMayHaveNamedIsRefused)
{
    FakeLog log;
    Daemon first(log, "d1");
    first.ask("r1", 1s);
    first.pass(20ms);
    log.append({ encodeKeyRecord({ first.now.wall(), 1, MarkRecord {} }) });
    log.oldest = 1;
    Daemon fresh(log, "d2");
    fresh.ask("r2");
    fresh.pass(5s);
    const auto refused = find<RefuseKeyedRequest>(fresh.takeSeen());
    BOOST_REQUIRE(refused.has_value());
    BOOST_TEST((refused->refusal.code() == ErrorCode::LogTruncated));
    BOOST_TEST((refused->refusal.ran() == Ran::Unknown));
}

// A daemon whose claim is the first that the truncated log shows, though another's came before.
BOOST_AUTO_TEST_CASE(aClaimOnATruncatedLogDoesNotSayThatNothingRan)
{
    FakeLog log;
    Daemon first(log, "d1");
    first.ask("r1", 60s);
    first.pass(20ms);
    KeyLedger ledger({ DaemonId("d2"), 1 });
    ledger.begin({ RequestId("r2"), key, "digest", start.monotonic() + 60s, false }, start);
    const Now claimed = start.after(20ms);
    log.append(find<AppendKeyRecords>(ledger.wake(claimed))->payloads);
    ledger.readFailed(claimed);
    ledger.wake(claimed.after(1s));
    log.oldest = 1;
    ledger.recordsRead(log.from(0), 1, 2, claimed.after(1s));
    const TimePoint deadline = claimed.monotonic() + 2s;
    ledger.begin({ RequestId("r3"), key, "digest", deadline, false }, claimed.after(1s));
    const auto late = find<RefuseKeyedRequest>(ledger.wake(claimed.after(2s)));
    BOOST_REQUIRE(late.has_value());
    BOOST_TEST((late->refusal.ran() == Ran::Unknown));
    const auto reused = find<RefuseKeyedRequest>(ledger.begin({ RequestId("r4"), key, "other", deadline + 5s, false }, claimed.after(2s)));
    BOOST_REQUIRE(reused.has_value());
    BOOST_TEST((reused->refusal == Refusal(ErrorCode::KeyReused, Ran::Unknown)));
}

BOOST_AUTO_TEST_CASE(aClaimThatWasGivenUpDoesNotServeAnotherBody)
{
    FakeLog log;
    KeyLedger ledger({ DaemonId("d1"), 1 });
    ledger.wake(start);
    ledger.begin({ RequestId("r1"), key, "digest", start.monotonic() + 1s, false }, start);
    log.append(find<AppendKeyRecords>(ledger.wake(start.after(20ms)))->payloads);
    const Now later = start.after(2min);
    ledger.wake(later);
    ledger.wake(later.after(2min));
    const Now again = later.after(2min);
    ledger.recordsRead({}, 0, 0, again);
    ledger.begin({ RequestId("r2"), key, "other", again.monotonic() + 60s, false }, again);
    const LedgerOutputs outputs = ledger.recordsRead(log.from(0), 0, 1, again);
    BOOST_TEST(!find<RunAction>(outputs).has_value());
    BOOST_TEST((find<RefuseKeyedRequest>(outputs)->refusal == Refusal(ErrorCode::KeyReused, Ran::No)));
}

BOOST_AUTO_TEST_CASE(aLateRecordDoesNotShowHowFarTheLogReaches)
{
    FakeLog log;
    Daemon first(log, "d1");
    first.ask("r1", 1s);
    first.pass(20ms);
    log.append({ encodeKeyRecord({ start.wall() - 1h, 0, MarkRecord {} }) });
    log.oldest = 1;
    Daemon fresh(log, "d2");
    fresh.ask("r2");
    fresh.pass(5s);
    BOOST_TEST((find<RefuseKeyedRequest>(fresh.takeSeen())->refusal.code() == ErrorCode::LogTruncated));
}

BOOST_AUTO_TEST_CASE(aNewKeyRunsOnATruncatedLog)
{
    FakeLog log;
    log.append({ "dropped", encodeKeyRecord({ start.wall() - 1h, 1, MarkRecord {} }) });
    log.oldest = 1;
    Daemon fresh(log, "d1");
    fresh.ask("r1");
    fresh.pass(1s);
    BOOST_TEST(find<RunAction>(fresh.takeSeen()).has_value());
}

BOOST_AUTO_TEST_CASE(oldAndFutureKeysAreRefused)
{
    FakeLog log;
    Daemon late(log, "d1");
    late.now = start.after(25h);
    late.ask("r1");
    BOOST_TEST((find<RefuseKeyedRequest>(late.takeSeen())->refusal == Refusal(ErrorCode::KeyExpired, Ran::Unknown)));
    Daemon early(log, "d2");
    early.now = start.after(-1h);
    early.ask("r2");
    BOOST_TEST((find<RefuseKeyedRequest>(early.takeSeen())->refusal == Refusal(ErrorCode::KeyInFuture, Ran::No)));
}

BOOST_AUTO_TEST_CASE(aLargeBodyIsNotStored)
{
    FakeLog log;
    LedgerLimits limits;
    limits.maximumBody = 10;
    Daemon first(log, "d1", 1, limits);
    first.ask("r1");
    first.pass(20ms);
    first.take(first.ledger.finish(key, { 200, "text/plain", std::string(100, 'x'), false }, first.now));
    first.pass(20ms);
    Daemon second(log, "d2");
    second.pass(1s);
    second.ask("r2");
    BOOST_TEST((find<RefuseKeyedRequest>(second.takeSeen())->refusal == Refusal(ErrorCode::OutcomeNotKept, Ran::Yes)));
}

BOOST_AUTO_TEST_CASE(claimsOfManyRequestsShareAnAppend)
{
    FakeLog log;
    KeyLedger ledger({ DaemonId("d1"), 1 });
    ledger.wake(start);
    ledger.recordsRead({}, 0, 0, start);
    for (char digit = '0'; digit <= '9'; ++digit) {
        std::string name = key;
        name.back() = digit;
        ledger.begin({ RequestId(name), name, "digest", start.monotonic() + 5s, false }, start);
    }
    BOOST_TEST(find<AppendKeyRecords>(ledger.wake(start.after(20ms)))->payloads.size() == 10u);
}

BOOST_AUTO_TEST_CASE(aQuietLogIsMarked)
{
    FakeLog log;
    Daemon daemon(log, "d1");
    daemon.ask("r1");
    daemon.pass(3h);
    const std::size_t written = log.records.size();
    daemon.pass(6h);
    BOOST_TEST(log.records.size() >= written + 6);
    BOOST_TEST(log.records.size() <= written + 9);
}
