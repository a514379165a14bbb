#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

#include <optional>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

constexpr Duration betweenEvents = 30ms;
constexpr Duration betweenRequests = 50ms;
// Pause after which a caller of the strictest route takes a stream for late, and that after which it leaves.
constexpr Duration latePause = 250ms;
constexpr Duration callerLeaves = 2s;

/** \brief Plays a stream whose engine gets a request of another caller every betweenRequests.
 * \param stallsAt when the stream produces its last event; nothing if it goes on
 * \param refusesFrom when the engine begins to refuse requests; nothing if it takes them
 * \returns the pause at which the stream leaves its chain, or nothing if it stays */
std::optional<Duration> playedPause(std::optional<Duration> stallsAt, std::optional<Duration> refusesFrom)
{
    Duration lastEvent {};
    std::optional<Duration> refusedAt;
    for (Duration now = 0ms; now < callerLeaves; now += 10ms) {
        if (now % betweenEvents == Duration::zero() && (!stallsAt || now <= *stallsAt))
            lastEvent = now;
        if (refusesFrom && now >= *refusesFrom && now % betweenRequests == Duration::zero())
            refusedAt = now;
        const Duration pause = now - lastEvent;
        if (isStalledByRefusingEngine(pause, betweenEvents, refusedAt ? std::optional(now - *refusedAt) : std::nullopt))
            return pause;
    }
    return std::nullopt;
}

}

// Guards against streams at a crashed engine that wait for a report until their callers leave.
BOOST_AUTO_TEST_CASE(streamLeavesACrashedEngineBeforeItIsLate)
{
    const auto pause = playedPause(300ms, 300ms);
    BOOST_REQUIRE(pause);
    BOOST_TEST((*pause < latePause));
}

// Guards against streams that leave an engine which only has no memory for further requests.
BOOST_AUTO_TEST_CASE(streamStaysAtAnEngineThatIsShortOfMemory)
{
    BOOST_TEST(!playedPause(std::nullopt, 300ms));
}

// Guards against streams that leave an engine which is silent for a moment and refuses nothing.
BOOST_AUTO_TEST_CASE(streamStaysAtASilentEngineThatRefusesNothing)
{
    BOOST_TEST(!playedPause(300ms, std::nullopt));
}

// Guards against a refusal from before the pause that is taken for its cause.
BOOST_AUTO_TEST_CASE(earlierRefusalIsNoEvidence)
{
    BOOST_TEST(!isStalledByRefusingEngine(200ms, 30ms, 300ms));
    BOOST_TEST(isStalledByRefusingEngine(200ms, 30ms, 200ms));
}

// Guards against slow streams that leave an engine which refuses other requests.
BOOST_AUTO_TEST_CASE(pauseThatIsUsualForTheStreamIsNoEvidence)
{
    BOOST_TEST(!isStalledByRefusingEngine(400ms, 350ms, 100ms));
    BOOST_TEST(!isStalledByRefusingEngine(400ms, std::nullopt, 100ms));
    BOOST_TEST(isStalledByRefusingEngine(700ms, 350ms, 100ms));
}
