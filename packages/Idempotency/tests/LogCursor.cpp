#include <filbertspoke/Idempotency>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;

namespace {

const LogRecord firstOfLog { "actions", 1, "{}" };
const TimePoint start {};

}

BOOST_AUTO_TEST_CASE(logWhoseOffsetsBeginWithOneIsReadFromItsFirstRecord)
{
    LogCursor cursor { LedgerLimits {} };
    cursor.issueRead(start);
    BOOST_TEST(cursor.receive({ firstOfLog }, 0, 2, start).records.size() == 1u);
    BOOST_TEST(cursor.caughtUp());
}

BOOST_AUTO_TEST_CASE(emptyLogWhoseOffsetsBeginWithOneIsReadToItsEnd)
{
    LogCursor cursor { LedgerLimits {} };
    cursor.issueRead(start);
    cursor.receive({}, 0, 1, start);
    BOOST_TEST(cursor.caughtUp());
    BOOST_TEST(!cursor.issueRead(start).has_value());
}

BOOST_AUTO_TEST_CASE(recordsDroppedBeforeTheFirstReadAreSeenAsDropped)
{
    LogCursor cursor { LedgerLimits {} };
    cursor.issueRead(start);
    const LogUpdate update = cursor.receive({}, 5, 7, start);
    BOOST_TEST(update.truncated);
    BOOST_TEST(!cursor.caughtUp());
}
