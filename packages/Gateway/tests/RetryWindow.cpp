// Simulates the gateways of one site in virtual time. They retry requests as often as their budgets allow, and the tests check the limit
// on the retries of all gateways in any ten seconds.
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
constexpr int seedNodeCount = 3;
constexpr Duration window = 10s;
constexpr Duration tick = 100ms;
constexpr TimePoint begin { 100s };
// Requests per second at a busy and at a quiet service of the site.
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
        this->peerTable = PeerTable(addressOf(this->index), domainOf(this->index));
        for (int seed = 0; seed < seedNodeCount; ++seed)
            this->peerTable.addSeed(addressOf(seed));
        this->budget = SharedRetryBudget(ratio, reserve);
    }

    int index;
    int partition = 0; ///< gateways in different network partitions can't exchange messages
    PeerTable peerTable { addressOf(0), domainOf(0) };
    SharedRetryBudget budget { ratio, reserve };
};

/** \brief The gateways of a site, with the times of the requests to a service and of the retries that reached it. */
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

    /** \brief Partitions the network between the failure domain and all others; a domain that does not exist ends the partition. */
    void partitionDomain(int domain)
    {
        for (SimulatedGateway& gateway : this->gateways)
            gateway.partition = gateway.index % domainCount == domain ? 1 : 0;
    }

    void healPartition() { this->partitionDomain(domainCount); }

    void isolateAll()
    {
        for (SimulatedGateway& gateway : this->gateways)
            gateway.partition = gateway.index;
    }

    /** \param failing whether every request fails and is retried as often as the budgets allow */
    void run(Duration time, bool failing)
    {
        for (Duration passed {}; passed < time; passed += tick) {
            this->now += tick;
            for (SimulatedGateway& gateway : this->gateways)
                this->exchangeMessages(gateway);
            this->due += this->rate * std::chrono::duration<double>(tick).count();
            for (; this->due >= 1; this->due -= 1)
                this->serve(this->gateways[this->requests.size() % this->gateways.size()], failing);
        }
    }

    /** \returns the maximum over all windows of the retries minus the allowed retries; not positive when the limit holds */
    double maximumExcess()
    {
        std::sort(this->requests.begin(), this->requests.end());
        std::sort(this->retries.begin(), this->retries.end());
        double excess = -reserve;
        for (TimePoint start = begin - window; start < this->now + window; start += tick) {
            const double requests = std::max({ count(this->requests, start), count(this->requests, start - window / 2), count(this->requests, start - window) });
            excess = std::max(excess, count(this->retries, start) - ratio * requests - reserve);
        }
        return excess;
    }

    std::size_t retryCount() const { return this->retries.size(); }

    double rate;
    Duration readDelay {}; ///< between the sending of a request and its reading by the gateway
    Duration maximumRetryDelay {}; ///< between the decision to retry a request and its arrival at the service

private:
    static double count(const std::vector<TimePoint>& times, TimePoint start)
    {
        return static_cast<double>(std::lower_bound(times.begin(), times.end(), start + window) - std::lower_bound(times.begin(), times.end(), start));
    }

    /** \returns when a retry that is decided now arrives; delayed retries arrive together */
    TimePoint arrival() const
    {
        if (this->maximumRetryDelay == Duration::zero())
            return this->now;
        return this->now + this->maximumRetryDelay - (this->now - begin) % this->maximumRetryDelay;
    }

    void exchangeMessages(SimulatedGateway& gateway)
    {
        for (const SocketAddress& address : gateway.peerTable.due(this->now)) {
            gateway.peerTable.noteExchangeStart(address, this->now);
            const auto other = std::find_if(this->gateways.begin(), this->gateways.end(), [&](const SimulatedGateway& candidate) { return addressOf(candidate.index) == address; });
            if (other == this->gateways.end() || other->partition != gateway.partition) {
                gateway.peerTable.noteFailure(address);
                continue;
            }
            other->peerTable.noteExchangeStart(addressOf(gateway.index), this->now);
            this->deliver(gateway, *other);
            this->deliver(*other, gateway);
        }
    }

    void deliver(const SimulatedGateway& sender, SimulatedGateway& receiver)
    {
        receiver.peerTable.notePeerAlive(addressOf(sender.index), domainOf(sender.index));
        for (const PeerAddress& peer : sender.peerTable.reachable())
            receiver.peerTable.addPeer(peer);
        if (const auto size = sender.peerTable.siteSize(this->now))
            receiver.peerTable.noteReportedSize(*size, this->now);
    }

    void serve(SimulatedGateway& gateway, bool failing)
    {
        const auto size = gateway.peerTable.siteSize(this->now);
        gateway.budget.setGatewayCount(size ? std::optional(size->gateways) : std::nullopt);
        gateway.budget.firstAttempt();
        this->requests.push_back(this->now - this->readDelay);
        while (failing && gateway.budget.takeRetry())
            this->retries.push_back(this->arrival());
    }

    std::vector<SimulatedGateway> gateways;
    std::vector<TimePoint> requests;
    std::vector<TimePoint> retries;
    TimePoint now = begin;
    double due = 0; ///< requests that have arrived and are not served yet
};

}

