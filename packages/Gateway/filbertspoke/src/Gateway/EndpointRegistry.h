#ifndef FILBERTSPOKE_ENDPOINT_REGISTRY_H
#define FILBERTSPOKE_ENDPOINT_REGISTRY_H

#include "EndpointSignals.h"
#include "RefusalBackoff.h"
#include "RegisteredEndpoint.h"

#include <filbertspoke/Core>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace filbertspoke {

/** \brief Kinds of failures of an exchange with an endpoint. */
enum class EndpointFault {
    Unreachable, ///< the connection failed, or the endpoint's address belongs to another one now
    Refused, ///< a well-formed response reports that the endpoint does not take the request: it is short of memory, lacks the layers or leaves
    Silent, ///< the connection succeeded, but no response came in time
    Broken, ///< the connection closed early, or the response was malformed
    Failed, ///< a well-formed response that reports a failure
};

/** \brief An endpoint with what this daemon has observed of it and learned from other daemons. */
struct EndpointRecord {
    RegisteredEndpoint endpoint;
    std::optional<TimePoint> removedAt; ///< set while the entry is gone from the registry but may be written again
    std::optional<TimePoint> avoidedUntil; ///< avoided until then because of faults that this daemon observed
    std::optional<TimePoint> remoteAvoidedUntil; ///< avoided until then because of reports of other daemons
    std::optional<EndpointFault> lastFault; ///< since the last success
    std::optional<TimePoint> unreachableAt; ///< last seen or reported unreachable, since new work last succeeded
    RefusalBackoff refusals; ///< of this run of the endpoint with its present layers
    std::optional<TimePoint> pushbackUntil; ///< the endpoint refuses the requests of this daemon until then
    bool leavingReported = false; ///< its leaving is known from its answers or from other daemons, but not from its entry yet
    std::uint32_t consecutiveFaults = 0;
    double faultRate = 0; ///< share of failed exchanges, as an exponential moving average
};

/** \brief One run of an endpoint, from its start to its end. */
struct EndpointRun {
    EndpointId endpoint;
    std::int64_t startedAtMs = 0; ///< Unix time of the start in ms

    auto operator<=>(const EndpointRun&) const = default;
};

/** \brief An endpoint that refuses the requests of a gateway. */
struct RefusingEndpoint {
    EndpointRun run;
    Duration remaining {}; ///< time for which the gateway does not use it

    auto operator<=>(const RefusingEndpoint&) const = default;
};

/** \brief Whether endpoints that refuse work are among the candidates for it. */
enum class RefusingCandidates {
    Excluded, ///< unless there are no others
    Included, ///< unless they have just refused
};

/** \brief Effect of a removal on an endpoint. */
enum class Removal {
    Unknown, ///< the endpoint was not known
    Erased,
    Held, ///< the endpoint is still used for a while, because its entry may have expired during an outage of the registry
};

/** \brief The endpoints known from the platform's registry, with passive health checks from observed exchanges.
 *
 * Does no input or output.
 */
class EndpointRegistry {
public:
    /** \brief Applies an entry that an endpoint wrote; an entry older than the stored one, or than the last one of a removed
     * endpoint, is ignored.
     * \returns whether anything but the heartbeat changed */
    bool update(const RegisteredEndpoint&);

    /** \brief Removes an entry, or marks it as removed when it may have expired during an outage of the registry. */
    Removal remove(const EndpointId&, TimePoint now);

    /** \brief Applies the complete list of entries; endpoints that are not in it are removed as by remove().
     * \returns the effect on each endpoint that was not marked as removed before and is not in the list */
    std::map<EndpointId, Removal> replaceAll(const std::vector<RegisteredEndpoint>&, TimePoint now);

    /** \brief Records that the registry responds again after an outage, during which entries may have expired. */
    void noteRegistryRecovered(TimePoint now);

    /** \brief Erases removed entries that were not written again in time. */
    void expire(TimePoint now);

    /** \brief Records that the endpoint reports its leaving. It gets no new work until it restarts.
     * \returns whether that is news */
    bool noteLeaving(const EndpointId&);
    /** \brief Records that another daemon has learned that this run of an endpoint is leaving. */
    void noteRemoteLeaving(const EndpointRun&);
    /** \returns the runs of endpoints that are known to be leaving although their entries don't say so yet */
    std::vector<EndpointRun> reportedLeaving() const;

    /** \brief Records that the endpoint wants no requests from this daemon for \a pushback.
     * \param draw random number in [0, 1), by which daemons that are pushed back together resume at different times */
    void notePushback(const EndpointId&, Duration pushback, double draw, TimePoint now);
    /** \returns whether the endpoint wants no requests from this daemon */
    static bool isPushedBack(const EndpointRecord&, TimePoint now);
    /** \returns the time until the service may take requests again, as far as pushback alone decides: until one endpoint, or
     * endpoints that hold all the layers together, accept requests. Nothing when they do already, or never will
     * \param layers of the service's model; 0 for plain services */
    std::optional<Duration> pushbackRemaining(const ServiceId&, std::uint32_t layers, TimePoint now) const;

