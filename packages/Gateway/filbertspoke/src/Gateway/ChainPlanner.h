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

/** \brief An engine that a chain may pass through, with its state at the time of planning. */
struct StageCandidate {
    EndpointId endpoint;
    LayerRange layers; ///< that it holds
    FailureDomainId failureDomain;
    AcceleratorProfile accelerator;
    double sequences = 0; ///< in progress there
    double freeTokenLayers = 0; ///< KV cache that is not set aside

    auto operator<=>(const StageCandidate&) const = default;
};

/** \brief One engine's part of a chain. */
struct LayerStage {
    EndpointId endpoint;
    LayerRange layers;

    auto operator<=>(const LayerStage&) const = default;
};

/** \brief Engines that run every layer once, in order, with what a generation on them is expected to take. */
struct LayerChain {
    std::vector<LayerStage> stages;
    Duration firstToken {}; ///< prefill and one step
    Duration perToken {}; ///< each further step
    Duration perEvent {}; ///< between two events, which may hold several tokens
    double tokens = 0; ///< prompt and expected output, for which the engines set room aside
    std::vector<DomainLink> crossings; ///< between failure domains, in order

    auto operator<=>(const LayerChain&) const = default;
};

/** \returns how many generations at once may pass a link between two failure domains before they delay each other */
double linkCapacity(const EngineProfile&);

/** \brief The generation that a chain is planned for. */
struct ChainRequest {
    FailureDomainId origin; ///< of the daemon
    double promptTokens = 0;
    double outputTokens = 0; ///< expected
    std::set<DomainLink> fullLinks; ///< that take no further generation
    std::set<EndpointId> firstStages; ///< that may begin the chain; empty for any

    auto operator<=>(const ChainRequest&) const = default;
};

/** \brief Finds the chain that finishes a generation earliest, with a price on crowded engines and on crossings
 * between failure domains.
 *
 * The search is a shortest path over layer boundaries, in which an engine may also run a part of its layers.
 * \returns nothing when no chain covers all layers with room for the request
 */
std::optional<LayerChain> planLayerChain(const EngineProfile&, const std::vector<StageCandidate>&, const ChainRequest&);

}

#endif
