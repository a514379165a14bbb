#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const EndpointId a("a");
const EndpointId b("b");

Route routeOf(RouteKind kind, std::uint32_t attempts, bool resumable = true)
{
    Route route;
    route.kind = kind;
    route.attempts = attempts;
    route.resumable = resumable;
    return route;
}

void recordFailure(AttemptHistory& history, const EndpointId& first, EndpointFault fault, AttemptEnd end = AttemptEnd::Lost)
{
    history.noteAttempt();
    history.noteSent();
    history.noteFailure({ end, first, first, fault });
}

constexpr std::array everyEnd { AttemptEnd::NotSent, AttemptEnd::NotExecuted, AttemptEnd::Lost, AttemptEnd::ReportedFailure };
constexpr std::array everyFault { EndpointFault::Unreachable, EndpointFault::Refused, EndpointFault::Silent, EndpointFault::Broken, EndpointFault::Failed };
const std::array<EndpointId, 4> endpoints { a, b, EndpointId("c"), EndpointId("d") };

/** \brief Explores every possible sequence of attempts after \a history, and fails when the request may have run on more endpoints than
 * its route allows. */
void exploreAttempts(const AttemptHistory& history, const Route& route, const std::set<EndpointId>& mayHaveRunAt, std::size_t runs, std::size_t attempt = 0)
{
    BOOST_REQUIRE(mayHaveRunAt.size() <= route.attempts);
    if (route.kind == RouteKind::NonIdempotent)
        BOOST_REQUIRE(runs <= 1);
    // Endpoints without an attempt are interchangeable, so it suffices to try the next one of them.
    for (std::size_t index = 0; index <= attempt && index < endpoints.size(); ++index) {
        const EndpointId& first = endpoints[index];
        if (!history.mayUse(first) || (history.attemptsExhausted() && !history.used().contains(first)))
            continue;
        for (const AttemptEnd end : everyEnd) {
            for (const EndpointFault fault : everyFault) {
                AttemptHistory next = history;
                next.noteAttempt();
                next.noteFailure({ end, first, first, fault });
                std::set<EndpointId> ran = mayHaveRunAt;
                if (mayHaveRun(end))
                    ran.insert(first);
                if (mayRetry(next.state(1s), end))
                    exploreAttempts(next, route, ran, runs + (mayHaveRun(end) ? 1 : 0), attempt + 1);
                else
                    BOOST_REQUIRE(ran.size() <= route.attempts);
            }
        }
    }
}

}

BOOST_AUTO_TEST_CASE(noSequenceOfFailuresExceedsTheEndpointLimitOfTheRoute)
{
    for (const RouteKind kind : { RouteKind::Idempotent, RouteKind::NonIdempotent, RouteKind::Stream }) {
        for (const bool resumable : { false, true }) {
            for (std::uint32_t attempts = 1; attempts <= 2; ++attempts) {
                const Route route = routeOf(kind, attempts, resumable);
                exploreAttempts(AttemptHistory(route), route, {}, 0);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(streamMayReuseAnEndpointWhoseConnectionBroke)
{
    AttemptHistory history(routeOf(RouteKind::Stream, 2));
    recordFailure(history, a, EndpointFault::Broken);
    BOOST_TEST(!history.mayUse(a));
    recordFailure(history, b, EndpointFault::Silent);
    BOOST_TEST(history.attemptsExhausted());
    BOOST_TEST(history.mayUse(a));
    BOOST_TEST(!history.mayUse(b));
}

BOOST_AUTO_TEST_CASE(sendAfterUnsentAttemptIsNotARetry)
{
    AttemptHistory history(routeOf(RouteKind::Idempotent, 2));
    history.noteAttempt();
    history.noteFailure({ AttemptEnd::NotSent, a, a, EndpointFault::Unreachable });
    BOOST_TEST(!history.isRepeat());
    recordFailure(history, b, EndpointFault::Failed, AttemptEnd::NotExecuted);
    BOOST_TEST(history.isRepeat());
}
