#ifndef FILBERTSPOKE_PLANNER_H
#define FILBERTSPOKE_PLANNER_H

#include "Chain.h"
#include "EndpointView.h"
#include "PlanRequest.h"

#include <filbertspoke/Core>

namespace filbertspoke {

/** \brief Finds the chain with the least expected time. */
class Planner {
public:
    /** \returns a chain that covers the request's layers exactly, or ErrorCode::NoPipeline */
    Result<Chain> plan(const PlanRequest&, const EndpointView&, Random&, TimePoint) const;
};

}

#endif
