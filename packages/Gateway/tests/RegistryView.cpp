// When entries of the registry may have expired unnoticed, so that endpoints whose entries are gone are still used for a while.
#include "RegistryEntry.h"

#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace filbertspoke;
using namespace filbertspoke::testing;
using namespace std::chrono_literals;

namespace {

constexpr Duration heartbeatInterval = 1200ms;
// Requirement of the users: an endpoint receives no new requests this long after the store has accepted that it leaves.
constexpr Duration drainLimit = 2s;

struct Fixture {
    Fixture()
    {
        this->applyList({ registryEntry("e1", 5), registryEntry("e2", 5) });
    }

    void noteCurrent()
    {
        if (this->view.noteCurrent(this->now))
            this->registry.noteRegistryRecovered(this->now);
    }

    /** \brief Follows the registry without changes, by reads of this daemon or messages of its hub. */
    void follow(Duration time)
    {
        for (const TimePoint end = this->now + time; this->now < end; this->now += 200ms)
            this->noteCurrent();
    }

    void applyList(const std::vector<RegisteredEndpoint>& endpoints)
    {
        this->noteCurrent();
        this->registry.replaceAll(endpoints, this->now);
    }

    std::size_t usable() const { return this->registry.candidates(registryService, this->now).size(); }

    RegistryView view { heartbeatInterval };
    EndpointRegistry registry;
    TimePoint now { 100s };
};

}

// A member read the store during a network partition, in vain, and left it to its hub afterwards. It reads again when the hub freezes.
BOOST_FIXTURE_TEST_CASE(firstReadAfterAPauseIsNoEndOfAnOutage, Fixture)
{
    this->now += 3s;
    this->applyList({ registryEntry("e1", 7), registryEntry("e2", 7) });
    this->follow(6s);
    this->now += 700ms;
    this->applyList({ registryEntry("e1", 12), registryEntry("e2", 12) });
    this->now += 600ms;
    this->applyList({ registryEntry("e2", 12) });
    BOOST_TEST(this->usable() == 1U);
}

// A call takes longer than its timeout, and the next one succeeds.
BOOST_FIXTURE_TEST_CASE(shortGapBetweenReadsIsNoOutage, Fixture)
{
    this->follow(2s);
    this->now += 900ms;
    this->applyList({ registryEntry("e2", 6) });
    BOOST_TEST(this->usable() == 1U);
}

BOOST_FIXTURE_TEST_CASE(endpointMissingAfterALongGapIsUsedForTwoSeconds, Fixture)
{
    this->now += 4s;
    this->applyList({ registryEntry("e2", 8) });
    BOOST_TEST(this->usable() == 2U);
    this->follow(1800ms);
    this->applyList({ registryEntry("e2", 9) });
    BOOST_TEST(this->usable() == 2U);
    this->now += drainLimit - 1800ms;
    BOOST_TEST(this->usable() == 1U);
}

// Guards against requests of members whose hub was frozen: the hub held an endpoint, and they took it from the hub's list as registered.
BOOST_FIXTURE_TEST_CASE(heldEndpointIsNotPassedOn, Fixture)
{
    this->now += 4s;
    this->applyList({ registryEntry("e2", 8) });
    BOOST_TEST(this->usable() == 2U);
    const std::vector<RegisteredEndpoint> entries = this->registry.entries();
    BOOST_REQUIRE(entries.size() == 1U);
    BOOST_TEST((entries.front().id == EndpointId("e2")));
}

// Guards against a list of before a suspension: the last call of a hub that wakes up succeeded, so that it told others to rely on its list.
BOOST_FIXTURE_TEST_CASE(viewOfASuspendedDaemonIsNotCurrent, Fixture)
{
    BOOST_TEST(this->view.isCurrent(this->now));
    this->now += 750ms;
    BOOST_TEST(this->view.isCurrent(this->now));
    this->now += 2s;
    BOOST_TEST(!this->view.isCurrent(this->now));
    this->noteCurrent();
    BOOST_TEST(this->view.isCurrent(this->now));
}

BOOST_FIXTURE_TEST_CASE(ageIsUnknownBeforeTheFirstRead, Fixture)
{
    RegistryView fresh(heartbeatInterval);
    BOOST_TEST(!fresh.age(this->now).has_value());
    BOOST_TEST(!fresh.isCurrent(this->now));
    BOOST_TEST(!fresh.noteCurrent(this->now));
    BOOST_TEST((fresh.age(this->now + 3s) == std::optional<Duration>(3s)));
}
