// Short runs with fixed seeds, and every seed that ever failed.
#include <filbertspoke/Soak>

#include <boost/test/unit_test.hpp>

#include <cstdint>

using namespace filbertspoke;

namespace {

void keepsEveryPromise(std::uint64_t seed, soak::SoakPaths paths = soak::SoakPaths::Shared)
{
    const soak::SoakOutcome outcome = soak::SoakRun(seed, std::chrono::seconds(8), paths).run();
    for (const std::string& violation : outcome.violations)
        BOOST_ERROR("seed " << seed << ": " << violation);
    for (const std::string& line : outcome.log)
        BOOST_TEST_MESSAGE(line);
    BOOST_TEST(outcome.answered > 0U);
    BOOST_TEST(!outcome.faults.empty());
}

}

BOOST_AUTO_TEST_CASE(gatewaysKeepEveryPromiseUnderFaults)
{
    keepsEveryPromise(1);
}

// Gateways that reach no endpoint have to hand their requests over.
BOOST_AUTO_TEST_CASE(gatewaysKeepEveryPromiseWhileCutOffFromAllEndpoints)
{
    keepsEveryPromise(1, soak::SoakPaths::ByDomain);
}

// A gateway could not start again and again, most likely because two of its listeners had been given one port.
BOOST_AUTO_TEST_CASE(gatewayWhoseListenersHaveOnePortEach)
{
    keepsEveryPromise(650);
}

// A hangup that came while a gateway was being started again ended it.
BOOST_AUTO_TEST_CASE(gatewayThatIsStartedAgainTakesAHangup)
{
    for (const std::uint64_t seed : { 418, 455 })
        keepsEveryPromise(seed);
}

// A gateway that was killed while the store restarted from a copy refused requests until it knew a configuration, and then had the older one
// of the copy. The check took the refusals for a sign that the newer one was in force.
BOOST_AUTO_TEST_CASE(gatewayThatStartsWhileTheStoreHasAnOlderCopy)
{
    keepsEveryPromise(20008);
}

// An endpoint said in a malformed answer that it was leaving, and the caller got the gateway's own refusal. The check took that for the answer passed on.
BOOST_AUTO_TEST_CASE(endpointThatSaysInAMalformedAnswerThatItIsLeaving)
{
    keepsEveryPromise(80031);
}

// An engine that had been started again pushed back before gateways knew its new run, and they forgot the pushback when the entry of that run came.
BOOST_AUTO_TEST_CASE(pushbackOfAnEngineWhoseNewRunIsNotKnownYet)
{
    keepsEveryPromise(82041);
}
