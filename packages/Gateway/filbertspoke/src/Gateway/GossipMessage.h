#ifndef FILBERTSPOKE_GOSSIP_MESSAGE_H
#define FILBERTSPOKE_GOSSIP_MESSAGE_H

#include "EndpointRegistry.h"
#include "LoadTracker.h"
#include "PeerTable.h"
#include "RequestQuarantine.h"
#include "RequestRateLimits.h"
#include "StoreEraTracker.h"

#include <filbertspoke/Configuration>
#include <filbertspoke/Core>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace filbertspoke {

/** \brief A configuration record as it is kept in the store. */
struct ConfigurationDocument {
    std::string key;
    std::string text;

    auto operator<=>(const ConfigurationDocument&) const = default;
};

/** \brief An endpoint that a gateway avoids because of faults that it observed itself. */
struct AvoidedEndpoint {
    EndpointId endpoint;
    Duration remaining {}; ///< time for which it is still avoided

    auto operator<=>(const AvoidedEndpoint&) const = default;
};

/** \brief State that a gateway sends to a peer: its load, configuration, endpoints and known gateways. */
struct GossipMessage {
    DaemonId daemon;
    FailureDomainId failureDomain;
    SocketAddress address; ///< at which other gateways reach the sender
    std::uint64_t configurationVersion = 0; ///< in force at the sender; 0 for none
    WorkByEndpoint work; ///< in progress, by endpoint
    bool sum = false; ///< whether work is the sum over a group of gateways instead of the work of the sender alone
    std::uint64_t endpointsRevision = 0; ///< revision of the sender's endpoint list
    std::uint64_t knownRevision = 0; ///< last revision of the receiver's endpoint list that the sender has
    bool followsStore = false; ///< whether the sender reads the store itself and can reach it
    bool relaysStore = false; ///< whether the sender gets the state from a gateway that reads the store, and passes it on
    std::optional<StoreEra> storeEra; ///< highest era of the store that the sender knows; the endpoint list is of this era
    std::vector<AvoidedEndpoint> avoided;
    std::optional<SocketAddress> handover; ///< at which the sender takes requests that other gateways can't serve
    std::vector<ServiceId> unreachableServices; ///< from whose endpoints the sender is cut off
    std::vector<EndpointRun> leaving; ///< endpoints that are leaving although their entries don't say so yet
    std::vector<RefusingEndpoint> refusing; ///< endpoints that refuse the sender's own requests
    std::vector<RateLimitReport> rateLimits; ///< that endpoints named in their answers
    std::vector<RequestTraitEvidence> requestTraits; ///< whose requests were at endpoints that crashed
    std::uint64_t peersDigest = 0; ///< of the gateways that the sender can reach
    std::uint64_t knownPeersDigest = 0; ///< of the receiver's gateways as the sender last received them
    std::optional<std::vector<PeerAddress>> peers; ///< the reachable gateways; sent to a receiver whose knownPeersDigest differs
    std::optional<SiteSize> siteSize; ///< number of gateways of the site; nothing when the sender does not know it
    bool wantsEndpoints = false; ///< whether the sender asks for endpoints because it can't read the registry itself
    std::optional<ConfigurationDocument> configuration; ///< sent to a receiver that has an older version
    std::optional<std::vector<RegisteredEndpoint>> endpoints; ///< sent to a receiver that asked for them

    auto operator<=>(const GossipMessage&) const = default;
};

}

#endif
