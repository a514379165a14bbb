#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const FailureDomainId near("a");
const FailureDomainId far("b");

SocketAddress at(int host)
{
    return { "10.0.0." + std::to_string(host), 80 };
}

struct Fixture {
    bool isDue(int host) const
    {
        const auto due = this->roster.due(this->now);
        return std::find(due.begin(), due.end(), at(host)) != due.end();
    }

    void askAll()
    {
        for (const SocketAddress& address : this->roster.due(this->now))
            this->roster.noteExchangeStart(address, this->now);
    }

    PeerTable roster { at(5), near };
    TimePoint now { 100s };
};

}

BOOST_FIXTURE_TEST_CASE(aloneItIsTheHub, Fixture)
{
    BOOST_TEST(this->roster.isHub());
    this->roster.meet(at(1));
    BOOST_TEST(this->roster.isHub());
    BOOST_TEST(this->isDue(1));
    BOOST_TEST(this->roster.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(lowestReachableAddressOfTheDomainIsTheHub, Fixture)
{
    this->roster.notePeerAlive(at(2), near);
    this->roster.notePeerAlive(at(1), far);
    BOOST_TEST((this->roster.hub(near) == at(2)));
    BOOST_TEST((this->roster.hub(far) == at(1)));
    BOOST_TEST(!this->roster.isHub());
    this->roster.noteFailure(at(2));
    BOOST_TEST(!this->roster.isHub());
    this->roster.noteFailure(at(2));
    BOOST_TEST(this->roster.isHub());
    this->roster.notePeerAlive(at(2), near);
    BOOST_TEST(!this->roster.isHub());
}

BOOST_FIXTURE_TEST_CASE(membersSpeakWithTheirHubOnly, Fixture)
{
    this->roster.notePeerAlive(at(2), near);
    this->roster.notePeerAlive(at(3), near);
    this->roster.notePeerAlive(at(1), far);
    this->askAll();
    this->now += 200ms;
    BOOST_TEST(this->isDue(2));
    BOOST_TEST(!this->isDue(3));
    BOOST_TEST(!this->isDue(1));
    this->now += 5s;
    BOOST_TEST(this->isDue(3));
    BOOST_TEST(this->isDue(1));
}

BOOST_FIXTURE_TEST_CASE(hubsSpeakWithEachOther, Fixture)
{
    this->roster.notePeerAlive(at(7), near);
    this->roster.notePeerAlive(at(1), far);
    this->roster.notePeerAlive(at(2), far);
    this->askAll();
    this->now += 200ms;
    BOOST_TEST(this->isDue(1));
    BOOST_TEST(!this->isDue(2));
    BOOST_TEST(!this->isDue(7));
}

BOOST_FIXTURE_TEST_CASE(unreachableGatewaysAreTriedAgain, Fixture)
{
    this->roster.notePeerAlive(at(1), far);
    this->roster.noteFailure(at(1));
    this->roster.noteFailure(at(1));
    this->askAll();
    this->now += 900ms;
    BOOST_TEST(!this->isDue(1));
    this->now += 100ms;
    BOOST_TEST(this->isDue(1));
    BOOST_TEST(this->roster.reachable().empty());
}

// In a domain that was cut off each gateway took a part of the retries as if the others were gone.
BOOST_FIXTURE_TEST_CASE(unreachableGatewaysStillCountAsKnown, Fixture)
{
    this->roster.notePeerAlive(at(1), far);
    this->roster.noteFailure(at(1));
    this->roster.noteFailure(at(1));
    BOOST_TEST(this->roster.size() == 1U);
    BOOST_TEST(this->roster.known() == 2U);
}

BOOST_FIXTURE_TEST_CASE(itNeverMeetsItself, Fixture)
{
    this->roster.meet(at(5));
    this->roster.notePeerAlive(at(5), near);
    BOOST_TEST(this->roster.due(this->now).empty());
}

BOOST_FIXTURE_TEST_CASE(siteSizeIsUnknownUntilMostSeedsAreHeard, Fixture)
{
    for (int seed = 1; seed <= 3; ++seed)
        this->roster.addSeed(at(seed));
    this->roster.notePeerAlive(at(1), near);
    this->roster.notePeerAlive(at(7), near);
    BOOST_TEST(!this->roster.siteSize(this->now).has_value());
    this->roster.notePeerAlive(at(2), far);
    BOOST_TEST((this->roster.siteSize(this->now) == SiteSize { 5, 0s }));
}

BOOST_FIXTURE_TEST_CASE(gatewayThatIsASeedHasHeardItself, Fixture)
{
    this->roster.addSeed(at(5));
    BOOST_TEST((this->roster.siteSize(this->now) == SiteSize { 1, 0s }));
    this->roster.addSeed(at(6));
    BOOST_TEST(!this->roster.siteSize(this->now).has_value());
}

BOOST_FIXTURE_TEST_CASE(siteSizeIsTakenFromAGatewayThatKnows, Fixture)
{
    this->roster.addSeed(at(1));
    this->roster.noteReportedSize({ 34, 10s }, this->now);
    BOOST_TEST((this->roster.siteSize(this->now) == SiteSize { 34, 10s }));
    this->roster.noteReportedSize({ 20, 0s }, this->now);
    BOOST_TEST((this->roster.siteSize(this->now) == SiteSize { 34, 10s }));
    this->roster.notePeerAlive(at(1), near);
    BOOST_TEST((this->roster.siteSize(this->now) == SiteSize { 34, 10s }));
}

// Gateways that repeat each other's word would keep it alive for good.
BOOST_FIXTURE_TEST_CASE(repeatedWordOnTheSiteSizeExpires, Fixture)
{
    this->roster.addSeed(at(1));
    this->roster.noteReportedSize({ 34, 0s }, this->now);
    const TimePoint said = this->now;
    for (; this->now < said + 2h; this->now += 60s)
        this->roster.noteReportedSize(*this->roster.siteSize(this->now), this->now);
    BOOST_TEST(!this->roster.siteSize(this->now).has_value());
}
