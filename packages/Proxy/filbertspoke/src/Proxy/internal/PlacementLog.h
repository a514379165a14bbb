#ifndef FILBERTSPOKE_INTERNAL_PLACEMENT_LOG_H
#define FILBERTSPOKE_INTERNAL_PLACEMENT_LOG_H

#include <filbertspoke/Gateway>

namespace filbertspoke::internal {

/** \brief Logs what an endpoint's entry says of the endpoint, its engine and its layers. */
void logEndpoint(const RegisteredEndpoint&);

/** \returns whether the entries differ in more than the heartbeat */
bool differsBeyondHeartbeat(const RegisteredEndpoint&, const RegisteredEndpoint&);

/** \brief Logs the engine profile of each service whose profile differs between the configurations.
 * \param before the configuration in force until now; nullptr for none */
void logEngineProfiles(const ForwardingTable* before, const ForwardingTable& after);

}

#endif
