#ifndef FILBERTSPOKE_GATEWAY_WORD_H
#define FILBERTSPOKE_GATEWAY_WORD_H

#include "LoadTracker.h"
#include "PeerTable.h"
#include "RegisteredEndpoint.h"

#include <filbertspoke/Configuration>
#include <filbertspoke/Core>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace filbertspoke {

/** \brief A configuration as the store holds it. */
struct ConfigurationDocument {
    std::string key;
    std::string text;

    auto operator<=>(const ConfigurationDocument&) const = default;
};

/** \brief An endpoint that a gateway leaves alone, by its own evidence. */
struct AvoidedEndpoint {
    EndpointId endpoint;
    Duration remaining {};

    auto operator<=>(const AvoidedEndpoint&) const = default;
};

/** \brief What a gateway tells another one of itself. */
struct GossipMessage {
    DaemonId daemon;
    FailureDomainId failureDomain;
    SocketAddress address; ///< where other gateways reach it
    std::uint64_t configurationVersion = 0; ///< in force there; 0 for none
    WorkByEndpoint work; ///< in progress
    bool sum = false; ///< the work is that of a group of gateways, not of the sender alone
    std::uint64_t endpointsRevision = 0; ///< of the sender's list; changes with every change of it
    std::uint64_t knownRevision = 0; ///< of the receiver's list, as the sender has it
    bool followsStore = false; ///< the sender reads the store itself, and reaches it
    std::vector<AvoidedEndpoint> avoided;
    std::vector<SocketAddress> peers; ///< that it knows
    std::optional<SiteSize> siteSize; ///< gateways that there may be, as far as the sender can tell
    bool wantsEndpoints = false; ///< it can't read the registry itself
    std::optional<ConfigurationDocument> configuration; ///< for a receiver that has an older one
    std::optional<std::vector<RegisteredEndpoint>> endpoints; ///< for a receiver that wants them

    auto operator<=>(const GossipMessage&) const = default;
};

}

#endif
