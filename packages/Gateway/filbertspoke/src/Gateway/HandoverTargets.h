#ifndef FILBERTSPOKE_HANDOVER_TARGETS_H
#define FILBERTSPOKE_HANDOVER_TARGETS_H

#include "PeerTable.h"

#include <filbertspoke/Configuration>
#include <filbertspoke/Core>

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace filbertspoke {

/** \brief Where a gateway takes requests that others hand over, and for which services it can't. */
struct HandoverTarget {
    SocketAddress address;
    FailureDomainId failureDomain;
    std::set<ServiceId> unreachableServices; ///< whose endpoints the gateway itself does not reach

    auto operator<=>(const HandoverTarget&) const = default;
};

/** \brief Chooses the gateway to which a request is handed over, when this one is cut off from the endpoints of its service.
 *
 * Gateways of the same failure domain come first, since bytes between domains cost; the requests are spread over them.
 *
 * Load pattern: a failure domain is cut off from engines, and all its gateways hand over at once, first to each other. A gateway that is cut off too declines
 * each request. Gateways of a domain tell each other of their state only every few seconds, so that a declined request is the first news of it. A gateway that is
 * known to be cut off is left out for a second, and other domains come first while several of the own one are, or one of them has declined the request.
 */
class HandoverTargets {
public:
    /** \brief Records what a gateway says of itself.
     * \param peer address at which it exchanges messages */
    void note(const SocketAddress& peer, HandoverTarget target, TimePoint now);
    /** \brief Records that a gateway did not take a request for the service, because it is cut off from the endpoints or about to stop.
     * \param target address at which it takes requests */
    void noteDeclined(const SocketAddress& target, const ServiceId&, TimePoint now);

    /** \returns the address to which to hand a request over, or nothing when no gateway can take it
     * \param reachable gateways that respond
     * \param tried addresses that did not take the request
     * \param draw random number in [0, 1) */
    std::optional<SocketAddress> choose(const ServiceId&, const std::vector<PeerAddress>& reachable, const std::set<SocketAddress>& tried, const FailureDomainId& ownDomain, double draw, TimePoint now) const;

private:
    bool isCutOff(const SocketAddress& target, const ServiceId&, TimePoint now) const;

    std::map<SocketAddress, HandoverTarget> targets; ///< by the address for messages
    std::map<std::pair<SocketAddress, ServiceId>, TimePoint> cutOffSince; ///< by the address for requests; when it was last known
};

/** \returns whether a request that was declined this often is left to its caller, who is told to return later
 * \param notRun whether the request has certainly not run */
bool endsHandovers(std::size_t declined, bool notRun);

}

#endif
