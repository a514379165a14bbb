#ifndef FILBERTSPOKE_HANDOVER_TARGETS_H
#define FILBERTSPOKE_HANDOVER_TARGETS_H

#include "PeerTable.h"

#include <filbertspoke/Configuration>
#include <filbertspoke/Core>

#include <compare>
#include <map>
#include <optional>
#include <set>
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
 */
class HandoverTargets {
public:
    /** \brief Records what a gateway says of itself.
     * \param peer address at which it exchanges messages */
    void note(const SocketAddress& peer, HandoverTarget target) { this->targets.insert_or_assign(peer, std::move(target)); }

    /** \returns the address to which to hand a request over, or nothing when no gateway can take it
     * \param reachable gateways that respond
     * \param tried addresses that did not take the request
     * \param draw random number in [0, 1) */
    std::optional<SocketAddress> choose(const ServiceId&, const std::vector<PeerAddress>& reachable, const std::set<SocketAddress>& tried, const FailureDomainId& ownDomain, double draw) const;

private:
    std::map<SocketAddress, HandoverTarget> targets; ///< by the address for messages
};

}

#endif
