#ifndef FILBERTSPOKE_INTERNAL_LAYER_PARTITION_H
#define FILBERTSPOKE_INTERNAL_LAYER_PARTITION_H

#include "LayerPool.h"

#include <vector>

namespace filbertspoke::internal {

/** \brief An engine of a partition and its layers. */
struct PartitionStage {
    PlaceableEngine engine;
    LayerRange layers; ///< empty when the engine is not used

    auto operator<=>(const PartitionStage&) const = default;
};

/** \brief A range of layers divided among engines, in layer order. */
using LayerPartition = std::vector<PartitionStage>;

/** \brief Divides the layers among the engines such that the smallest KV cache for each layer on any engine is as large as possible.
 * \returns the engines in the given order with their layers; engines may get none */
LayerPartition partitionEvenly(const LayerSizes&, const Pool& engines, const LayerRange& layers);

/** \returns the number of generations of usual length for which every engine of the partition has KV cache, limited by the slots of
 * the first engine */
double partitionCapacity(const EngineProfile&, const LayerPartition&);

/** \brief Estimates the throughput of a partition whose last stages are replicated.
 * \param sequences number of generations in progress
 * \param tail index of the first replicated stage
 * \param copies number of replicas of the stages from \a tail on, which share the generations evenly
 * \returns generations per millisecond; 0 for a partition with more stages than engines accept */
double partitionThroughput(const EngineProfile&, const LayerPartition&, double sequences, std::size_t tail, double copies);

}

#endif
