#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

AttemptState state(RouteKind kind, std::uint32_t possibleRuns, std::uint32_t sends = 1)
{
    AttemptState state;
    state.kind = kind;
    state.allowedRuns = 2;
    state.possibleRuns = possibleRuns;
    state.endpointsUsed = possibleRuns;
    state.sends = sends;
    state.timeLeft = 1s;
    return state;
}

}

BOOST_AUTO_TEST_CASE(nonIdempotentRequestThatMayHaveRunIsNotRetried)
{
    BOOST_TEST(!mayRetry(state(RouteKind::NonIdempotent, 1), AttemptEnd::Lost));
    BOOST_TEST(!mayRetry(state(RouteKind::NonIdempotent, 1), AttemptEnd::ReportedFailure));
    BOOST_TEST(!certainlyNotRun(state(RouteKind::NonIdempotent, 1)));
}

BOOST_AUTO_TEST_CASE(requestThatDidNotRunIsRetriedForAnyRouteKind)
{
    BOOST_TEST(mayRetry(state(RouteKind::NonIdempotent, 0), AttemptEnd::NotSent));
    BOOST_TEST(mayRetry(state(RouteKind::NonIdempotent, 0), AttemptEnd::NotExecuted));
    BOOST_TEST(certainlyNotRun(state(RouteKind::NonIdempotent, 0)));
}

BOOST_AUTO_TEST_CASE(idempotentRequestIsRetriedUpToTheAttemptsOfItsRoute)
{
    BOOST_TEST(mayRetry(state(RouteKind::Idempotent, 1), AttemptEnd::Lost));
    BOOST_TEST(!mayRetry(state(RouteKind::Idempotent, 2), AttemptEnd::Lost));
    BOOST_TEST(!mayRetry(state(RouteKind::Idempotent, 2), AttemptEnd::NotExecuted));
}

BOOST_AUTO_TEST_CASE(brokenStreamIsRetriedOnlyOnResumableRoutes)
{
    AttemptState stream = state(RouteKind::Stream, 1);
    BOOST_TEST(!mayRetry(stream, AttemptEnd::Lost));
    stream.resumable = true;
    BOOST_TEST(mayRetry(stream, AttemptEnd::Lost));
}

BOOST_AUTO_TEST_CASE(brokenStreamMayBeRetriedOnAnEndpointThatRanIt)
{
    AttemptState stream = state(RouteKind::Stream, 2);
    stream.resumable = true;
    BOOST_TEST(!mayRetry(stream, AttemptEnd::Lost));
    stream.mayReuseEndpoint = true;
    BOOST_TEST(mayRetry(stream, AttemptEnd::Lost));
    stream.sends = 4;
    BOOST_TEST(!mayRetry(stream, AttemptEnd::Lost));
}

BOOST_AUTO_TEST_CASE(retriesAreLimitedBySendsAndTimeLeft)
{
    BOOST_TEST(!mayRetry(state(RouteKind::Idempotent, 0, 4), AttemptEnd::NotSent));
    AttemptState late = state(RouteKind::Idempotent, 0);
    late.timeLeft = 10ms;
    BOOST_TEST(!mayRetry(late, AttemptEnd::NotSent));
}

BOOST_AUTO_TEST_CASE(attemptWithoutResponseMayHaveRun)
{
    BOOST_TEST(mayHaveRun(AttemptEnd::Lost));
    BOOST_TEST(mayHaveRun(AttemptEnd::ReportedFailure));
    BOOST_TEST(!mayHaveRun(AttemptEnd::NotExecuted));
    BOOST_TEST(!mayHaveRun(AttemptEnd::NotSent));
}
