// Load replayed against placement and chains together, in virtual time.
#include "ModelProfile.h"

#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

#include <map>
#include <vector>

using namespace filbertspoke;

namespace {

using Counts = std::map<std::string, int>; ///< engines by kind

/** \brief The engines of one failure domain, with generations of usual length that arrive evenly. */
class Replay {
public:
    Replay(const EngineProfile& profile, const Counts& counts)
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

    /** \returns the part of the generations that found no room when they arrived */
    double refusedShare(double perSecond, double seconds)
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
        const double stay = std::chrono::duration<double>(chain->firstToken).count() + this->profile.usualOutputTokens * std::chrono::duration<double>(chain->perToken).count();
        this->inProgress.emplace(now + stay, *chain);
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
    std::multimap<double, LayerChain> inProgress; ///< by the second of their end
};

}

// Part of a domain's calm load that a burst of the users' days comes to.
constexpr double burst = 1.7;
// Generations a second in each of three domains on a calm day, at the size of today and as the users grow.
constexpr double calmPerSecond = 65 / 3.0;
constexpr double grownCalmPerSecond = 205 / 3.0;
constexpr double replayedSeconds = 20;

// The slow engines of a grown domain all held the last layers behind the fast ones, which turned an eighth of a burst away.
BOOST_AUTO_TEST_CASE(slowEnginesThatTheFastOnesDoNotNeedTakeABurst)
{
    for (const auto& counts : { Counts { { "large", 1 }, { "middle", 2 }, { "small", 13 }, { "tiny", 18 } }, Counts { { "large", 1 }, { "middle", 2 }, { "small", 20 }, { "tiny", 9 } } }) {
        Replay replay(testing::grownModelProfile(), counts);
        BOOST_TEST(replay.refusedShare(burst * grownCalmPerSecond, replayedSeconds) == 0);
    }
}

BOOST_AUTO_TEST_CASE(domainWithoutALargeEngineTakesItsCalmLoad)
{
    Replay replay(testing::grownModelProfile(), { { "middle", 4 }, { "small", 11 }, { "tiny", 17 } });
    BOOST_TEST(replay.refusedShare(grownCalmPerSecond, replayedSeconds) == 0);
}

// The smaller site keeps what it could carry before.
BOOST_AUTO_TEST_CASE(smallDomainsTakeABurst)
{
    for (const auto& counts : { Counts { { "large", 1 }, { "middle", 1 }, { "small", 5 }, { "tiny", 7 } }, Counts { { "middle", 1 }, { "small", 8 }, { "tiny", 3 } }, Counts { { "middle", 2 }, { "small", 4 }, { "tiny", 7 } } }) {
        Replay replay(testing::modelProfile(), counts);
        BOOST_TEST(replay.refusedShare(burst * calmPerSecond, replayedSeconds) == 0);
    }
}
