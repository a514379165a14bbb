#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t hub = 0;
constexpr std::size_t standby = 2;
constexpr std::size_t member = 3;

struct Fixture {
    TimePoint now { 100s };
    StoreReaderPolicy policy { 0.5, this->now };
};

}

BOOST_FIXTURE_TEST_CASE(hubAlwaysReadsTheStore, Fixture)
{
    BOOST_TEST(this->policy.mustRead(hub, this->now));
    this->policy.noteHub(HubSource::Store, this->now);
    BOOST_TEST(this->policy.mustRead(hub, this->now));
}

BOOST_FIXTURE_TEST_CASE(nobodyElseReadsWhileTheHubDoes, Fixture)
{
    this->policy.noteHub(HubSource::Store, this->now);
    this->policy.noteCall(true);
    BOOST_TEST(!this->policy.mustRead(standby, this->now));
    BOOST_TEST(!this->policy.mustRead(member, this->now));
    this->now += 601ms;
    BOOST_TEST(this->policy.mustRead(standby, this->now));
}

BOOST_FIXTURE_TEST_CASE(standbysReadAtOnceWhenTheHubCannot, Fixture)
{
    this->policy.noteHub(HubSource::Store, this->now);
    this->policy.noteHub(HubSource::None, this->now + 100ms);
    BOOST_TEST(this->policy.mustRead(standby, this->now + 100ms));
    BOOST_TEST(!this->policy.mustRead(member, this->now + 100ms));
    this->policy.noteHub(HubSource::Relay, this->now + 200ms);
    BOOST_TEST(this->policy.mustRead(standby, this->now + 200ms));
}

// The store may serve a single gateway of the domain. A draining endpoint must get no new requests after two seconds, of which the
// relay over the hub takes less than one.
BOOST_FIXTURE_TEST_CASE(everyGatewayReadsWithinASecondWhenNobodyElseCan, Fixture)
{
    for (const double spread : { 0.0, 0.5, 0.999 }) {
        StoreReaderPolicy other(spread, this->now);
        other.noteHub(HubSource::Store, this->now);
        BOOST_TEST(!other.mustRead(member, this->now + 500ms));
        BOOST_TEST(other.mustRead(member, this->now + 1101ms));
    }
}

BOOST_FIXTURE_TEST_CASE(otherGatewaysDoNotReadWhileTheHubRelays, Fixture)
{
    this->policy.noteHub(HubSource::Relay, this->now);
    BOOST_TEST(!this->policy.mustRead(member, this->now + 600ms));
}

// The gateway from which the hub gets its state must not stop because the hub is up to date.
BOOST_FIXTURE_TEST_CASE(gatewayThatReadsGoesOnWhileTheHubOnlyRelays, Fixture)
{
    this->now += 2s;
    BOOST_REQUIRE(this->policy.mustRead(member, this->now));
    this->policy.noteCall(true);
    this->policy.noteHub(HubSource::Relay, this->now);
    BOOST_TEST(this->policy.mustRead(member, this->now));
    this->policy.noteHub(HubSource::Store, this->now);
    BOOST_TEST(!this->policy.mustRead(member, this->now));
    this->policy.noteStopped();
    this->policy.noteHub(HubSource::Relay, this->now);
    BOOST_TEST(!this->policy.mustRead(member, this->now));
}

// Load pattern: the store is away for twelve seconds on a site of 118 gateways in five failure domains, and refuses each call at once.
// Each gateway follows two collections. Without the limits, all of them made 787 calls a second.
BOOST_AUTO_TEST_CASE(fewCallsMeetAStoreThatIsAway)
{
    constexpr int domains = 5;
    constexpr std::size_t gatewaysPerDomain = 24;
    constexpr Duration outage = 12s;
    const TimePoint begin { 100s };
    std::size_t calls = 0;
    for (std::size_t rank = 0; rank < gatewaysPerDomain; ++rank) {
        StoreReaderPolicy policy(static_cast<double>(rank) / gatewaysPerDomain, begin);
        unsigned failures = 0;
        for (TimePoint now = begin; now < begin + outage;) {
            policy.noteHub(HubSource::None, now);
            if (!policy.mustRead(rank, now)) {
                now += 100ms;
                continue;
            }
            ++calls;
            policy.noteCall(false);
            now += policy.retryDelay(rank, ++failures);
        }
    }
    const double perSecond = 2.0 * domains * static_cast<double>(calls) / static_cast<double>(outage / 1s);
    BOOST_TEST(perSecond < 200);
}
