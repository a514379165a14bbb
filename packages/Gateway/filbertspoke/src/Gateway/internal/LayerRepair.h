#ifndef FILBERTSPOKE_INTERNAL_LAYER_REPAIR_H
#define FILBERTSPOKE_INTERNAL_LAYER_REPAIR_H

#include "LayerPool.h"

namespace filbertspoke::internal {

/** \brief Repairs a pool that holds layers already, with as much room left at every engine as can be.
 * \returns the engines that have to change now; later calls go on from there */
std::vector<LayerAssignment> repairLayers(const EngineProfile&, const Pool&);

}

#endif
