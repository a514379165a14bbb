#ifndef FILBERTSPOKE_INTERNAL_LAYER_BALANCE_H
#define FILBERTSPOKE_INTERNAL_LAYER_BALANCE_H

#include "LayerPool.h"

namespace filbertspoke::internal {

/** \brief Moves layers between the engines of the partition that has the engine with the least capacity for requests, to even the
 * capacity out.
 *
 * An engine takes over layers as far as its memory allows, and gives up a layer only after its new holder has it. No layers move while
 * an engine of the partition has a pending assignment.
 * \returns the assignments of the next step; later calls return the following steps
 */
std::vector<LayerAssignment> balanceLayers(const EngineProfile&, const Pool&);

}

#endif
