// Replays losses of several engines against the placement in virtual time, and measures the capacity of the layers that are there.
#include <filbertspoke/Report>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace filbertspoke;
using namespace filbertspoke::report;

namespace {

constexpr double placementIntervalSeconds = 0.1;

EngineProfile modelProfile()
{
    EngineProfile profile;
    profile.layers = 80;
    profile.layerMegabytes = 1750;
    profile.kvBytesPerToken = 590'000;
    profile.stepMs = 0.85;
    profile.prefillTokensPerMs = 196;
    profile.loadSeconds = 14;
    profile.usualPromptTokens = 772;
    profile.usualOutputTokens = 174;
    profile.accelerators = { { AcceleratorId("large"), { 72'000, 1.4, 1 } }, { AcceleratorId("middle"), { 36'000, 3.1, 3.2 } }, { AcceleratorId("small"), { 21'600, 16, 8.2 } }, { AcceleratorId("tiny"), { 14'400, 15, 15 } } };
    return profile;
}

/** \brief An engine that carries out placement orders: what it gives up is gone at once, what is new comes when it is loaded. */
struct SimulatedEngine {
    PlaceableEngine engine; ///< with the layers that it holds or is ordered to hold
    LayerRange held;
    double loadedAt = 0; ///< in s, while changing
};

LayerRange intersection(const LayerRange& a, const LayerRange& b)
{
    const std::uint32_t first = std::max(a.first(), b.first());
    return { first, std::max(first, std::min(a.last(), b.last())) };
}

/** \brief Engines of three failure domains under the placement, in virtual time. */
class Site {
public:
    Site()
    {
        const std::map<std::string, std::map<std::string, int>> counts { { "a", { { "large", 1 }, { "middle", 1 }, { "small", 5 }, { "tiny", 7 } } }, { "b", { { "middle", 1 }, { "small", 8 }, { "tiny", 3 } } }, { "c", { { "middle", 2 }, { "small", 4 }, { "tiny", 7 } } } };
        for (const auto& [domain, kinds] : counts) {
            for (const auto& [kind, count] : kinds) {
                for (int index = 0; index < count; ++index)
                    this->engines.push_back({ { EndpointId(domain + '-' + kind + '-' + std::to_string(index)), FailureDomainId(domain), this->profile.accelerators.at(AcceleratorId(kind)), {}, false }, {} });
            }
        }
        this->run(60);
    }

    /** \brief Lets \a seconds pass; the placement decides at each interval. */
    void run(double seconds)
    {
        const double end = this->now + seconds;
        while (this->now < end - 1e-9) {
            this->now += placementIntervalSeconds;
            this->finishLoads();
            this->place();
            this->least = std::min(this->least, this->capacity());
        }
    }

    /** \brief Removes the engine.
     * \returns it as it was */
    SimulatedEngine crash(const EndpointId& id)
    {
        const auto entry = std::find_if(this->engines.begin(), this->engines.end(), [&](const SimulatedEngine& engine) { return engine.engine.endpoint == id; });
        SimulatedEngine crashed = *entry;
        this->engines.erase(entry);
        return crashed;
    }

    /** \brief Adds the engine again, with nothing loaded. */
    void restart(SimulatedEngine engine)
    {
        engine.engine.layers = {};
        engine.engine.changing = false;
        engine.held = {};
        this->engines.push_back(engine);
    }

    /** \returns the engines that hold the layer */
    std::vector<EndpointId> holders(std::uint32_t layer) const
    {
        std::vector<EndpointId> found;
        for (const SimulatedEngine& engine : this->engines) {
            if (engine.held.first() <= layer && layer < engine.held.last())
                found.push_back(engine.engine.endpoint);
        }
        return found;
    }

    /** \returns generations that chains of the layers there carry at once */
    double capacity() const
    {
        std::vector<LayerHolder> all;
        for (const SimulatedEngine& engine : this->engines) {
            const double megabytes = std::max(0.0, engine.engine.accelerator.memoryMegabytes - engine.engine.layers.size() * this->profile.layerMegabytes);
            all.push_back({ engine.held, megabytes / this->profile.kvMegabytesPerTokenLayer() / (this->profile.usualPromptTokens + this->profile.usualOutputTokens) });
        }
        return layerFlow(all, this->profile.layers);
    }