BOOST_AUTO_TEST_CASE(gatewaysThatRestartRepeatedlyStayWithinTheSharedBudget)
{
    for (const double rate : { busy, quiet }) {
        Site site(rate);
        site.run(90s, false);
        site.run(1400ms, true);
        for (int restart = 0; restart < 6; ++restart) {
            site.restartAll();
            site.run(1400ms, true);
        }
        BOOST_TEST(site.maximumExcess() <= 0);
    }
}

BOOST_AUTO_TEST_CASE(gatewaysThatRestartDuringAPartitionStayWithinTheSharedBudget)
{
    Site site(2 * busy);
    site.run(10s, false);
    site.partitionDomain(0);
    site.restartAll();
    site.run(30s, false);
    site.run(10s, true);
    BOOST_TEST(site.maximumExcess() <= 0);
}

BOOST_AUTO_TEST_CASE(isolatedGatewaysThatRestartStayWithinTheSharedBudget)
{
    for (const double rate : { busy, quiet }) {
        Site site(rate);
        site.isolateAll();
        site.restartAll();
        site.run(40s, false);
        site.run(10s, true);
        BOOST_TEST(site.maximumExcess() <= 0);
    }
}

BOOST_AUTO_TEST_CASE(joiningGatewaysStayWithinTheSharedBudget)
{
    Site site(busy);
    site.run(30s, false);
    site.join(gatewayCount);
    site.run(15s, true);
    BOOST_TEST(site.maximumExcess() <= 0);
}

BOOST_AUTO_TEST_CASE(delayedRetriesStayWithinTheSharedBudget)
{
    for (const double rate : { 10 * busy, busy, quiet }) {
        Site site(rate);
        site.readDelay = 1s;
        site.maximumRetryDelay = 2s;
        site.run(30s, false);
        site.run(20s, true);
        BOOST_TEST(site.maximumExcess() <= 0);
    }
}

// Guards against shares so small that the gateways of a site together can't use the budget.
BOOST_AUTO_TEST_CASE(connectedGatewaysCanUseHalfOfTheReserve)
{
    Site site(busy);
    site.run(30s, false);
    const std::size_t before = site.retryCount();
    site.run(1s, true);
    BOOST_TEST(site.retryCount() - before >= reserve / 2);
}

BOOST_AUTO_TEST_CASE(randomRestartsPartitionsAndBurstsStayWithinTheSharedBudget)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        Site site(seed % 2 == 0 ? busy : quiet);
        site.readDelay = 1s;
        site.maximumRetryDelay = 2s;
        for (int step = 0; step < 24; ++step) {
            switch (random() % 9) {
            case 0:
                site.restartAll();
                break;
            case 1:
                site.partitionDomain(static_cast<int>(random() % domainCount));
                break;
            case 2:
                site.healPartition();
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
        BOOST_TEST(site.maximumExcess() <= 0, "seed " << seed << " exceeds by " << site.maximumExcess());
    }
}
