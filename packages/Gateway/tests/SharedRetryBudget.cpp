#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace filbertspoke;

namespace {

constexpr double ratio = 0.2;
constexpr double reserve = 326;
constexpr std::size_t gatewayCount = 28;

/** \brief Gateways of which every request fails and is retried as often as the budget allows. */
struct Fixture {
    std::size_t serve(std::size_t requests, std::size_t known)
    {
        std::size_t retries = 0;
        for (std::size_t request = 0; request < requests; ++request) {
            SharedRetryBudget& budget = this->gateways[request % gatewayCount];
            budget.setGatewayCount(known);
            budget.firstAttempt();
            while (budget.takeRetry())
                ++retries;
        }
        return retries;
    }

    void restart() { this->gateways.assign(gatewayCount, SharedRetryBudget(ratio, reserve)); }

    std::vector<SharedRetryBudget> gateways = std::vector<SharedRetryBudget>(gatewayCount, SharedRetryBudget(ratio, reserve));
};

}

BOOST_FIXTURE_TEST_CASE(gatewaysThatSavedRetriesKeepToTheSharedBudget, Fixture)
{
    for (SharedRetryBudget& gateway : this->gateways) {
        gateway.setGatewayCount(gatewayCount);
        for (int request = 0; request < 1000; ++request)
            gateway.firstAttempt();
    }
    constexpr std::size_t requests = 2000;
    const std::size_t retries = this->serve(requests, gatewayCount);
    BOOST_TEST(retries <= ratio * requests + reserve);
    BOOST_TEST(retries >= reserve / 2);
}

// A retry saved at the start was one for each restart of each gateway, which no reserve covers.
BOOST_AUTO_TEST_CASE(freshGatewayEarnsItsFirstRetry)
{
    SharedRetryBudget budget(ratio, reserve);
    budget.setGatewayCount(gatewayCount);
    int requests = 0;
    while (!budget.hasRetry()) {
        budget.firstAttempt();
        ++requests;
    }
    BOOST_TEST(requests * ratio >= 1);
    BOOST_TEST(budget.takeRetry());
    BOOST_TEST(!budget.takeRetry());
}

BOOST_AUTO_TEST_CASE(gatewayThatDoesNotKnowItsNumberSavesUpForOneRetry)
{
    SharedRetryBudget budget(ratio, reserve);
    budget.setGatewayCount(std::nullopt);
    for (int request = 0; request < 1000; ++request)
        budget.firstAttempt();
    BOOST_TEST(budget.takeRetry());
    BOOST_TEST(!budget.takeRetry());
}

// All gateways were killed within one window. Each took itself for one of four when it came back, and together they
// made 1,050 repeats where 912 were allowed.
BOOST_FIXTURE_TEST_CASE(gatewaysThatRestartTogetherKeepToTheSharedBudget, Fixture)
{
    for (SharedRetryBudget& gateway : this->gateways) {
        gateway.setGatewayCount(gatewayCount);
        for (int request = 0; request < 1000; ++request)
            gateway.firstAttempt();
    }
    constexpr std::size_t requestsBefore = 1000;
    constexpr std::size_t requestsAfter = 2000;
    std::size_t retries = this->serve(requestsBefore, gatewayCount);
    this->restart();
    retries += this->serve(requestsAfter, 1);
    BOOST_TEST(retries <= ratio * (requestsBefore + requestsAfter) + reserve);
}
