#ifndef FILBERTSPOKE_LAYER_PLACER_H
#define FILBERTSPOKE_LAYER_PLACER_H

#include "EngineProfile.h"

#include <filbertspoke/Core>

#include <compare>
#include <vector>

namespace filbertspoke {

/** \brief An engine that may hold layers. */
struct PlaceableEngine {
    EndpointId endpoint;
    FailureDomainId failureDomain;
    AcceleratorProfile accelerator;
    LayerRange layers; ///< that it holds, or was ordered to hold; empty for none
    bool changing = false; ///< it has an order that it has not carried out yet
    double usedMegabytes = 0; ///< KV cache that is set aside for requests in progress

    auto operator<=>(const PlaceableEngine&) const = default;
};

/** \brief Layers that an engine is to hold in place of what it holds. */
struct LayerAssignment {
    EndpointId endpoint;
    LayerRange layers;

    auto operator<=>(const LayerAssignment&) const = default;
};

/** \brief Decides which engine holds which layers.
 *
 * Each failure domain that has the memory for it gets a whole copy, so that it can serve when it is cut off and
 * chains need not cross between domains; the others share copies. Within a copy the fastest engines come first,
 * each with as many layers as leave it room for requests; slower ones hold the rest, several times over where memory
 * allows. What engines hold already is kept; only gaps are filled.
 *
 * \returns the engines that have to change, or nothing when all layers are covered as well as they can be
 */
std::vector<LayerAssignment> placeLayers(const EngineProfile&, const std::vector<PlaceableEngine>&);

}

#endif
