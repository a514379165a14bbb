// Gateways of one site in virtual time, which repeat requests as often as their budgets allow, against the bound on the
// repeats of all of them in any ten seconds.
#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

constexpr double ratio = 0.2;
constexpr double reserve = 356;
constexpr int gatewayCount = 34;
constexpr int domainCount = 4;
constexpr int seedCount = 3;
constexpr Duration window = 10s;
constexpr Duration tick = 100ms;
constexpr TimePoint begin { 100s };
// Requests a second at a busy and at a quiet service of the site.
constexpr double busy = 205;
constexpr double quiet = 25;

SocketAddress addressOf(int gateway)
{
    return { "10.0.0." + std::to_string(gateway + 1), 8229 };
}

FailureDomainId domainOf(int gateway)
{
    return FailureDomainId(std::string(1, static_cast<char>('a' + gateway % domainCount)));
}

struct SimulatedGateway {
    explicit SimulatedGateway(int index)
        : index(index)
    {
        this->restart();
    }

    void restart()
    {
        this->roster = PeerTable(addressOf(this->index), domainOf(this->index));
        for (int seed = 0; seed < seedCount; ++seed)
            this->roster.addSeed(addressOf(seed));
        this->budget = SharedRetryBudget(ratio, reserve);
    }

    int index;
    int side = 0; ///< gateways on different sides of a cut can't speak with each other
    PeerTable roster { addressOf(0), domainOf(0) };
    SharedRetryBudget budget { ratio, reserve };
};

/** \brief The gateways, the requests that callers sent at a service and the repeats that reached it. */
class Site {
public:
    explicit Site(double rate)
        : rate(rate)
    {
        this->join(gatewayCount);
    }

    void join(int count)
    {
        for (int added = 0; added < count; ++added)
            this->gateways.emplace_back(static_cast<int>(this->gateways.size()));
    }

    void restartAll()
    {
        for (SimulatedGateway& gateway : this->gateways)
            gateway.restart();
    }

    void restart(std::size_t gateway) { this->gateways[gateway % this->gateways.size()].restart(); }

    /** \brief Cuts the failure domains from each other, or ends the cut. */
    void cutDomain(int domain)
    {
        for (SimulatedGateway& gateway : this->gateways)
            gateway.side = gateway.index % domainCount == domain ? 1 : 0;
    }

    void heal() { this->cutDomain(domainCount); }

    void isolateAll()
    {
        for (SimulatedGateway& gateway : this->gateways)
            gateway.side = gateway.index;
    }

    /** \param failing every request fails and is repeated as often as the budgets allow */
    void run(Duration time, bool failing)
    {
        for (Duration passed {}; passed < time; passed += tick) {
            this->now += tick;
            for (SimulatedGateway& gateway : this->gateways)
                this->exchangeWords(gateway);
            this->due += this->rate * std::chrono::duration<double>(tick).count();
            for (; this->due >= 1; this->due -= 1)
                this->serve(this->gateways[this->requests.size() % this->gateways.size()], failing);
        }
    }

    /** \returns the most repeats in a window beyond those that are allowed in it; not positive when the bound is kept */
    double worstExcess()
    {
        std::sort(this->requests.begin(), this->requests.end());
        std::sort(this->repeats.begin(), this->repeats.end());
        double worst = -reserve;
        for (TimePoint start = begin - window; start < this->now + window; start += tick) {
            const double requests = std::max({ count(this->requests, start), count(this->requests, start - window / 2), count(this->requests, start - window) });
            worst = std::max(worst, count(this->repeats, start) - ratio * requests - reserve);
        }
        return worst;
    }

    std::size_t repeatCount() const { return this->repeats.size(); }

    double rate;
    Duration readingDelay {}; ///< between the sending and the reading of a request
    Duration longestWay {}; ///< between the decision to repeat a request and its arrival

private:
    static double count(const std::vector<TimePoint>& times, TimePoint start)
    {
        return static_cast<double>(std::lower_bound(times.begin(), times.end(), start + window) - std::lower_bound(times.begin(), times.end(), start));
    }

    /** \returns when a repeat that is decided now arrives: together with the others that are held up */
    TimePoint arrival() const
    {
        if (this->longestWay == Duration::zero())
            return this->now;
        return this->now + this->longestWay - (this->now - begin) % this->longestWay;
    }

    void exchangeWords(SimulatedGateway& gateway)
    {
        for (const SocketAddress& address : gateway.roster.due(this->now)) {
            gateway.roster.noteExchangeStart(address, this->now);
            const auto other = std::find_if(this->gateways.begin(), this->gateways.end(), [&](const SimulatedGateway& candidate) { return addressOf(candidate.index) == address; });
            if (other == this->gateways.end() || other->side != gateway.side) {
                gateway.roster.noteFailure(address);
                continue;
            }
            this->tell(gateway, *other);
            this->tell(*other, gateway);
        }
    }

