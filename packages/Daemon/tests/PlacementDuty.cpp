// Gateways that order engines to hold the layers of a model of eight.
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
// Longer than the pause between two looks at the placement, and than a pending order is kept.
constexpr auto restTime = 4s;

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

    /** \returns whether no order is carried out for a while */
    bool isAtRest()
    {
        const std::uint64_t before = this->accepted();
        const auto until = Clock::now() + restTime;
        this->await([&] { return Clock::now() >= until; });
        return this->accepted() == before;
    }

    std::map<std::string, OrderedEngine> engines;
};

}

BOOST_FIXTURE_TEST_CASE(oneHolderPlacesEveryLayerAndComesToRest, Fixture)
{
    this->start();
    BOOST_TEST(this->await([&] { return this->everyLayerHeld(); }));
    BOOST_TEST(this->await([&] { return this->isAtRest(); }));
    BOOST_TEST(this->everyLayerHeld());
}

// Each gateway has the duty by the word of its own store, as when the store moves the duty and the old holder has not heard.
BOOST_FIXTURE_TEST_CASE(twoHoldersPlaceEveryLayerAndComeToRest, Fixture)
{
    this->start();
    this->startSecond("zone-b", this->secondStore.address());
    BOOST_TEST(this->await([&] { return this->everyLayerHeld(); }));
    BOOST_TEST(this->await([&] { return this->isAtRest(); }));
    BOOST_TEST(this->everyLayerHeld());
    for (const auto& [id, engine] : this->engines)
        BOOST_TEST(engine.accepted() <= 2U, id << " was ordered " << engine.accepted() << " times");
}

BOOST_FIXTURE_TEST_CASE(anotherHolderFinishesWhatAKilledOneBegan, Fixture)
{
    this->start();
    this->startSecond("zone-b", this->store.address());
    BOOST_REQUIRE(this->await([&] { return this->accepted() > 0; }));
    this->gateway->kill();
    this->callers = this->secondCallers;
    BOOST_TEST(this->await([&] { return this->everyLayerHeld(); }));
    BOOST_TEST(this->await([&] { return this->isAtRest(); }));
    BOOST_TEST(this->everyLayerHeld());
}

BOOST_FIXTURE_TEST_CASE(orderThatIsDroppedIsGivenAgain, Fixture)
{
    for (auto& [id, engine] : this->engines)
        engine.setTrouble(OrderedEngine::Trouble::Dropped);
    this->start();
    BOOST_TEST(this->await([&] { return this->everyLayerHeld(); }));
}

BOOST_FIXTURE_TEST_CASE(orderThatIsCarriedOutLateLeavesEveryLayerHeld, Fixture)
{
    for (auto& [id, engine] : this->engines)
        engine.setTrouble(OrderedEngine::Trouble::Late);
    this->start();
    BOOST_REQUIRE(this->await([&] { return this->everyLayerHeld(); }));
    for (auto& [id, engine] : this->engines)
        engine.carryOutLate();
    BOOST_TEST(this->await([&] { return this->isAtRest() && this->everyLayerHeld(); }));
}
