#ifndef FILBERTSPOKE_REPORT_LAYER_FLOW_H
#define FILBERTSPOKE_REPORT_LAYER_FLOW_H

#include <filbertspoke/Core>

#include <compare>
#include <cstdint>
#include <limits>
#include <vector>

namespace filbertspoke::report {

/** \brief An engine's share of the chains that can run at once. */
struct LayerHolder {
    LayerRange layers;
    double room = 0; ///< KV cache, in generations of usual length times layers
    double slots = std::numeric_limits<double>::infinity(); ///< maximum number of generations whose first layer the engine runs

    auto operator<=>(const LayerHolder&) const = default;
};

/** \brief Computes how many generations chains of the holders can carry at once.
 *
 * A generation needs room for each layer on one holder of that layer; a holder may run any part of its layers. This is a transport
 * problem between layers and ranges, an upper bound for chains: it leaves out the longest chain and the links between domains.
 * \returns the maximum number, with an error of less than 0.05; 0 when a layer has no holder
 */
double layerFlow(const std::vector<LayerHolder>&, std::uint32_t layers);

}

#endif