    /** \brief Records a fault; the endpoint is avoided for a while when it is unreachable or silent, or after several faults. A refusal is no
     * sign of a defect; it counts as that of a request sent now, see noteRefusal(). */
    void noteFault(const EndpointId&, EndpointFault, TimePoint now);
    /** \brief Records a refusal, which keeps new work away for a while; see RefusalBackoff::noteRefusal().
     * \returns the pause that begins now, or nothing */
    std::optional<Duration> noteRefusal(const EndpointId&, TimePoint sentAt, double draw, TimePoint now);
    /** \brief Records that this run of an endpoint refuses the requests of another daemon; see RefusalBackoff::noteReport().
     * \returns the pause that begins now, or nothing */
    std::optional<Duration> noteRemoteRefusal(const RefusingEndpoint&, double draw, TimePoint now);
    /** \returns the endpoints that are known to refuse requests, of this daemon or of others */
    std::vector<RefusingEndpoint> knownRefusals(TimePoint now) const;
    /** \returns the endpoints that refuse this daemon's own requests; those reported by other daemons are left out */
    std::vector<RefusingEndpoint> ownRefusals(TimePoint now) const;
    /** \brief Records a successful exchange, which ends the avoidance of the endpoint.
     * \param begun when the exchange began; an exchange that began before the endpoint was last unreachable does not end the
     * avoidance, because an endpoint that refuses new work may continue older work */
    void noteSuccess(const EndpointId&, TimePoint begun);
    /** \brief Records that another daemon avoids the endpoint for \a remaining from now on. */
    void noteRemoteAvoidance(const EndpointId&, Duration remaining, TimePoint now);
    /** \brief Forgets that endpoints of the service were unreachable or silent, because this daemon's own paths were the reason. */
    void forgetFaults(const ServiceId&);
    /** \returns whether the endpoint is suspected, or its failure domain appears to be unreachable */
    bool isAvoided(const EndpointRecord&, TimePoint now) const;

    /** \returns the record of the endpoint, or nullptr */
    const EndpointRecord* find(const EndpointId&) const;
    /** \returns the id of the endpoint at the address, or nothing */
    std::optional<EndpointId> findByAddress(const SocketAddress&) const;
    /** \returns whether the endpoint itself is avoided, because of observed faults or of reports of other daemons */
    static bool isSuspected(const EndpointRecord&, TimePoint now);
    /** \returns whether the endpoint has refused new work, so that it gets none for a while if others can take it */
    static bool isRefusing(const EndpointRecord& record, TimePoint now) { return record.refusals.isPausing(now); }
    /** \returns the remaining time for which faults observed by this daemon exclude the endpoint, or nothing */
    static std::optional<Duration> ownAvoidance(const EndpointRecord&, TimePoint now);
    /** \returns whether the endpoint is not draining, and is registered or may be written again; does not consider avoidance */
    static bool takesWork(const EndpointRecord&, TimePoint now);
    /** \returns the service's endpoints that take new work and don't push back; avoided ones, and refusing ones that are excluded, only when
     * there are no others */
    std::vector<const EndpointRecord*> candidates(const ServiceId&, TimePoint now, RefusingCandidates = RefusingCandidates::Excluded) const;

    /** \returns a number that changes whenever an entry changes in more than its heartbeat */
    std::uint64_t revision() const { return this->changes; }

    /** \returns the entries that are in the registry. Endpoints that this daemon only holds are left out: each daemon decides by the age of
     * its own view which endpoints to hold */
    std::vector<RegisteredEndpoint> entries() const;

    const std::map<EndpointId, EndpointRecord>& records() const { return this->byId; }

private:
    /** \brief Endpoints of a failure domain with the time when each was last unreachable, since the last success in the domain. */
    using UnreachableEndpoints = std::map<EndpointId, TimePoint>;

    /** \brief Last entry of an endpoint that was removed. */
    struct RemovedRun {
        std::int64_t startedAtMs = 0;
        std::uint64_t heartbeat = 0;
        bool draining = false;
        TimePoint removedAt;
    };

    /** \brief Erases the endpoint and remembers its run. */
    std::map<EndpointId, EndpointRecord>::iterator erase(std::map<EndpointId, EndpointRecord>::iterator, TimePoint now);
    /** \returns whether the entry is not newer than the last one of the removed run of the endpoint */
    bool isOfRemovedRun(const RegisteredEndpoint&) const;
    /** \brief Removes all endpoints at the address but the one that started last. */
    void removeSuperseded(const SocketAddress&, const EndpointRecord& newest);

    std::map<EndpointId, EndpointRecord> byId;
    std::map<EndpointId, RemovedRun> removedRuns;
    std::map<FailureDomainId, UnreachableEndpoints> unreachable;
    std::optional<TimePoint> recoveredAt; ///< end of the last outage of the registry
    std::uint64_t changes = 1;
};

}

#endif
