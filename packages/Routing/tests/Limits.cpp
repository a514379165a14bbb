#include <filbertspoke/Routing>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <vector>

using namespace filbertspoke;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const AccountId account("tesfaye");
constexpr int daemonCount = 4;

Configuration limited(double requestsPerSecond, std::uint32_t concurrent)
{
    return Configuration::Builder().account(AccountConfiguration { account, 1, requestsPerSecond, concurrent }).build();
}

struct Fixture {
    std::vector<AccountLimiter> daemons = std::vector<AccountLimiter>(daemonCount);
    TimePoint now { seconds(1) };

    void configure(const Configuration& configuration)
    {
        for (AccountLimiter& daemon : this->daemons) {
            daemon.configure(configuration);
            daemon.setDaemons(daemonCount);
        }
    }

    void exchange()
    {
        for (int from = 0; from < daemonCount; ++from) {
            for (int to = 0; to < daemonCount; ++to) {
                if (from != to)
                    this->daemons[to].updatePeerDemand(DaemonId(std::to_string(from)), this->daemons[from].demand(this->now), this->now);
            }
        }
    }

    /** \returns requests a second that pass when \a offered go to the first daemon, measured over 20 s */
    double passed(double offered, bool connected)
    {
        int passed = 0;
        const auto gap = Duration(static_cast<Duration::rep>(1e6 / offered));
        const TimePoint measureFrom = this->now + seconds(10);
        const TimePoint end = measureFrom + seconds(20);
        TimePoint nextExchange = this->now;
        for (; this->now < end; this->now += gap) {
            if (connected && this->now >= nextExchange) {
                this->exchange();
                nextExchange += milliseconds(500);
            }
            const bool pass = !this->daemons[0].take(account, this->now);
            passed += pass && this->now >= measureFrom ? 1 : 0;
        }
        return passed / 20.0;
    }
};

}

BOOST_FIXTURE_TEST_CASE(wholeLimitGoesWhereTheDemandIs, Fixture)
{
    this->configure(limited(40, 0));
    const double rate = this->passed(100, true);

    BOOST_TEST(rate >= 0.9 * 40);
    BOOST_TEST(rate <= 40.5);
}

BOOST_FIXTURE_TEST_CASE(cutOffDaemonKeepsItsEvenPart, Fixture)
{
    this->configure(limited(40, 0));
    const double rate = this->passed(100, false);

    BOOST_TEST(rate >= 9.5);
    BOOST_TEST(rate <= 10.5);
}

BOOST_FIXTURE_TEST_CASE(concurrencyFollowsTheDemandToo, Fixture)
{
    this->configure(limited(0, 16));
    for (int request = 0; request < 30; ++request)
        this->daemons[0].queued(account);
    this->exchange();

    BOOST_TEST(this->daemons[0].concurrency(account, this->now).value() >= 15u);
    BOOST_TEST(this->daemons[0].concurrency(account, this->now + seconds(4)).value() == 4u);
}

BOOST_FIXTURE_TEST_CASE(refusedRequestsAreToldTimesThatTheLimitCanTake, Fixture)
{
    this->configure(limited(40, 0));
    while (!this->daemons[0].take(account, this->now)) { }

    const Duration first = this->daemons[0].take(account, this->now).value();
    const Duration second = this->daemons[0].take(account, this->now).value();

    BOOST_TEST((second - first >= milliseconds(25)));
}
