#ifndef FILBERTSPOKE_INTERNAL_LAYER_BALANCE_H
#define FILBERTSPOKE_INTERNAL_LAYER_BALANCE_H

#include "LayerPool.h"

namespace filbertspoke::internal {

/** \brief Evens room out along the engines that hold the model with the one that has the least room for requests.
 *
 * Every engine takes over what it is to hold as far as its memory allows, and gives layers up only after the engine
 * that they go to holds them. Engines that carry out an order are waited for.
 * \returns the engines that have to change now; later calls go on from there
 */
std::vector<LayerAssignment> balanceLayers(const EngineProfile&, const Pool&);

}

#endif
