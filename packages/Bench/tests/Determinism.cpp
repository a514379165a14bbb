#include <filbertspoke/Bench>

#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace filbertspoke;

namespace {

bench::Scenario shortened(std::size_t number)
{
    bench::Scenario scenario = bench::allScenarios().at(number);
    scenario.warmUp = std::chrono::seconds(1);
    scenario.faultAt = std::chrono::seconds(1);
    scenario.length = std::chrono::seconds(2);
    return scenario;
}

}

BOOST_AUTO_TEST_CASE(sameSeedGivesTheSameResult)
{
    const bench::Scenario scenario = shortened(0);
    const bench::Result first = bench::Trial(scenario, bench::Policy::ExpectedTime, 7).run();

    BOOST_TEST((first == bench::Trial(scenario, bench::Policy::ExpectedTime, 7).run()));
    BOOST_TEST((first != bench::Trial(scenario, bench::Policy::ExpectedTime, 8).run()));
}

BOOST_AUTO_TEST_CASE(everyAnswerIsWholeInEveryScenario)
{
    for (std::size_t number = 0; number < bench::allScenarios().size(); ++number) {
        const bench::Result result = bench::Trial(shortened(number), bench::Policy::ExpectedTime, 1).run();
        BOOST_TEST_CONTEXT(result.scenario)
        {
            BOOST_TEST(result.completed > 0u);
            BOOST_TEST(result.wrong == 0u);
            BOOST_TEST(result.unfinished == 0u);
        }
    }
}
