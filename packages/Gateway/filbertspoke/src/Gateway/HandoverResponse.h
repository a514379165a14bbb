#ifndef FILBERTSPOKE_HANDOVER_RESPONSE_H
#define FILBERTSPOKE_HANDOVER_RESPONSE_H

#include "AttemptPolicy.h"

#include <optional>

namespace filbertspoke {

/** \returns whether a response with the status, sealed by an endpoint or not, is a stream of events */
bool beginsStream(unsigned status, bool sealed);

/** \returns whether the gateway itself, not an endpoint, declined the request: it is cut off from the endpoints, or about to stop */
bool declinesHandover(unsigned status, bool sealed);

/** \brief Decides what the response of the gateway to which a request was handed over means.
 *
 * An endpoint's response is sealed and goes to the caller. Without a seal, the other gateway speaks for itself: it may not reach the endpoints, or
 * have an older configuration, so that its refusal is not final. That the request has not run there is no promise if it may have run here.
 * \param status of the response
 * \param sealed whether an endpoint wrote it
 * \param ranHere whether the request may have run before it was handed over
 * \param streaming whether the caller has already got a part of the response, so that only a stream may follow
 * \returns the failure of the attempt, or nothing if the response goes to the caller
 */
std::optional<AttemptEnd> handoverFailure(unsigned status, bool sealed, bool ranHere, bool streaming);

}

#endif
