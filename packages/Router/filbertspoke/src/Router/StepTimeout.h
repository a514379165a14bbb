#ifndef FILBERTSPOKE_STEP_TIMEOUT_H
#define FILBERTSPOKE_STEP_TIMEOUT_H

#include <filbertspoke/Core>
#include <filbertspoke/Routing>

namespace filbertspoke::internal {

/** \returns how long an engine may take for a step before the step counts as lost
 *
 * \param state what is known of the engine, or null
 * \param step sets the number of positions: a prefill takes longer than one token
 */
Duration stepTimeout(const EndpointState* state, const Step& step);

}

#endif
