#ifndef FILBERTSPOKE_ATTEMPT_HISTORY_H
#define FILBERTSPOKE_ATTEMPT_HISTORY_H

#include "AttemptPolicy.h"
#include "EndpointRegistry.h"
#include "Route.h"

#include <filbertspoke/Core>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

namespace filbertspoke {

/** \brief A failed attempt, and the endpoint to which its failure is attributed. */
struct FailedAttempt {
    AttemptEnd end = AttemptEnd::Lost;
    EndpointId first; ///< to which the request was sent, or was to be sent; for a chain its first stage
    EndpointId blamed; ///< to which the failure is attributed: the first endpoint or a later stage of its chain
    EndpointFault fault = EndpointFault::Broken; ///< of the blamed endpoint

    auto operator<=>(const FailedAttempt&) const = default;
};

/** \brief Records the attempts of one request and tells which endpoints it may still be sent to.
 *
 * The history can be copied to find out which retries would remain if an attempt in progress failed.
 */
class AttemptHistory {
public:
    explicit AttemptHistory(const Route&);

    /** \brief Records the start of an attempt, which need not reach an endpoint. */
    void noteAttempt() { ++this->attempts; }
    /** \brief Records that the request is being sent to an endpoint. */
    void noteSent() { ++this->sent; }
    /** \brief Records the failure of an attempt. */
    void noteFailure(const FailedAttempt&);

    /** \returns whether the next send is a retry of one that may have reached an endpoint */
    bool isRepeat() const { return this->sent > 0; }
    /** \returns whether the route's attempts are exhausted, so that only endpoints that may have run the request can get it again */
    bool attemptsExhausted() const { return this->usedEndpoints.size() >= this->allowedEndpoints; }
    /** \returns whether the attempts so far allow the request to be sent to the endpoint
     *
     * An endpoint with a fault is excluded. When the route's attempts are exhausted, an endpoint that may have run the request
     * and whose last fault was a broken connection is allowed again. */
    bool mayUse(const EndpointId&) const;
    /** \returns whether the endpoint's last fault was a refusal, which holds for a moment only */
    bool wasRefusedBy(const EndpointId&) const;
    /** \returns the endpoints that may have run the request */
    const std::set<EndpointId>& used() const { return this->usedEndpoints; }
    /** \returns the number of attempts that have begun */
    std::uint32_t attemptCount() const { return this->attempts; }
    /** \returns the number of endpoints to which a failure was attributed */
    std::size_t faultyEndpoints() const { return this->faults.size(); }
    /** \returns the input for the decision on a retry */
    AttemptState state(Duration timeLeft) const;

private:
    bool mayReuseEndpoint() const;

    RouteKind kind;
    bool resumable;
    std::uint32_t allowedEndpoints;
    std::uint32_t attempts = 0;
    std::uint32_t sent = 0;
    std::uint32_t possibleRuns = 0;
    std::map<EndpointId, EndpointFault> faults; ///< the last fault of each endpoint
    std::set<EndpointId> usedEndpoints;
};

}

#endif
