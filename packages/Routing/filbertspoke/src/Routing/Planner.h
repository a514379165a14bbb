#ifndef FILBERTSPOKE_PLANNER_H
#define FILBERTSPOKE_PLANNER_H

#include "Chain.h"
#include "EndpointView.h"
#include "PlanRequest.h"
#include "StageCost.h"

#include <filbertspoke/Core>

#include <cstddef>
#include <utility>

namespace filbertspoke {

/** \brief Finds the cheapest chain of engines, among a few random candidates for each layer range. */
class Planner {
public:
    static constexpr std::size_t defaultSamples = 2; ///< endpoints sampled for each layer range in the local failure domain, and again outside it

    /** \brief Plans by the expected time of each stage. */
    Planner()
        : Planner(expectedStageTime)
    {
    }

    /** \param cost the cost of a stage at an endpoint; finite for every endpoint
     * \param samplesPerSide number of endpoints of a layer range that are sampled in the local failure
     * domain, and again outside it */
    explicit Planner(StageCost cost, std::size_t samplesPerSide = defaultSamples)
        : cost(std::move(cost))
        , samplesPerSide(samplesPerSide)
    {
    }

    /** \brief Plans a chain by dynamic programming over layer boundaries.
     * \returns a chain that covers the request's layers exactly, or ErrorCode::NoPipeline */
    Result<Chain> plan(const PlanRequest&, const EndpointView&, Random&, TimePoint) const;

private:
    StageCost cost;
    std::size_t samplesPerSide;
};

}

#endif
