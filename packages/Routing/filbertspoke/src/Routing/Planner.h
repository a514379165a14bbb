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

/** \brief Finds the chain with the least expected time among a few candidates for each range of layers. */
class Planner {
public:
    static constexpr std::size_t defaultDraws = 2; ///< per range, from each side: own and other failure domains

    Planner()
        : Planner(expectedStageTime)
    {
    }

    /** \param cost orders the candidates; finite for every endpoint
     * \param drawsPerSide how many endpoints of a range are looked at in the own failure domain, and
     * how many outside it */
    explicit Planner(StageCost cost, std::size_t drawsPerSide = defaultDraws)
        : cost(std::move(cost))
        , drawsPerSide(drawsPerSide)
    {
    }

    /** \returns a chain that covers the request's layers exactly, or ErrorCode::NoPipeline */
    Result<Chain> plan(const PlanRequest&, const EndpointView&, Random&, TimePoint) const;

private:
    StageCost cost;
    std::size_t drawsPerSide;
};

}

#endif
