#include <filbertspoke/Core>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(retryAfterLeavesTheOriginalUnchanged)
{
    const Refusal refusal(ErrorCode::QueueFull, Ran::No);
    const Refusal later = refusal.retryAfter(2s);

    BOOST_TEST(!refusal.retryAfter().has_value());
    BOOST_TEST((later.retryAfter() == Duration(2s)));
    BOOST_TEST((later != refusal));
}

BOOST_AUTO_TEST_CASE(everyCodeHasItsOwnName)
{
    for (int value = 1; value <= static_cast<int>(ErrorCode::LogTruncated); ++value)
        BOOST_TEST(name(static_cast<ErrorCode>(value)) != "unknown-error");
    BOOST_TEST(make_error_code(ErrorCode::UnknownModel).message() == "unknown-model");
}
