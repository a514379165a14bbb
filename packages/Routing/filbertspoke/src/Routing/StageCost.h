#ifndef FILBERTSPOKE_STAGE_COST_H
#define FILBERTSPOKE_STAGE_COST_H

#include "EndpointState.h"
#include "PlanRequest.h"

#include <filbertspoke/Core>

#include <functional>

namespace filbertspoke {

/** \brief Cost of a stage at an endpoint for a request; the planner minimizes the sum over a chain. */
using StageCost = std::function<double(const EndpointState&, const PlanRequest&, TimePoint)>;

/** \returns the expected time of a request at a stage, in microseconds
 *
 * For each generated token it adds the minimum latency, which includes the network, and the wait behind the
 * open chains of this daemon and the reported load of other daemons; then the prefill time of the prompt.
 */
double expectedStageTime(const EndpointState&, const PlanRequest&, TimePoint);

}

#endif
