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
    this->table.addPeer(addressOf(1));
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
    this->table.addPeer(addressOf(5));
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
