#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

#include <random>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    RefusalBackoff backoff;
    TimePoint now { 100s };
};

/** \brief What each of the gateways does after a refusal. */
enum class Policy {
    FixedPause, ///< of 500 ms
    Backoff,
    BackoffAndReports, ///< between a hub and its members and among hubs, as gateways exchange them
};

/** \returns the number of requests at an engine that refuses for 14 s, from 84 gateways in three failure domains that would each send it one
 * every 50 ms; a refusal takes 10 ms, and hubs, and a hub and its members, exchange reports every 200 ms */
int requestsWhileRefusing(Policy policy)
{
    constexpr std::size_t gateways = 84;
    constexpr std::size_t domainSize = 28;
    std::mt19937_64 random(5);
    std::uniform_real_distribution<double> draw(0, 1);
    std::vector<RefusalBackoff> backoffs(gateways);
    std::vector<TimePoint> usableAt(gateways, TimePoint {});
    int requests = 0;
    for (TimePoint now = TimePoint(100s); now < TimePoint(114s); now += 10ms) {
        const auto step = static_cast<std::size_t>(now.time_since_epoch() / Duration(10ms));
        for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
            RefusalBackoff& own = backoffs[gateway];
            RefusalBackoff& hub = backoffs[gateway / domainSize * domainSize];
            if (policy == Policy::BackoffAndReports && &own != &hub && step % 20 == gateway % 20) {
                if (const auto remaining = own.ownRemaining(now))
                    hub.noteReport(*remaining, draw(random), now);
                if (const auto remaining = hub.knownRemaining(now))
                    own.noteReport(*remaining, draw(random), now);
            }
            RefusalBackoff& nextHub = backoffs[(gateway / domainSize + 1) * domainSize % gateways];
            if (policy == Policy::BackoffAndReports && &own == &hub && step % 20 == gateway % 20) {
                if (const auto remaining = own.knownRemaining(now))
                    nextHub.noteReport(*remaining, draw(random), now);
                if (const auto remaining = nextHub.knownRemaining(now))
                    own.noteReport(*remaining, draw(random), now);
            }
            const bool paused = policy == Policy::FixedPause ? now < usableAt[gateway] : own.isPausing(now);
            if (paused || step % 5 != gateway % 5)
                continue;
            ++requests;
            usableAt[gateway] = now + 10ms + 500ms;
            own.noteRefusal(now, draw(random), now + 10ms);
        }
    }
    return requests;
}

}

BOOST_FIXTURE_TEST_CASE(pauseDoublesUpToItsMaximumWithARandomPart, Fixture)
{
    for (const Duration base : { 500ms, 1000ms, 2000ms, 4000ms, 4000ms }) {
        const auto pause = this->backoff.noteRefusal(this->now, 0.8, this->now);
        BOOST_TEST((pause == std::optional<Duration>(base + base / 5)));
        BOOST_TEST(this->backoff.isPausing(this->now + *pause - 1us));
        this->now += *pause;
        BOOST_TEST(!this->backoff.isPausing(this->now));
    }
}

// Guards against the longest pause after a single event: many requests were on their way when the engine began to refuse.
BOOST_FIXTURE_TEST_CASE(refusalsOfRequestsFromBeforeThePauseCountAsOne, Fixture)
{
    BOOST_TEST(this->backoff.noteRefusal(this->now - 50ms, 0, this->now).has_value());
    for (int request = 0; request < 40; ++request)
        BOOST_TEST(!this->backoff.noteRefusal(this->now - 40ms, 0, this->now + 1ms).has_value());
    BOOST_TEST((this->backoff.ownRemaining(this->now) == std::optional<Duration>(500ms)));
    BOOST_TEST((this->backoff.noteRefusal(this->now + 500ms, 0, this->now + 510ms) == std::optional<Duration>(1s)));
}

BOOST_FIXTURE_TEST_CASE(successOfALaterRequestEndsThePauseAndItsGrowth, Fixture)
{
    this->backoff.noteRefusal(this->now, 0, this->now);
    this->backoff.noteRefusal(this->now + 500ms, 0, this->now + 510ms);
    this->backoff.noteSuccess(this->now + 505ms);
    BOOST_TEST(this->backoff.isPausing(this->now + 520ms));
    this->backoff.noteSuccess(this->now + 515ms);
    BOOST_TEST(!this->backoff.isPausing(this->now + 520ms));
    BOOST_TEST((this->backoff.noteRefusal(this->now + 520ms, 0, this->now + 520ms) == std::optional<Duration>(500ms)));
}

