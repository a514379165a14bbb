#ifndef FILBERTSPOKE_ENDPOINT_REGISTRY_H
#define FILBERTSPOKE_ENDPOINT_REGISTRY_H

#include "RegisteredEndpoint.h"

#include <filbertspoke/Core>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace filbertspoke {

/** \brief How an exchange with an endpoint went wrong. */
enum class EndpointFault {
    Unreachable, ///< no connection, or the endpoint of a chain that takes no new work by another one's word
    Silent, ///< connected, and no answer in time
    Broken, ///< the connection ended early, or the answer was no sound answer
    Failed, ///< a sound answer that reports a failure
};

/** \brief An endpoint, and what this daemon itself has seen of it. */
struct EndpointRecord {
    RegisteredEndpoint endpoint;
    std::optional<TimePoint> removedAt; ///< the registry dropped it, in the time in which entries may come back
    std::optional<TimePoint> avoidedUntil; ///< own evidence speaks against it until then
    std::optional<TimePoint> hearsayUntil; ///< other daemons' evidence speaks against it until then
    std::optional<EndpointFault> lastFault; ///< since the last success
    std::optional<TimePoint> unreachableAt; ///< by own or other daemons' evidence, since new work last went well
    std::uint32_t faultsInRow = 0;
    double faultRate = 0; ///< smoothed share of exchanges that went wrong
};

/** \brief The endpoints that may take work: the registry's entries, checked against own evidence.
 *
 * Does no input or output.
 */
class EndpointRegistry {
public:
    /** \brief Takes an entry that an endpoint wrote; older words of the same endpoint change nothing.
     * \returns whether what is known changed beyond the heartbeat */
    bool update(const RegisteredEndpoint&);

    /** \brief Takes the removal of an entry.
     * \returns whether the endpoint was known */
    bool remove(const EndpointId&, TimePoint now);

    /** \brief Takes the whole list; endpoints that are missing from it are treated as removed. */
    void replaceAll(const std::vector<RegisteredEndpoint>&, TimePoint now);

    /** \brief The registry answers again after an outage, in which entries may have lapsed. */
    void noteRegistryRecovered(TimePoint now);

    /** \brief Drops removed entries whose time to come back has passed. */
    void expire(TimePoint now);

    void noteFault(const EndpointId&, EndpointFault, TimePoint now);
    /** \brief Notes that an exchange goes well.
     * \param begun when it began; an endpoint that was found to take no new work since may still go on with older work */
    void noteSuccess(const EndpointId&, TimePoint begun);
    /** \brief Takes another daemon's word that an endpoint is better left alone for a while. */
    void noteRemoteAvoidance(const EndpointId&, Duration remaining, TimePoint now);
    /** \returns whether own or other daemons' evidence speaks against the endpoint, or against its failure domain */
    bool isAvoided(const EndpointRecord&, TimePoint now) const;

    /** \returns the record, or nullptr */
    const EndpointRecord* find(const EndpointId&) const;
    /** \returns the id of the endpoint of \a service at the address, or nothing */
    std::optional<EndpointId> findByAddress(const SocketAddress&) const;
    /** \returns whether own or other daemons' evidence speaks against the endpoint itself */
    static bool isSuspected(const EndpointRecord&, TimePoint now);
    /** \returns the time for which the endpoint is still left alone by this daemon's own evidence, or nothing */
    static std::optional<Duration> ownAvoidance(const EndpointRecord&, TimePoint now);
    /** \returns whether the endpoint may get new work at all, whatever the evidence */
    static bool takesWork(const EndpointRecord&, TimePoint now);
    /** \returns the service's endpoints that may get new work; the avoided ones only when there is no other */
    std::vector<const EndpointRecord*> candidates(const ServiceId&, TimePoint now) const;

    /** \returns a number that changes whenever the entries do, heartbeats apart */
    std::uint64_t revision() const { return this->changes; }

    const std::map<EndpointId, EndpointRecord>& records() const { return this->byId; }

private:
    /** \brief Endpoints of a failure domain that were unreachable since the last success with any of them. */
    using UnreachableEndpoints = std::map<EndpointId, TimePoint>;

    void removeOthersAt(const SocketAddress&, const EndpointRecord& newest);

    std::map<EndpointId, EndpointRecord> byId;
    std::map<FailureDomainId, UnreachableEndpoints> unreachable;
    std::optional<TimePoint> returnedAt; ///< of the registry's last return
    std::uint64_t changes = 1;
};

}

#endif
