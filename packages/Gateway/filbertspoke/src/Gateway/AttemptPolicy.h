#ifndef FILBERTSPOKE_ATTEMPT_POLICY_H
#define FILBERTSPOKE_ATTEMPT_POLICY_H

#include "RouteKind.h"

#include <filbertspoke/Core>

#include <cstdint>

namespace filbertspoke {

/** \brief Why an attempt at an endpoint gave no response that can be passed on to the caller. */
enum class AttemptEnd {
    NotSent, ///< the connection failed, and no byte reached the endpoint
    NotExecuted, ///< the endpoint reported that it did not run the request
    Lost, ///< the request was sent and no complete response came back, so that it may have run
    ReportedFailure, ///< the endpoint reported that the request ran and failed
};

/** \brief State of a request after one of its attempts has ended; input for the retry decision. */
struct AttemptState {
    RouteKind kind = RouteKind::NonIdempotent;
    bool resumable = false;
    std::uint32_t allowedRuns = 1; ///< number of endpoints on which the route lets the request run
    std::uint32_t possibleRuns = 0; ///< attempts that ran or may have run, including the last one
    std::uint32_t endpointsUsed = 0; ///< number of endpoints that may have run the request; limited by allowedRuns
    bool mayReuseEndpoint = false; ///< one of the endpoints that may have run the request can get it again
    std::uint32_t sends = 0; ///< all attempts, including the last one and those that reached no endpoint
    Duration timeLeft {}; ///< until the deadline of the request

    auto operator<=>(const AttemptState&) const = default;
};

/** \returns whether the request may be sent again; does not consult the shared retry budget */
bool mayRetry(const AttemptState&, AttemptEnd);

/** \returns whether the endpoint may have run the request, so that the attempt counts against the route's attempts
 *
 * A missing response counts as a possible run, because the response can be lost after the request has run. */
bool mayHaveRun(AttemptEnd);

/** \returns whether no endpoint can have run the request, so that the caller may be told to retry it */
bool certainlyNotRun(const AttemptState&);

}

#endif
