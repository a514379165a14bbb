#include <filbertspoke/Idempotency>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;

BOOST_AUTO_TEST_CASE(callerKeyContainsItsCreationTime)
{
    const auto key = CallerKey::parse("017F22E2-79B0-7CC3-98C4-DC0C0C07398F"); // RFC 9562, appendix A.6
    BOOST_REQUIRE(key.has_value());
    BOOST_TEST(key->str() == "017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
    BOOST_TEST((key->time() == WallTime(std::chrono::milliseconds(0x017f22e279b0))));
}

BOOST_AUTO_TEST_CASE(malformedCallerKeysAreRefused)
{
    for (const char* text : {
             "", "x", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", "017f22e2-79b0-7cc3-18c4-dc0c0c07398f",
             "017f22e279b07cc398c4dc0c0c07398f", "{17f22e2-79b0-7cc3-98c4-dc0c0c07398}",
             "017f22e2-79b0-7cc3-98c4-dc0c0c07398g", "017f22e2-79b0-7cc3-98c4-dc0c0c07398f0" }) {
        const auto key = CallerKey::parse(text);
        BOOST_TEST((!key && key.error() == ErrorCode::MalformedKey), text);
    }
}

BOOST_AUTO_TEST_CASE(boundKeysRoundTrip)
{
    const BoundKey key { DaemonId("addis-bole.1"), 1700000000000000, 7 };
    BOOST_TEST(key.str() == "bound.1700000000000000.7.addis-bole.1");
    BOOST_TEST((BoundKey::parse(key.str()).value() == key));
    for (const char* text : { "bound.", "bound.1.2", "bound.1.2.", "bound.x.2.d", "bound.1..d", "bound.01.2.d", "bound.99999999999999999999.1.d" })
        BOOST_TEST((!BoundKey::parse(text)), text);
}

BOOST_AUTO_TEST_CASE(digestDependsOnPartBoundaries)
{
    BOOST_TEST(requestDigest({ "ab", "c" }) != requestDigest({ "a", "bc" }));
    BOOST_TEST(requestDigest({ "a" }) == requestDigest({ "a" }));
    BOOST_TEST(requestDigest({}) == "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
}
