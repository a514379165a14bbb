#ifndef FILBERTSPOKE_INTERNAL_LAYER_LANE_H
#define FILBERTSPOKE_INTERNAL_LAYER_LANE_H

#include "LayerPool.h"

#include <vector>

namespace filbertspoke::internal {

/** \brief One engine's part of a lane. */
struct LaneStage {
    PlaceableEngine engine;
    LayerRange layers; ///< empty when the engine is left out

    auto operator<=>(const LaneStage&) const = default;
};

/** \brief Engines that hold every layer once between them, in the order of the layers. */
using Lane = std::vector<LaneStage>;

/** \brief Deals the layers out to the engines such that the one with the least room has as much as can be.
 * \returns the engines with their layers, in their order; engines may be left without any */
Lane spreadEvenly(const LayerSizes&, const Pool& engines, const LayerRange& layers);

/** \returns for how many generations of usual length every engine of the lane has room, at most what its first one takes */
double laneSequences(const EngineProfile&, const Lane&);

/** \brief Works out how many generations a lane finishes, with so many in progress and the last stages of the lane
 * standing several times over.
 * \param copies of the stages from \a tail on; each takes its part of the generations
 * \returns generations in each millisecond; 0 for a lane that is too long for engines to accept */
double laneThroughput(const EngineProfile&, const Lane&, double sequences, std::size_t tail, double copies);

}

#endif
