// Records of quarantined traits in the platform's store.
#include <filbertspoke/Proxy>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const std::chrono::system_clock::time_point written { 1'800'000'000s };

RequestTraitEvidence evidence()
{
    RequestTraitEvidence evidence;
    evidence.trait = RequestTraitId("request:1");
    evidence.quarantined = true;
    evidence.crashes = { { { EndpointId("e1"), 1000 }, 700ms, 50ms }, { { EndpointId("e2"), 2000 }, 400ms, 10ms } };
    return evidence;
}

}

BOOST_AUTO_TEST_CASE(recordKeepsTheEvidenceWithItsAge)
{
    const StoreRecord record = encodeQuarantineRecord(evidence(), written);
    BOOST_TEST(record.key == "request:1");
    const auto read = decodeQuarantineRecord(record, written + 60s);
    BOOST_REQUIRE(read.has_value());
    RequestTraitEvidence expected = evidence();
    for (EndpointCrash& crash : expected.crashes)
        crash.age += 60s;
    BOOST_TEST((*read == expected));
}

BOOST_AUTO_TEST_CASE(crashesInTheFutureOfADaemonWhoseClockIsBehindCountAsNew)
{
    const auto read = decodeQuarantineRecord(encodeQuarantineRecord(evidence(), written), written - 5s);
    BOOST_REQUIRE(read.has_value());
    for (const EndpointCrash& crash : read->crashes)
        BOOST_TEST((crash.age == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(malformedRecordsAreRejected)
{
    for (const char* value : { "", "[]", "{}", R"({"crashes":[{}]})", R"({"crashes":[{"endpoint":"e","startedAtMs":"1","crashedAtMs":1,"heldMs":1}]})", R"({"crashes":[)" })
        BOOST_TEST(!decodeQuarantineRecord({ "request:1", value }, written).has_value());
    BOOST_TEST(!decodeQuarantineRecord({ "request:1", std::nullopt }, written).has_value());
}