    /** \returns the capacity of the engines that are there, when the placement starts with none of them loaded */
    double capacityWhenPlacedAnew() const
    {
        Site anew = *this;
        for (SimulatedEngine& engine : anew.engines) {
            engine.engine.layers = {};
            engine.engine.changing = false;
            engine.held = {};
        }
        anew.run(60);
        return anew.capacity();
    }

    void resetLeast() { this->least = this->capacity(); }
    double leastCapacity() const { return this->least; }

private:
    void finishLoads()
    {
        for (SimulatedEngine& engine : this->engines) {
            if (engine.engine.changing && this->now >= engine.loadedAt) {
                engine.engine.changing = false;
                engine.held = engine.engine.layers;
            }
        }
    }

    void place()
    {
        std::vector<PlaceableEngine> known;
        known.reserve(this->engines.size());
        for (const SimulatedEngine& engine : this->engines)
            known.push_back(engine.engine);
        for (const LayerAssignment& assignment : placeLayers(this->profile, known)) {
            const auto entry = std::find_if(this->engines.begin(), this->engines.end(), [&](const SimulatedEngine& engine) { return engine.engine.endpoint == assignment.endpoint; });
            entry->held = intersection(entry->held, assignment.layers);
            entry->engine.layers = assignment.layers;
            entry->engine.changing = true;
            entry->loadedAt = this->now + this->profile.loadSeconds * (assignment.layers.size() - entry->held.size()) / this->profile.layers;
        }
    }

    EngineProfile profile = modelProfile();
    std::vector<SimulatedEngine> engines;
    double now = 0;
    double least = 1e9;
};

/** \brief Crashes one holder of the layer in each of three failure domains within half a second. */
std::vector<SimulatedEngine> crashThree(Site& site, std::uint32_t layer)
{
    const std::vector<EndpointId> holders = site.holders(layer);
    std::vector<SimulatedEngine> crashed;
    std::string domains;
    for (const EndpointId& id : holders) {
        if (domains.find(id.str().front()) != std::string::npos)
            continue;
        domains += id.str().front();
        crashed.push_back(site.crash(id));
        site.run(crashed.size() < 3 ? 0.2 : 0);
    }
    BOOST_REQUIRE(crashed.size() == 3u);
    return crashed;
}

}

BOOST_AUTO_TEST_CASE(halfOfTheCapacityIsThereSoonAfterThreeEnginesOfTheSameLayersAreBack)
{
    Site site;
    const double before = site.capacity();
    const auto crashed = crashThree(site, 0);
    std::uint32_t missing = 0;
    for (const SimulatedEngine& engine : crashed)
        missing = std::max(missing, engine.held.size());
    site.run(3);
    for (const SimulatedEngine& engine : crashed)
        site.restart(engine);
    // The longest load of what is missing, and two seconds.
    site.run(modelProfile().loadSeconds * missing / modelProfile().layers + 2);
    BOOST_TEST(site.capacity() >= 0.5 * before, site.capacity() << " of " << before);
}

BOOST_AUTO_TEST_CASE(threeEnginesOfTheSameLayersLeaveHalfOfTheCapacityOfTheRest)
{
    Site site;
    crashThree(site, 0);
    const double rest = site.capacityWhenPlacedAnew();
    site.resetLeast();
    site.run(20);
    BOOST_TEST(site.leastCapacity() >= 0.5 * rest, site.leastCapacity() << " at least, of " << rest);
}

BOOST_AUTO_TEST_CASE(anyTwoEnginesOfADomainLeaveHalfOfTheCapacityOfTheRest)
{
    const Site whole;
    double worst = 1;
    std::string names;
    for (std::uint32_t layer = 0; layer < modelProfile().layers; layer += 20) {
        for (const EndpointId& first : whole.holders(layer)) {
            for (const EndpointId& second : whole.holders((layer + 40) % modelProfile().layers)) {
                if (first == second || first.str().front() != second.str().front())
                    continue;
                Site site = whole;
                site.crash(first);
                site.crash(second);
                const double rest = site.capacityWhenPlacedAnew();
                site.resetLeast();
                site.run(20);
                if (site.leastCapacity() < worst * rest) {
                    worst = site.leastCapacity() / rest;
                    names = first.str() + " and " + second.str();
                }
            }
        }
    }
    BOOST_TEST(worst >= 0.5, worst << " of the capacity of the rest after the loss of " << names);
}
