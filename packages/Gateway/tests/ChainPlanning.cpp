#include "ModelProfile.h"

#include <filbertspoke/Gateway>
#include <filbertspoke/Testing>

#include <boost/test/unit_test.hpp>

#include <set>

using namespace filbertspoke;

namespace {

const EngineProfile profile = testing::modelProfile();
constexpr double ample = 1e9;

StageCandidate candidate(const std::string& id, LayerRange layers, const std::string& accelerator = "small", const std::string& domain = "a", double freeTokenLayers = ample)
{
    return { EndpointId(id), layers, FailureDomainId(domain), profile.accelerators.at(AcceleratorId(accelerator)), 0, freeTokenLayers };
}

ChainRequest request(const std::string& domain = "a")
{
    return { FailureDomainId(domain), 772, 174 };
}

std::vector<LayerStage> stages(const std::vector<StageCandidate>& candidates)
{
    const auto chain = planLayerChain(profile, candidates, request());
    return chain ? chain->stages : std::vector<LayerStage> {};
}

}

BOOST_AUTO_TEST_CASE(stagesCoverConsecutiveLayerRanges)
{
    const auto chain = stages({ candidate("x", { 0, 40 }), candidate("y", { 40, 80 }), candidate("z", { 41, 80 }) });
    BOOST_TEST((chain == std::vector<LayerStage> { { EndpointId("x"), { 0, 40 } }, { EndpointId("y"), { 40, 80 } } }));
}

BOOST_AUTO_TEST_CASE(thereIsNoChainAcrossAGap)
{
    BOOST_TEST(stages({ candidate("x", { 0, 40 }), candidate("y", { 41, 80 }) }).empty());
    BOOST_TEST(stages({}).empty());
}

BOOST_AUTO_TEST_CASE(engineOfAnotherDomainRunsOnlyMissingLayers)
{
    const auto chain = stages({ candidate("x", { 0, 40 }), candidate("y", { 50, 80 }), candidate("far", { 40, 60 }, "small", "b") });
    BOOST_TEST((chain == std::vector<LayerStage> { { EndpointId("x"), { 0, 40 } }, { EndpointId("far"), { 40, 50 } }, { EndpointId("y"), { 50, 80 } } }));
}

BOOST_AUTO_TEST_CASE(fasterAcceleratorIsPreferred)
{
    const auto chain = stages({ candidate("slow", { 0, 40 }), candidate("fast", { 0, 40 }, "large"), candidate("rest", { 40, 80 }) });
    BOOST_REQUIRE(chain.size() == 2);
    BOOST_TEST((chain.front().endpoint == EndpointId("fast")));
}

BOOST_AUTO_TEST_CASE(engineWithoutKvCacheForTheRequestIsSkipped)
{
    const double requiredTokenLayers = (772 + 174) * 40;
    const auto chain = stages({ candidate("fast", { 0, 40 }, "large", "a", requiredTokenLayers - 1), candidate("slow", { 0, 40 }), candidate("rest", { 40, 80 }) });
    BOOST_REQUIRE(chain.size() == 2);
    BOOST_TEST((chain.front().endpoint == EndpointId("slow")));
    BOOST_TEST(stages({ candidate("fast", { 0, 80 }, "large", "a", requiredTokenLayers) }).empty());
}

