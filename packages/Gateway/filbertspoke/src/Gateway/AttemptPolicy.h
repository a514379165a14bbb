#ifndef FILBERTSPOKE_ATTEMPT_POLICY_H
#define FILBERTSPOKE_ATTEMPT_POLICY_H

#include "RouteKind.h"

#include <filbertspoke/Core>

#include <cstdint>

namespace filbertspoke {

/** \brief How one attempt at an endpoint ended without an answer that can be passed on. */
enum class AttemptEnd {
    NotSent, ///< no connection: no byte reached the endpoint
    NotExecuted, ///< the endpoint says that it did not run the request
    Lost, ///< sent, and no whole answer came back: it may have run
    ReportedFailure, ///< it ran and failed, as its own answer says
};

/** \brief What is known of a request when one of its attempts has ended. */
struct AttemptState {
    RouteKind kind = RouteKind::NonIdempotent;
    bool resumable = false;
    std::uint32_t allowedRuns = 1; ///< the route's attempts
    std::uint32_t possibleRuns = 0; ///< attempts that ran or may have run, the last one included
    std::uint32_t endpointsUsed = 0; ///< at which these attempts were; counts against the route's attempts
    bool mayReturn = false; ///< one of these endpoints can take the request again
    std::uint32_t sends = 0; ///< all attempts, the last one included
    Duration timeLeft {};

    auto operator<=>(const AttemptState&) const = default;
};

/** \returns whether the request may be sent to another endpoint, the shared retry budget apart */
bool mayRetry(const AttemptState&, AttemptEnd);

/** \returns whether the endpoint may have run the request, so that it counts against the route's attempts; silence
 * tells nothing, as an answer can be lost after the run */
bool mayHaveRun(AttemptEnd);

/** \returns whether the request certainly has not run, so that the caller may be told to come back */
bool certainlyNotRun(const AttemptState&);

}

#endif
