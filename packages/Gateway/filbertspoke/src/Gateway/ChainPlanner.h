#ifndef FILBERTSPOKE_CHAIN_PLANNER_H
#define FILBERTSPOKE_CHAIN_PLANNER_H

#include "DomainLink.h"
#include "EngineProfile.h"

#include <filbertspoke/Core>

#include <compare>
#include <optional>
#include <set>
#include <vector>

namespace filbertspoke {

/** \brief An engine that may run a stage of a chain, with its load at the time of planning. */
struct StageCandidate {
    EndpointId endpoint;
    LayerRange layers; ///< that the engine holds
    FailureDomainId failureDomain;
    AcceleratorProfile accelerator;
    double sequences = 0; ///< in progress on the engine
    double freeTokenLayers = 0; ///< unreserved KV cache, in tokens times layers
    bool acceptsRequests = true; ///< whether it may run the first stage, to which the request is sent
    double spread = 0; ///< largest random part of the engine's cost, relative to the cost
    double draw = 0; ///< random number in [0, 1) of this engine for this plan
    bool refusing = false; ///< has refused work, so that it is used only when there is no chain without it

    auto operator<=>(const StageCandidate&) const = default;
};

/** \brief A stage of a chain: an engine and the layers that it runs. */
struct LayerStage {
    EndpointId endpoint;
    LayerRange layers;

    auto operator<=>(const LayerStage&) const = default;
};

/** \brief Engines that run every layer once, in layer order, with the expected latency of a generation on them. */
struct LayerChain {
    std::vector<LayerStage> stages;
    Duration firstToken {}; ///< expected time to the first token: prefill and one step
    Duration perToken {}; ///< expected time for each further token
    Duration perEvent {}; ///< expected time between two events of the stream; an event may hold several tokens
    double tokens = 0; ///< prompt and expected output tokens, for which the engines reserve KV cache
    std::vector<DomainLink> crossings; ///< links between failure domains that the chain uses, in order
    double spread = 0; ///< of the first engine's cost

    auto operator<=>(const LayerChain&) const = default;
};

/** \returns the number of concurrent generations that a link between two failure domains carries without congestion; infinite when
 * the profile gives no link rate or no traffic */
double linkCapacity(const EngineProfile&);

/** \brief The generation that a chain is planned for. */
struct ChainRequest {
    FailureDomainId origin; ///< failure domain of the daemon that serves the request
    double promptTokens = 0;
    double outputTokens = 0; ///< expected
    std::set<DomainLink> fullLinks; ///< links at capacity, which the chain must not use
    std::set<EndpointId> firstStages; ///< engines that may run the first stage; empty to allow any engine
    double reservedShare = 0; ///< of each engine's KV capacity and slots, which the chain must leave free, from 0 to 1

    auto operator<=>(const ChainRequest&) const = default;
};

/** \brief Finds the chain with the lowest cost for a generation.
 *
 * The cost is the expected duration, weighted by the memory use of the engines, plus penalties for crossings between failure domains
 * and for a first stage outside the daemon's failure domain. The search is a shortest path over layer boundaries; an engine may run
 * only a part of its layers.
 *
 * Load pattern: gateways that choose by the same figures, some hundred milliseconds old, all fill the engine that was the cheapest at that time.
 * The cost of each engine is therefore multiplied by 1 + draw x spread: gateways differ in their choice among engines of similar cost, while a
 * much faster engine stays the choice of all.
 * \returns the chain, or nothing when no chain covers all layers with enough free KV cache for the request
 */
std::optional<LayerChain> planLayerChain(const EngineProfile&, const std::vector<StageCandidate>&, const ChainRequest&);

/** \brief Finds a chain as planLayerChain() does, with refusing engines only when there is none without them.
 *
 * Load pattern: while the engines that hold some of the layers refuse, or all others are full, leaving out refusing engines would refuse every
 * caller until the end of the pause, although their memory may be free again. */
std::optional<LayerChain> planAroundRefusals(const EngineProfile&, const std::vector<StageCandidate>&, const ChainRequest&);

/** \returns the KV cache of the engine, in tokens times layers, with the layers that it holds */
double kvCapacity(const EngineProfile&, const AcceleratorProfile&, LayerRange held);

}

#endif
