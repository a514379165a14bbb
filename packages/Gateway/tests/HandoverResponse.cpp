// What the response of the gateway to which a request was handed over means.
#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

#include <initializer_list>
#include <optional>

using namespace filbertspoke;

namespace {

constexpr bool sealed = true;
constexpr bool ranHere = true;
constexpr bool streaming = true;

bool isFinal(const std::optional<AttemptEnd>& failure)
{
    return !failure.has_value();
}

}

BOOST_AUTO_TEST_CASE(responseOfAnEndpointIsFinal)
{
    for (const unsigned status : { 200U, 404U, 429U, 500U, 503U }) {
        BOOST_TEST(isFinal(handoverFailure(status, sealed, !ranHere, !streaming)));
        BOOST_TEST(isFinal(handoverFailure(status, sealed, ranHere, !streaming)));
    }
}

// Guards against a caller that hears of an older configuration, which the other gateway still has.
BOOST_AUTO_TEST_CASE(otherGatewaysRejectionIsNotFinal)
{
    for (const unsigned status : { 400U, 401U, 404U, 421U })
        BOOST_TEST((handoverFailure(status, !sealed, !ranHere, !streaming) == AttemptEnd::NotExecuted));
}

// Guards against the promise that a request has not run, although it may have run at the gateway that handed it over.
BOOST_AUTO_TEST_CASE(otherGatewaysRefusalIsFinalOnlyIfTheRequestHasNotRunHere)
{
    for (const unsigned status : { 429U, 503U }) {
        BOOST_TEST(isFinal(handoverFailure(status, !sealed, !ranHere, !streaming)));
        BOOST_TEST((handoverFailure(status, !sealed, ranHere, !streaming) == AttemptEnd::NotExecuted));
    }
}

BOOST_AUTO_TEST_CASE(otherGatewaysFailurePromisesNothingAndIsFinal)
{
    for (const unsigned status : { 502U, 504U })
        BOOST_TEST(isFinal(handoverFailure(status, !sealed, ranHere, !streaming)));
}

// Guards against a run at the other gateway that does not count against the route's attempts.
BOOST_AUTO_TEST_CASE(startedStreamGoesOnWithAStreamOnly)
{
    BOOST_TEST(isFinal(handoverFailure(200, sealed, ranHere, streaming)));
    BOOST_TEST((handoverFailure(500, sealed, ranHere, streaming) == AttemptEnd::ReportedFailure));
    BOOST_TEST((handoverFailure(502, !sealed, ranHere, streaming) == AttemptEnd::Lost));
    BOOST_TEST((handoverFailure(503, !sealed, ranHere, streaming) == AttemptEnd::NotExecuted));
}
