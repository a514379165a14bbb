#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const FailureDomainId localDomain("a");
const FailureDomainId remoteDomain("b");

SocketAddress addressOf(int host)
{
    return { "10.0.0." + std::to_string(host), 80 };
}

struct Fixture {
    bool isDue(int host) const
    {
        const auto due = this->table.due(this->now);
        return std::find(due.begin(), due.end(), addressOf(host)) != due.end();
    }

    void startDueExchanges()
    {
        for (const SocketAddress& address : this->table.due(this->now))
            this->table.noteExchangeStart(address, this->now);
    }

    PeerTable table { addressOf(5), localDomain };
    TimePoint now { 100s };
};

}

BOOST_FIXTURE_TEST_CASE(gatewayWithoutReachablePeersIsTheHub, Fixture)
{
    BOOST_TEST(this->table.isHub());
    this->table.addPeer({ addressOf(1), {} });
    BOOST_TEST(this->table.isHub());
    BOOST_TEST(this->isDue(1));
    BOOST_TEST(this->table.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(lowestReachableAddressOfTheDomainIsTheHub, Fixture)
{
    this->table.notePeerAlive(addressOf(2), localDomain);
    this->table.notePeerAlive(addressOf(1), remoteDomain);
    BOOST_TEST((this->table.hub(localDomain) == addressOf(2)));
    BOOST_TEST((this->table.hub(remoteDomain) == addressOf(1)));
    BOOST_TEST(!this->table.isHub());
    this->table.noteFailure(addressOf(2));
    BOOST_TEST(!this->table.isHub());
    this->table.noteFailure(addressOf(2));
    BOOST_TEST(this->table.isHub());
    this->table.notePeerAlive(addressOf(2), localDomain);
    BOOST_TEST(!this->table.isHub());
}

BOOST_FIXTURE_TEST_CASE(hubIsTheOnlyPartnerOfAMember, Fixture)
{
    this->table.notePeerAlive(addressOf(2), localDomain);
    this->table.notePeerAlive(addressOf(3), localDomain);
    this->table.notePeerAlive(addressOf(1), remoteDomain);
    this->startDueExchanges();
    this->now += 200ms;
    BOOST_TEST(this->isDue(2));
    BOOST_TEST(!this->isDue(3));
    BOOST_TEST(!this->isDue(1));
    this->now += 5s;
    BOOST_TEST(this->isDue(3));
    BOOST_TEST(this->isDue(1));
}

BOOST_FIXTURE_TEST_CASE(otherHubsAreTheOnlyPartnersOfAHub, Fixture)
{
    this->table.notePeerAlive(addressOf(7), localDomain);
    this->table.notePeerAlive(addressOf(1), remoteDomain);
    this->table.notePeerAlive(addressOf(2), remoteDomain);
    this->startDueExchanges();
    this->now += 200ms;
    BOOST_TEST(this->isDue(1));
    BOOST_TEST(!this->isDue(2));
    BOOST_TEST(!this->isDue(7));
}

BOOST_FIXTURE_TEST_CASE(unreachableGatewaysAreRetriedAfterASecond, Fixture)
{
    this->table.notePeerAlive(addressOf(1), remoteDomain);
    this->table.noteFailure(addressOf(1));
    this->table.noteFailure(addressOf(1));
    this->startDueExchanges();
    this->now += 900ms;
    BOOST_TEST(!this->isDue(1));
    this->now += 100ms;
    BOOST_TEST(this->isDue(1));
    BOOST_TEST(this->table.reachable().empty());
}

// Guards against gateways of a partitioned domain that divide the retry budget as if the unreachable gateways were gone.
BOOST_FIXTURE_TEST_CASE(unreachableGatewaysStillCountAsKnown, Fixture)
{
    this->table.notePeerAlive(addressOf(1), remoteDomain);
    this->table.noteFailure(addressOf(1));
    this->table.noteFailure(addressOf(1));
    BOOST_TEST(this->table.size() == 1U);
    BOOST_TEST(this->table.known() == 2U);
}

BOOST_FIXTURE_TEST_CASE(ownAddressIsNotAPeer, Fixture)
{
    this->table.addPeer({ addressOf(5), {} });
    this->table.notePeerAlive(addressOf(5), localDomain);
    BOOST_TEST(this->table.due(this->now).empty());
}

BOOST_FIXTURE_TEST_CASE(siteSizeIsUnknownUntilMostSeedsAreHeardFrom, Fixture)
{
    for (int seed = 1; seed <= 3; ++seed)
        this->table.addSeed(addressOf(seed));
    this->table.notePeerAlive(addressOf(1), localDomain);
    this->table.notePeerAlive(addressOf(7), localDomain);
    BOOST_TEST(!this->table.siteSize(this->now).has_value());
    this->table.notePeerAlive(addressOf(2), remoteDomain);
    BOOST_TEST((this->table.siteSize(this->now) == SiteSize { 5, 0s }));
}

BOOST_FIXTURE_TEST_CASE(seedCountsItselfAsHeardFrom, Fixture)
{
    this->table.addSeed(addressOf(5));
    BOOST_TEST((this->table.siteSize(this->now) == SiteSize { 1, 0s }));
    this->table.addSeed(addressOf(6));
    BOOST_TEST(!this->table.siteSize(this->now).has_value());
}

BOOST_FIXTURE_TEST_CASE(siteSizeIsTakenFromReportsOfOtherGateways, Fixture)
{
    this->table.addSeed(addressOf(1));
    this->table.noteReportedSize({ 34, 10s }, this->now);
    BOOST_TEST((this->table.siteSize(this->now) == SiteSize { 34, 10s }));
    this->table.noteReportedSize({ 20, 0s }, this->now);
    BOOST_TEST((this->table.siteSize(this->now) == SiteSize { 34, 10s }));
    this->table.notePeerAlive(addressOf(1), localDomain);
    BOOST_TEST((this->table.siteSize(this->now) == SiteSize { 34, 10s }));
}

// Guards against gateways that relay a reported size to each other and thereby keep it valid forever.
BOOST_FIXTURE_TEST_CASE(relayedSiteSizeExpires, Fixture)
{
    this->table.addSeed(addressOf(1));
    this->table.noteReportedSize({ 34, 0s }, this->now);
    const TimePoint said = this->now;
    for (; this->now < said + 2h; this->now += 60s)
        this->table.noteReportedSize(*this->table.siteSize(this->now), this->now);
    BOOST_TEST(!this->table.siteSize(this->now).has_value());
}

BOOST_FIXTURE_TEST_CASE(gatewayThatAnotherOneNamesIsUsedUntilItFails, Fixture)
{
    this->table.addPeer({ addressOf(2), localDomain });
    this->table.addPeer({ addressOf(1), remoteDomain });
    BOOST_TEST((this->table.hub(localDomain) == addressOf(2)));
    BOOST_TEST((this->table.hub(remoteDomain) == addressOf(1)));
    BOOST_TEST(!this->table.isHub());
    this->table.noteFailure(addressOf(2));
    this->table.noteFailure(addressOf(2));
    this->table.addPeer({ addressOf(2), localDomain });
    BOOST_TEST(this->table.isHub());
}

BOOST_FIXTURE_TEST_CASE(seedThatAnotherGatewayNamesIsNotHeardFrom, Fixture)
{
    this->table.addSeed(addressOf(1));
    this->table.addPeer({ addressOf(1), localDomain });
    BOOST_TEST(!this->table.siteSize(this->now).has_value());
    this->table.notePeerAlive(addressOf(1), localDomain);
    BOOST_TEST(this->table.siteSize(this->now).has_value());
}

BOOST_FIXTURE_TEST_CASE(exchangeStartedByThePeerCountsAsOne, Fixture)
{
    this->table.notePeerAlive(addressOf(1), remoteDomain);
    this->startDueExchanges();
    this->now += 150ms;
    this->table.noteExchangeStart(addressOf(1), this->now);
    this->now += 150ms;
    BOOST_TEST(!this->isDue(1));
    this->now += 50ms;
    BOOST_TEST(this->isDue(1));
}

// Load pattern: a site of 1,400 gateways in seven failure domains. What one gateway spends on exchanges must not grow with the site, or all
// of them together would send a million messages a second.
BOOST_AUTO_TEST_CASE(exchangesOfAGatewayDoNotGrowWithTheSite)
{
    for (const int gateways : { 118, 1400 }) {
        PeerTable table({ "10.1.0.0", 80 }, localDomain);
        for (int host = 1; host < gateways; ++host)
            table.addPeer({ { "10.2." + std::to_string(host / 200) + "." + std::to_string(host % 200), 80 }, FailureDomainId(std::string(1, static_cast<char>('a' + host % 7))) });
        std::size_t exchanges = 0;
        TimePoint now { 100s };
        const auto runUntil = [&](TimePoint end) {
            for (; now < end; now += 100ms) {
                for (const SocketAddress& address : table.due(now)) {
                    table.noteExchangeStart(address, now);
                    ++exchanges;
                }
            }
        };
        constexpr Duration observed = 1400s;
        runUntil(now + observed);
        exchanges = 0;
        runUntil(now + observed);
        // Six other hubs five times a second, and two others a second.
        BOOST_TEST(exchanges <= 32U * static_cast<unsigned>(observed / 1s), gateways << " gateways: " << exchanges);
    }
}

// Load pattern: half of a site of 118 gateways lost power. The survivors must find their hubs again quickly without spending their time
// on connections to gateways that do not respond.
BOOST_AUTO_TEST_CASE(unresponsiveGatewaysAreContactedAtALimitedRate)
{
    PeerTable table({ "10.1.0.0", 80 }, localDomain);
    TimePoint now { 100s };
    for (int host = 1; host < 118; ++host) {
        const SocketAddress address { "10.2.0." + std::to_string(host), 80 };
        table.addPeer({ address, host % 2 ? remoteDomain : localDomain });
        table.noteFailure(address);
        table.noteFailure(address);
    }
    std::size_t exchanges = 0;
    for (const TimePoint end = now + 60s; now < end; now += 100ms) {
        for (const SocketAddress& address : table.due(now)) {
            table.noteExchangeStart(address, now);
            ++exchanges;
        }
    }
    BOOST_TEST(exchanges > 0U);
    BOOST_TEST(exchanges <= 70U * 60U);
}
