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

/** \brief A failed attempt, and which endpoint is taken for its cause. */
struct FailedAttempt {
    AttemptEnd end = AttemptEnd::Lost;
    EndpointId first; ///< that got the request, or would have
    EndpointId blamed; ///< the same, or a later one of its chain
    EndpointFault fault = EndpointFault::Broken; ///< of the blamed one

    auto operator<=>(const FailedAttempt&) const = default;
};

/** \brief The attempts of one request so far, and where it may still go. A copy tells what an attempt in progress would
 * leave if it failed. */
class AttemptHistory {
public:
    explicit AttemptHistory(const Route&);

    /** \brief Notes an attempt that begins; it may yet reach no endpoint. */
    void noteAttempt() { ++this->attempts; }
    /** \brief Notes that the request is on its way to an endpoint. */
    void noteSent() { ++this->sent; }
    void noteFailure(const FailedAttempt&);

    /** \returns whether the next send repeats one that may have reached an endpoint */
    bool isRepeat() const { return this->sent > 0; }
    /** \returns whether only endpoints that had the request already may get it again */
    bool attemptsExhausted() const { return this->usedEndpoints.size() >= this->allowed; }
    /** \returns whether the endpoint may get the request as far as the attempts tell; when the route's attempts are
     * used, one that only broke the connection may get it again */
    bool mayUse(const EndpointId&) const;
    /** \returns endpoints that may have run the request */
    const std::set<EndpointId>& used() const { return this->usedEndpoints; }
    /** \returns how many attempts have begun */
    std::uint32_t attemptCount() const { return this->attempts; }
    /** \returns how many endpoints were taken for the cause of a failure */
    std::size_t faultyEndpoints() const { return this->faults.size(); }
    /** \returns what decides on a retry */
    AttemptState state(Duration timeLeft) const;

private:
    bool mayReturn() const;

    RouteKind kind;
    bool resumable;
    std::uint32_t allowed;
    std::uint32_t attempts = 0;
    std::uint32_t sent = 0;
    std::uint32_t possibleRuns = 0;
    std::map<EndpointId, EndpointFault> faults; ///< the last one of each endpoint
    std::set<EndpointId> usedEndpoints;
};

}

#endif