// Guards against overloaded links: under high load, half of the chains crossed between domains and saturated the links between them.
BOOST_AUTO_TEST_CASE(halfFullEnginesDoNotCauseCrossings)
{
    const double halfTokenLayers = (21'600 - 40 * 1750.0 / 4) / profile.kvMegabytesPerTokenLayer() / 2;
    const auto chain = stages({ candidate("x", { 0, 40 }, "small", "a", halfTokenLayers), candidate("y", { 40, 80 }, "small", "a", halfTokenLayers), candidate("far", { 40, 80 }, "small", "b") });
    BOOST_REQUIRE(chain.size() == 2);
    BOOST_TEST((chain.back().endpoint == EndpointId("y")));
}

// Guards against link saturation after the loss of one engine of a domain: chains around the gap filled the links between domains, and
// all streams stalled.
BOOST_AUTO_TEST_CASE(linkAtCapacityIsNotUsed)
{
    const std::vector<StageCandidate> candidates { candidate("x", { 0, 40 }), candidate("far", { 40, 80 }, "small", "b") };
    ChainRequest chainRequest = request();
    BOOST_TEST(planLayerChain(profile, candidates, chainRequest)->crossings.size() == 1U);
    chainRequest.fullLinks = { DomainLink(FailureDomainId("b"), FailureDomainId("a")) };
    BOOST_TEST(!planLayerChain(profile, candidates, chainRequest).has_value());
}

BOOST_AUTO_TEST_CASE(chainStartsOnAnAllowedEngine)
{
    const std::vector<StageCandidate> candidates { candidate("x", { 0, 40 }), candidate("slow", { 0, 40 }, "small"), candidate("y", { 40, 80 }) };
    ChainRequest chainRequest = request();
    chainRequest.firstStages = { EndpointId("slow") };
    BOOST_TEST((planLayerChain(profile, candidates, chainRequest)->stages.front().endpoint == EndpointId("slow")));
    chainRequest.firstStages = { EndpointId("y") };
    BOOST_TEST(!planLayerChain(profile, candidates, chainRequest).has_value());
}

BOOST_AUTO_TEST_CASE(linkCapacityFollowsFromTheLinkRate)
{
    BOOST_TEST(linkCapacity(profile) > 50);
    BOOST_TEST(linkCapacity(profile) < 100);
}

BOOST_AUTO_TEST_CASE(idleEngineIsPreferredToABusyOne)
{
    StageCandidate busy = candidate("busy", { 40, 80 });
    busy.sequences = 150;
    const auto chain = stages({ candidate("x", { 0, 40 }), busy, candidate("idle", { 40, 80 }) });
    BOOST_REQUIRE(chain.size() == 2);
    BOOST_TEST((chain.back().endpoint == EndpointId("idle")));
}

// Guards against gateways that all choose the same of several similar engines, and against slow engines that are chosen at random.
BOOST_AUTO_TEST_CASE(randomPartOfTheCostDecidesOnlyAmongSimilarEngines)
{
    StageCandidate drawn = candidate("drawn", { 0, 80 }, "large");
    drawn.spread = 0.25;
    drawn.draw = 0.9;
    const auto similar = planLayerChain(profile, { drawn, candidate("other", { 0, 80 }, "large") }, request());
    BOOST_TEST((similar->stages.front().endpoint == EndpointId("other")));
    const auto slower = planLayerChain(profile, { drawn, candidate("slow", { 0, 80 }, "middle") }, request());
    BOOST_TEST((slower->stages.front().endpoint == EndpointId("drawn")));
    BOOST_TEST(slower->spread == 0.25);
}

// Guards against callers that are refused although a refusing engine could complete the chain.
BOOST_AUTO_TEST_CASE(refusingEngineIsUsedOnlyWhenThereIsNoChainWithoutIt)
{
    StageCandidate refusing = candidate("refusing", { 0, 40 }, "large");
    refusing.refusing = true;
    const StageCandidate rest = candidate("rest", { 40, 80 });
    BOOST_TEST((planAroundRefusals(profile, { refusing, rest, candidate("slow", { 0, 40 }) }, request())->stages.front().endpoint == EndpointId("slow")));
    BOOST_TEST((planAroundRefusals(profile, { refusing, rest }, request())->stages.front().endpoint == EndpointId("refusing")));
    BOOST_TEST((planAroundRefusals(profile, { refusing, rest, candidate("full", { 0, 40 }, "large", "a", 1) }, request())->stages.front().endpoint == EndpointId("refusing")));
    BOOST_TEST(!planAroundRefusals(profile, { refusing }, request()).has_value());
}

BOOST_AUTO_TEST_CASE(chainsRunEveryLayerOnceOnEnginesThatHoldIt)
{
    testing::checkProperty([] {
        std::vector<StageCandidate> candidates;
        const int count = *rc::gen::inRange(1, 24);
        for (int index = 0; index < count; ++index) {
            const auto first = static_cast<std::uint32_t>(*rc::gen::inRange(0, 80));
            const auto size = static_cast<std::uint32_t>(*rc::gen::inRange(1, 50));
            candidates.push_back(candidate("e" + std::to_string(index), { first, std::min(80U, first + size) }, *rc::gen::element<std::string>("large", "small"), *rc::gen::element<std::string>("a", "b")));
        }
        std::set<std::uint32_t> covered;
        for (const StageCandidate& engine : candidates) {
            for (std::uint32_t layer = engine.layers.first(); layer < engine.layers.last(); ++layer)
                covered.insert(layer);
        }
        const auto chain = planLayerChain(profile, candidates, request());
        RC_ASSERT(chain.has_value() == (covered.size() == 80));
        std::uint32_t layer = 0;
        std::set<EndpointId> seen;
        for (const LayerStage& stage : chain ? chain->stages : std::vector<LayerStage> {}) {
            RC_ASSERT(stage.layers.first() == layer);
            RC_ASSERT(!stage.layers.empty());
            RC_ASSERT(seen.insert(stage.endpoint).second);
            const auto holder = std::find_if(candidates.begin(), candidates.end(), [&](const StageCandidate& engine) { return engine.endpoint == stage.endpoint; });
            RC_ASSERT(holder->layers.first() <= stage.layers.first());
            RC_ASSERT(holder->layers.last() >= stage.layers.last());
            layer = stage.layers.last();
        }
        RC_ASSERT(!chain || layer == 80);
    });
}
