#include <filbertspoke/Idempotency>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const Now now(TimePoint(1h), WallTime(std::chrono::hours(400000)));
const KeyHolder self { DaemonId("d1"), 7 };
const StoredOutcome booked { 201, "text/plain", "booked", false };

LedgerOutputs ask(BoundKeyTable& table, const char* request, const BoundKey& key, const std::string& digest = "digest")
{
    return table.begin({ RequestId(request), key.str(), digest, now.monotonic() + 1s, false }, key, now);
}

Refusal refusalOf(const LedgerOutputs& outputs)
{
    return std::get<RefuseKeyedRequest>(outputs.at(0)).refusal;
}

}

BOOST_AUTO_TEST_CASE(aBoundKeyRunsOnceAndKeepsItsOutcome)
{
    BoundKeyTable table(self);
    const BoundKey key = table.issueKey();
    BOOST_TEST((ask(table, "r1", key) == LedgerOutputs { RunAction { key.str(), RequestId("r1") } }));
    BOOST_TEST(ask(table, "r2", key).empty());
    const LedgerOutputs both { ReturnOutcome { RequestId("r1"), booked }, ReturnOutcome { RequestId("r2"), booked } };
    BOOST_TEST((table.finish(key.str(), booked) == both));
    BOOST_TEST((ask(table, "r3", key) == LedgerOutputs { ReturnOutcome { RequestId("r3"), booked } }));
}

BOOST_AUTO_TEST_CASE(aLostBoundActionIsUnknownForEver)
{
    BoundKeyTable table(self);
    const BoundKey key = table.issueKey();
    ask(table, "r1", key);
    table.fail(key.str());
    BOOST_TEST(table.finish(key.str(), booked).empty());
    BOOST_TEST((refusalOf(ask(table, "r2", key)) == Refusal(ErrorCode::OutcomeUnknown, Ran::Unknown)));
}

BOOST_AUTO_TEST_CASE(aReleasedBoundKeyMayRunAgain)
{
    BoundKeyTable table(self);
    const BoundKey key = table.issueKey();
    ask(table, "r1", key);
    BOOST_TEST((refusalOf(table.release(key.str(), Refusal(ErrorCode::EndpointUnreachable, Ran::No))).ran() == Ran::No));
    BOOST_TEST(std::holds_alternative<RunAction>(ask(table, "r2", key).at(0)));
}

BOOST_AUTO_TEST_CASE(keysOfAnotherProcessAreNotRun)
{
    BoundKeyTable table(self);
    table.issueKey();
    BOOST_TEST((refusalOf(ask(table, "r1", { self.daemon, 6, 1 })).ran() == Ran::Unknown));
    BOOST_TEST((refusalOf(ask(table, "r2", { self.daemon, 7, 2 })) == Refusal(ErrorCode::MalformedKey, Ran::No).withDetail("this daemon did not make the key")));
}

BOOST_AUTO_TEST_CASE(aBoundKeyWithAnotherBodyIsRefused)
{
    BoundKeyTable table(self);
    const BoundKey key = table.issueKey();
    ask(table, "r1", key);
    BOOST_TEST((refusalOf(ask(table, "r2", key, "other")) == Refusal(ErrorCode::KeyReused, Ran::No)));
}

BOOST_AUTO_TEST_CASE(lateBoundRequestsAreAnsweredAtTheirDeadline)
{
    BoundKeyTable table(self);
    const BoundKey key = table.issueKey();
    ask(table, "r1", key);
    BOOST_TEST((table.nextWake() == now.monotonic() + 1s));
    const Refusal late = refusalOf(table.wake(now.after(1s)));
    BOOST_TEST((late.ran() == Ran::Unknown));
    BOOST_TEST(late.retryAfter().has_value());
    table.finish(key.str(), booked);
    BOOST_TEST((ask(table, "r2", key) == LedgerOutputs { ReturnOutcome { RequestId("r2"), booked } }));
}

BOOST_AUTO_TEST_CASE(forgottenBoundKeysAreNotRunAgain)
{
    BoundKeyTable table(self, 1);
    const BoundKey first = table.issueKey();
    const BoundKey second = table.issueKey();
    for (const BoundKey& key : { first, second }) {
        ask(table, "r", key);
        table.finish(key.str(), booked);
    }
    BOOST_TEST((refusalOf(ask(table, "r3", first)) == Refusal(ErrorCode::KeyExpired, Ran::Unknown)));
}