// Guards against a long first pause for an engine that has refused once some time ago.
BOOST_FIXTURE_TEST_CASE(growthIsForgottenWithoutNewRefusals, Fixture)
{
    this->backoff.noteRefusal(this->now, 0, this->now);
    this->now += 4500ms;
    BOOST_TEST((this->backoff.noteRefusal(this->now, 0, this->now) == std::optional<Duration>(500ms)));
}

// Guards against reports that end a longer own pause, or are passed on as an own one.
BOOST_FIXTURE_TEST_CASE(reportsAndOwnPauseDoNotChangeEachOther, Fixture)
{
    this->backoff.noteRefusal(this->now, 0, this->now);
    this->backoff.noteReport(100ms, 0, this->now);
    BOOST_TEST((this->backoff.ownRemaining(this->now) == std::optional<Duration>(500ms)));
    this->backoff.noteReport(3s, 0, this->now);
    BOOST_TEST((this->backoff.ownRemaining(this->now) == std::optional<Duration>(500ms)));
    BOOST_TEST(this->backoff.isPausing(this->now + 2999ms));
    BOOST_TEST((this->backoff.noteRefusal(this->now + 600ms, 0, this->now + 600ms) == std::optional<Duration>(1s)));
}

// Guards against a pause that each repetition of a report extends, or begins again after a success.
BOOST_FIXTURE_TEST_CASE(repeatedReportsAreOfOnePause, Fixture)
{
    BOOST_TEST(this->backoff.noteReport(1s, 0, this->now).has_value());
    for (const Duration later : { 200ms, 400ms, 600ms, 800ms })
        BOOST_TEST(!this->backoff.noteReport(1s - later + 50ms, 0.9, this->now + later).has_value());
    BOOST_TEST(!this->backoff.isPausing(this->now + 1s));
    this->backoff.noteSuccess(this->now + 100ms);
    BOOST_TEST(!this->backoff.isPausing(this->now + 200ms));
    BOOST_TEST(!this->backoff.noteReport(800ms, 0, this->now + 200ms).has_value());
    BOOST_TEST(!this->backoff.isPausing(this->now + 200ms));
}

// Guards against a hub that passes on a pause that has ended, or one that its random part has lengthened.
BOOST_FIXTURE_TEST_CASE(knownPauseIsPassedOnWithoutItsRandomPart, Fixture)
{
    BOOST_TEST(!this->backoff.knownRemaining(this->now).has_value());
    this->backoff.noteReport(1s, 0.9, this->now);
    BOOST_TEST((this->backoff.knownRemaining(this->now + 400ms) == std::optional<Duration>(600ms)));
    BOOST_TEST(!this->backoff.knownRemaining(this->now + 1s).has_value());
    BOOST_TEST(this->backoff.isPausing(this->now + 1s));
    this->backoff.noteReport(3s, 0, this->now + 1s);
    this->backoff.noteSuccess(this->now + 1100ms);
    BOOST_TEST(!this->backoff.knownRemaining(this->now + 1200ms).has_value());
    BOOST_TEST(!this->backoff.lastRefusal(this->now + 1200ms).has_value());
}

// Guards against pauses of any length that a malformed or hostile report names.
BOOST_FIXTURE_TEST_CASE(reportedPauseIsLimited, Fixture)
{
    this->backoff.noteReport(Duration::max(), 0.99, this->now);
    BOOST_TEST(!this->backoff.isPausing(this->now + 10s));
    BOOST_TEST(!this->backoff.noteReport(-5s, 0, this->now + 7s).has_value());
}

// Guards against 84 gateways that send about 100 requests per second to an engine which refuses for 14 s.
BOOST_AUTO_TEST_CASE(refusingEngineGetsFewRequestsFromManyGateways)
{
    const int fixed = requestsWhileRefusing(Policy::FixedPause);
    const int backoff = requestsWhileRefusing(Policy::Backoff);
    const int reports = requestsWhileRefusing(Policy::BackoffAndReports);
    BOOST_TEST_MESSAGE("requests: fixed pause " << fixed << ", back-off " << backoff << ", with reports " << reports);
    BOOST_TEST(fixed > 2000);
    BOOST_TEST(backoff < fixed / 4);
    // An engine that has crashed is listed for about four seconds; hearing of each other has to save most of the tries in that time.
    BOOST_TEST(reports < backoff / 2);
}
