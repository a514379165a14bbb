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
    LayerRange layers; ///< that the engine holds or is assigned to hold; empty for none
    bool changing = false; ///< whether an assignment is pending that the engine has not carried out yet
    double usedMegabytes = 0; ///< KV cache reserved for requests in progress

    auto operator<=>(const PlaceableEngine&) const = default;
};

/** \brief Layers that an engine is to hold instead of its current ones. */
struct LayerAssignment {
    EndpointId endpoint;
    LayerRange layers;

    auto operator<=>(const LayerAssignment&) const = default;
};

/** \brief Decides which engine holds which layers.
 *
 * Each failure domain with enough memory gets a complete copy of the model, so that it can serve when it is partitioned from the
 * others and chains need not cross between domains. The remaining domains share copies. Within a copy the fastest engines hold the
 * first layers, each as many as leave enough KV cache for requests. Slower engines hold the remaining layers, replicated where memory
 * allows. In a pool that already holds layers, only gaps are filled, empty engines are used and load is rebalanced.
 *
 * \returns the assignments of the engines that have to change; empty when the placement can't be improved
 */
std::vector<LayerAssignment> placeLayers(const EngineProfile&, const std::vector<PlaceableEngine>&);

}

#endif
