// Simulates load on a placement with chain planning, in virtual time.
#include "ModelProfile.h"

#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

#include <map>
#include <vector>

using namespace filbertspoke;

namespace {

using EngineCounts = std::map<std::string, int>; ///< engines by kind

/** \brief Simulates the engines of one failure domain under generations of usual length that arrive at a constant rate. */
class LoadReplay {
public:
    LoadReplay(const EngineProfile& profile, const EngineCounts& counts)
        : profile(profile)
    {
        for (const auto& [kind, count] : counts) {
            for (int index = 0; index < count; ++index)
                this->pool.push_back({ EndpointId(kind + std::to_string(index)), FailureDomainId("a"), profile.accelerators.at(AcceleratorId(kind)), {}, false });
        }
        this->place();
    }

    void place()
    {
        for (const LayerAssignment& assignment : placeLayers(this->profile, this->pool)) {
            for (PlaceableEngine& engine : this->pool) {
                if (engine.endpoint == assignment.endpoint)
                    engine.layers = assignment.layers;
            }
        }
    }

    /** \returns the fraction of the generations for which there was no chain when they arrived */
    double refusedFraction(double perSecond, double seconds)
    {
        int refused = 0;
        const int arrivals = static_cast<int>(perSecond * seconds);
        for (int arrival = 0; arrival < arrivals; ++arrival) {
            const double now = arrival / perSecond;
            while (!this->inProgress.empty() && this->inProgress.begin()->first <= now)
                this->finish();
            refused += this->begin(now) ? 0 : 1;
        }
        return static_cast<double>(refused) / arrivals;
    }

private:
    bool begin(double now)
    {
        std::vector<StageCandidate> candidates;
        for (const PlaceableEngine& engine : this->pool) {
            const WorkInProgress load = this->loads.total(engine.endpoint);
            const double memory = engine.accelerator.memoryMegabytes - engine.layers.size() * this->profile.layerMegabytes;
            if (!engine.layers.empty())
                candidates.push_back({ engine.endpoint, engine.layers, engine.failureDomain, engine.accelerator, load.requests, memory / this->profile.kvMegabytesPerTokenLayer() - load.tokenLayers });
        }
        const auto chain = planLayerChain(this->profile, candidates, { FailureDomainId("a"), this->profile.usualPromptTokens, this->profile.usualOutputTokens, {} });
        if (!chain)
            return false;
        for (const LayerStage& stage : chain->stages)
            this->loads.begin(stage.endpoint, { 1, chain->tokens * stage.layers.size() });
        const double durationSeconds = std::chrono::duration<double>(chain->firstToken).count() + this->profile.usualOutputTokens * std::chrono::duration<double>(chain->perToken).count();
        this->inProgress.emplace(now + durationSeconds, *chain);
        return true;
    }

    void finish()
    {
        const LayerChain& chain = this->inProgress.begin()->second;
        for (const LayerStage& stage : chain.stages)
            this->loads.end(stage.endpoint, { 1, chain.tokens * stage.layers.size() });
        this->inProgress.erase(this->inProgress.begin());
    }

    EngineProfile profile;
    std::vector<PlaceableEngine> pool;
    LoadTracker loads;
    std::multimap<double, LayerChain> inProgress; ///< by end time in seconds
};

}

// Load during a burst, relative to the base load of a domain.
constexpr double burstFactor = 1.7;
// Base load in generations per second for each of three domains, at the current and at the grown size of the site.
constexpr double baseRatePerSecond = 65 / 3.0;
constexpr double grownBaseRatePerSecond = 205 / 3.0;
constexpr double replaySeconds = 20;

// Guards against a placement in which all slow engines of a grown domain hold the last layers behind the fast engines, which refused an
// eighth of the generations of a burst.
BOOST_AUTO_TEST_CASE(slowEnginesNotNeededByFastOnesServeABurst)
{
    for (const auto& counts : { EngineCounts { { "large", 1 }, { "middle", 2 }, { "small", 13 }, { "tiny", 18 } }, EngineCounts { { "large", 1 }, { "middle", 2 }, { "small", 20 }, { "tiny", 9 } } }) {
        LoadReplay replay(testing::grownModelProfile(), counts);
        BOOST_TEST(replay.refusedFraction(burstFactor * grownBaseRatePerSecond, replaySeconds) == 0);
    }
}

BOOST_AUTO_TEST_CASE(domainWithoutALargeEngineServesItsBaseLoad)
{
    LoadReplay replay(testing::grownModelProfile(), { { "middle", 4 }, { "small", 11 }, { "tiny", 17 } });
    BOOST_TEST(replay.refusedFraction(grownBaseRatePerSecond, replaySeconds) == 0);
}

// The current, smaller site must still serve its bursts.
BOOST_AUTO_TEST_CASE(smallDomainsServeABurst)
{
    for (const auto& counts : { EngineCounts { { "large", 1 }, { "middle", 1 }, { "small", 5 }, { "tiny", 7 } }, EngineCounts { { "middle", 1 }, { "small", 8 }, { "tiny", 3 } }, EngineCounts { { "middle", 2 }, { "small", 4 }, { "tiny", 7 } } }) {
        LoadReplay replay(testing::modelProfile(), counts);
        BOOST_TEST(replay.refusedFraction(burstFactor * baseRatePerSecond, replaySeconds) == 0);
    }
}
