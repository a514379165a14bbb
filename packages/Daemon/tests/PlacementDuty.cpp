// Runs gateways that coordinate the placement: they order engines to load the layers of a model with eight layers. Checks that every layer
// ends up held and that the placement becomes stable.
#include <filbertspoke/PlatformTesting>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::uint32_t modelLayers = 8;
// Longer than the interval between two evaluations of the placement, and longer than a pending order is kept.
constexpr auto stablePeriod = 4s;

struct Fixture : GatewayScene {
    Fixture()
    {
        for (const char* id : { "engine-a1", "engine-a2", "engine-b1", "engine-b2" }) {
            this->engines.emplace(id, [this, id](const LayerRange& layers) { this->putEngine(id, layers); });
            this->putEngine(id, {});
            this->replicas.at(id)->setAnswer([this, id](const HttpRequest& request) { return this->engines.at(id).answer(request); });
        }
    }

    bool everyLayerHeld() const
    {
        std::vector<bool> held(modelLayers, false);
        for (const auto& [id, engine] : this->engines)
            std::fill(held.begin() + engine.layers().first(), held.begin() + engine.layers().last(), true);
        return std::count(held.begin(), held.end(), true) == modelLayers;
    }

    std::uint64_t accepted() const
    {
        std::uint64_t sum = 0;
        for (const auto& [id, engine] : this->engines)
            sum += engine.accepted();
        return sum;
    }

    /** \returns whether the engines accept no order for the duration of stablePeriod */
    bool isStable()
    {
        const std::uint64_t before = this->accepted();
        const auto until = Clock::now() + stablePeriod;
        this->await([&] { return Clock::now() >= until; });
        return this->accepted() == before;
    }

    std::map<std::string, OrderedEngine> engines;
};

}

BOOST_FIXTURE_TEST_CASE(singleCoordinatorReachesAStablePlacementOfAllLayers, Fixture)
{
    this->start();
    BOOST_TEST(this->await([&] { return this->everyLayerHeld(); }));
    BOOST_TEST(this->await([&] { return this->isStable(); }));
    BOOST_TEST(this->everyLayerHeld());
}

// Each gateway is made coordinator by a store of its own. The same overlap occurs when the store moves the duty to another gateway and
// the previous one has not been informed yet.
BOOST_FIXTURE_TEST_CASE(twoCoordinatorsReachAStablePlacementOfAllLayers, Fixture)
{
    this->start();
    this->startSecond("zone-b", this->secondStore.address());
    BOOST_TEST(this->await([&] { return this->everyLayerHeld(); }));
    BOOST_TEST(this->await([&] { return this->isStable(); }));
    BOOST_TEST(this->everyLayerHeld());
    for (const auto& [id, engine] : this->engines)
        BOOST_TEST(engine.accepted() <= 2U, id << " was ordered " << engine.accepted() << " times");
}

BOOST_FIXTURE_TEST_CASE(newCoordinatorCompletesThePlacementOfAKilledOne, Fixture)
{
    this->start();
    this->startSecond("zone-b", this->store.address());
    BOOST_REQUIRE(this->await([&] { return this->accepted() > 0; }));
    this->gateway->kill();
    this->callers = this->secondCallers;
    BOOST_TEST(this->await([&] { return this->everyLayerHeld(); }));
    BOOST_TEST(this->await([&] { return this->isStable(); }));
    BOOST_TEST(this->everyLayerHeld());
}

BOOST_FIXTURE_TEST_CASE(droppedOrderIsRepeated, Fixture)
{
    for (auto& [id, engine] : this->engines)
        engine.setTrouble(OrderedEngine::Trouble::Dropped);
    this->start();
    BOOST_TEST(this->await([&] { return this->everyLayerHeld(); }));
}

BOOST_FIXTURE_TEST_CASE(lateOrderLeavesEveryLayerHeld, Fixture)
{
    for (auto& [id, engine] : this->engines)
        engine.setTrouble(OrderedEngine::Trouble::Late);
    this->start();
    BOOST_REQUIRE(this->await([&] { return this->everyLayerHeld(); }));
    for (auto& [id, engine] : this->engines)
        engine.carryOutLate();
    BOOST_TEST(this->await([&] { return this->isStable() && this->everyLayerHeld(); }));
}
