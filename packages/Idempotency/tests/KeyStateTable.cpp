#include <filbertspoke/Idempotency>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;

namespace {

const std::string key = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";

KeyAttempt attempt(std::uint32_t number, const char* daemon, std::uint64_t incarnation = 1)
{
    return { key, number, { DaemonId(daemon), incarnation } };
}

std::string encode(const KeyRecordBody& body)
{
    return encodeKeyRecord({ WallTime(Duration(5)), 3, body });
}

std::string claim(const KeyAttempt& attempt)
{
    return encode(ClaimRecord { attempt, "digest", WallTime(Duration(9)) });
}

KeyStateTable tableOf(std::initializer_list<std::string> payloads)
{
    KeyStateTable table;
    for (const std::string& payload : payloads)
        table.apply(payload);
    return table;
}

}

BOOST_AUTO_TEST_CASE(recordsRoundTrip)
{
    const KeyAttempt first = attempt(1, "d1", 18446744073709551615u);
    for (const KeyRecordBody& body : {
             KeyRecordBody(ClaimRecord { first, "digest", WallTime(Duration(-9)) }),
             KeyRecordBody(ReleaseRecord { first }),
             KeyRecordBody(OutcomeRecord { first, { 201, "text/plain", "a \"hub\"", true } }),
             KeyRecordBody(OutcomeRecord { first, { 200, "", std::string("\0\xff", 2), false } }),
             KeyRecordBody(UnknownRecord { first }),
             KeyRecordBody(MarkerRecord {}) }) {
        const KeyRecord record { WallTime(Duration(5)), 3, body };
        BOOST_TEST((decodeKeyRecord(encodeKeyRecord(record)).value() == record));
    }
}

BOOST_AUTO_TEST_CASE(firstClaimInLogOrderWins)
{
    const KeyStateTable table = tableOf({ claim(attempt(1, "d2")), claim(attempt(1, "d1")), claim(attempt(2, "d3")) });
    BOOST_TEST((table.find(key)->attempt == attempt(1, "d2")));
}

BOOST_AUTO_TEST_CASE(onlyTheHolderEndsAnAttempt)
{
    const KeyStateTable table = tableOf({
        claim(attempt(1, "d1")),
        encode(ReleaseRecord { attempt(1, "d2") }),
        encode(ReleaseRecord { attempt(1, "d1", 2) }),
        encode(OutcomeRecord { attempt(2, "d1"), {} }),
    });
    BOOST_TEST((table.find(key)->status == KeyStatus::Claimed));
}

BOOST_AUTO_TEST_CASE(releaseAllowsTheNextAttemptOnly)
{
    const std::string release = encode(ReleaseRecord { attempt(1, "d1") });
    const KeyStateTable repeated = tableOf({ claim(attempt(1, "d1")), release, claim(attempt(1, "d1")), claim(attempt(3, "d2")) });
    BOOST_TEST((repeated.find(key)->status == KeyStatus::Released));
    const KeyStateTable next = tableOf({ claim(attempt(1, "d1")), release, claim(attempt(2, "d2")), release });
    BOOST_TEST((next.find(key)->attempt == attempt(2, "d2")));
    BOOST_TEST((next.find(key)->status == KeyStatus::Claimed));
}

BOOST_AUTO_TEST_CASE(anOutcomeIsNeverReplaced)
{
    const KeyStateTable table = tableOf({
        claim(attempt(1, "d1")),
        encode(OutcomeRecord { attempt(1, "d1"), { 201, "text/plain", "first", false } }),
        encode(OutcomeRecord { attempt(1, "d1"), { 500, "text/plain", "second", false } }),
        encode(ReleaseRecord { attempt(1, "d1") }),
    });
    BOOST_TEST(table.find(key)->outcome->body == "first");
}

BOOST_AUTO_TEST_CASE(unreadableRecordsAreSkippedAndCounted)
{
    const KeyStateTable table = tableOf({ "", "[]", "{", "{}", R"({"version":1,"kind":"claim"})", R"({"version":1,"kind":"claim","key":7})", R"({"version":"1"})", R"({"version":9})", "\xff\xfe" });
    BOOST_TEST(table.size() == 0u);
    BOOST_TEST(table.skipped() == 9u);
}

BOOST_AUTO_TEST_CASE(recordOfANewerVersionBlocksItsKey)
{
    const KeyStateTable table = tableOf({ R"({"version":2,"kind":"lease","key":")" + key + R"("})", claim(attempt(1, "d1")) });
    BOOST_TEST((table.find(key)->status == KeyStatus::Unknown));
    BOOST_TEST(table.skipped() == 1u);
}

BOOST_AUTO_TEST_CASE(aNewerIncarnationSupersedesTheHolder)
{
    const KeyStateTable table = tableOf({ claim(attempt(1, "d1", 7)), claim(attempt(1, "d1", 9)) });
    BOOST_TEST(table.isSuperseded({ DaemonId("d1"), 7 }));
    BOOST_TEST(!table.isSuperseded({ DaemonId("d1"), 9 }));
    BOOST_TEST(!table.isSuperseded({ DaemonId("d2"), 1 }));
}

BOOST_AUTO_TEST_CASE(oldKeysAreErased)
{
    KeyStateTable table = tableOf({ claim(attempt(1, "d1")) });
    table.eraseBefore(key);
    BOOST_TEST(table.size() == 1u);
    table.eraseBefore("018");
    BOOST_TEST(table.size() == 0u);
}