    void tell(const SimulatedGateway& speaker, SimulatedGateway& listener)
    {
        listener.roster.notePeerAlive(addressOf(speaker.index), domainOf(speaker.index));
        for (const SocketAddress& address : speaker.roster.reachable())
            listener.roster.meet(address);
        if (const auto size = speaker.roster.siteSize(this->now))
            listener.roster.noteReportedSize(*size, this->now);
    }

    void serve(SimulatedGateway& gateway, bool failing)
    {
        const auto size = gateway.roster.siteSize(this->now);
        gateway.budget.setGatewayCount(size ? std::optional(size->gateways) : std::nullopt);
        gateway.budget.firstAttempt();
        this->requests.push_back(this->now - this->readingDelay);
        while (failing && gateway.budget.takeRetry())
            this->repeats.push_back(this->arrival());
    }

    std::vector<SimulatedGateway> gateways;
    std::vector<TimePoint> requests;
    std::vector<TimePoint> repeats;
    TimePoint now = begin;
    double due = 0; ///< requests that are to be served
};

}

BOOST_AUTO_TEST_CASE(gatewaysThatRestartInSeriesKeepToTheSharedBudget)
{
    for (const double rate : { busy, quiet }) {
        Site site(rate);
        site.run(90s, false);
        site.run(1400ms, true);
        for (int restart = 0; restart < 6; ++restart) {
            site.restartAll();
            site.run(1400ms, true);
        }
        BOOST_TEST(site.worstExcess() <= 0);
    }
}

BOOST_AUTO_TEST_CASE(gatewaysThatRestartedBehindACutKeepToTheSharedBudget)
{
    Site site(2 * busy);
    site.run(10s, false);
    site.cutDomain(0);
    site.restartAll();
    site.run(30s, false);
    site.run(10s, true);
    BOOST_TEST(site.worstExcess() <= 0);
}

BOOST_AUTO_TEST_CASE(gatewaysThatRestartedAloneKeepToTheSharedBudget)
{
    for (const double rate : { busy, quiet }) {
        Site site(rate);
        site.isolateAll();
        site.restartAll();
        site.run(40s, false);
        site.run(10s, true);
        BOOST_TEST(site.worstExcess() <= 0);
    }
}

BOOST_AUTO_TEST_CASE(gatewaysThatJoinKeepToTheSharedBudget)
{
    Site site(busy);
    site.run(30s, false);
    site.join(gatewayCount);
    site.run(15s, true);
    BOOST_TEST(site.worstExcess() <= 0);
}

BOOST_AUTO_TEST_CASE(repeatsThatArriveLateKeepToTheSharedBudget)
{
    for (const double rate : { 10 * busy, busy, quiet }) {
        Site site(rate);
        site.readingDelay = 1s;
        site.longestWay = 2s;
        site.run(30s, false);
        site.run(20s, true);
        BOOST_TEST(site.worstExcess() <= 0);
    }
}

// The budget is there to be used: what the gateways of a site may make together, they can make.
BOOST_AUTO_TEST_CASE(gatewaysThatKnowEachOtherMayUseMostOfTheReserve)
{
    Site site(busy);
    site.run(30s, false);
    const std::size_t before = site.repeatCount();
    site.run(1s, true);
    BOOST_TEST(site.repeatCount() - before >= reserve / 2);
}

BOOST_AUTO_TEST_CASE(randomRestartsCutsAndBurstsKeepToTheSharedBudget)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        Site site(seed % 2 == 0 ? busy : quiet);
        site.readingDelay = 1s;
        site.longestWay = 2s;
        for (int step = 0; step < 24; ++step) {
            switch (random() % 9) {
            case 0:
                site.restartAll();
                break;
            case 1:
                site.cutDomain(static_cast<int>(random() % domainCount));
                break;
            case 2:
                site.heal();
                break;
            case 3:
                site.rate *= random() % 2 == 0 ? 1.7 : 1 / 1.7;
                break;
            case 4:
                for (int restart = 0; restart < gatewayCount / 2; ++restart)
                    site.restart(random());
                break;
            case 5:
                site.join(1 + static_cast<int>(random() % 3));
                break;
            case 6:
                site.isolateAll();
                break;
            default:
                break;
            }
            site.run(Duration(1s) * (1 + random() % 4), random() % 2 == 0);
        }
        BOOST_TEST(site.worstExcess() <= 0, "seed " << seed << " exceeds by " << site.worstExcess());
    }
}
