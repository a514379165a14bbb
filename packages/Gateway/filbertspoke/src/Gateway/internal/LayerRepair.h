#ifndef FILBERTSPOKE_INTERNAL_LAYER_REPAIR_H
#define FILBERTSPOKE_INTERNAL_LAYER_REPAIR_H

#include "LayerPool.h"

namespace filbertspoke::internal {

/** \brief Fills gaps in a pool that holds layers already, keeping as much KV cache on every engine as possible; balances the pool when
 * there are no gaps or they can't be filled yet.
 * \returns the assignments of the next step; later calls return the following steps */
std::vector<LayerAssignment> repairLayers(const EngineProfile&, const Pool&);

}

#endif
