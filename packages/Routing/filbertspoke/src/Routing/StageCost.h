#ifndef FILBERTSPOKE_STAGE_COST_H
#define FILBERTSPOKE_STAGE_COST_H

#include "EndpointState.h"
#include "PlanRequest.h"

#include <filbertspoke/Core>

#include <functional>

namespace filbertspoke {

/** \brief What a stage at an endpoint costs a request; the planner takes the chain with the least sum. */
using StageCost = std::function<double(const EndpointState&, const PlanRequest&, TimePoint)>;

/** \returns the time in microseconds that a request's prompt and tokens are expected to spend at a stage
 *
 * It adds up the measured latency with little load, which holds the link; the wait behind other work,
 * from the chains that this daemon has placed and the load that others have reported; and the prompt.
 */
double expectedStageTime(const EndpointState&, const PlanRequest&, TimePoint);

}

#endif
