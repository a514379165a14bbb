#ifndef FILBERTSPOKE_GATEWAY_WORD_H
#define FILBERTSPOKE_GATEWAY_WORD_H

#include "LoadBook.h"
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
struct GatewayWord {
    DaemonId daemon;
    SocketAddress address; ///< where other gateways reach it
    std::uint64_t configurationVersion = 0; ///< in force there; 0 for none
    WorkByEndpoint work; ///< that it has in progress
    std::vector<AvoidedEndpoint> avoided;
    std::vector<SocketAddress> peers; ///< that it knows
    bool wantsEndpoints = false; ///< it can't read the registry itself
    std::optional<ConfigurationDocument> configuration; ///< for a receiver that has an older one
    std::optional<std::vector<RegisteredEndpoint>> endpoints; ///< for a receiver that wants them

    auto operator<=>(const GatewayWord&) const = default;
};

}

#endif
