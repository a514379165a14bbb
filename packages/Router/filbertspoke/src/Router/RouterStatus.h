#ifndef FILBERTSPOKE_ROUTER_STATUS_H
#define FILBERTSPOKE_ROUTER_STATUS_H

#include "DaemonIdentity.h"

#include <filbertspoke/Core>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace filbertspoke {

/** \brief The daemon's view of an endpoint. */
struct EndpointStatus {
    Endpoint endpoint;
    bool takesNewWork = false;
    std::uint32_t inProgress = 0; ///< steps and calls that this daemon has sent to the endpoint and not finished
    std::uint32_t queued = 0; ///< as reported by the endpoint

    bool operator==(const EndpointStatus&) const = default;
};

/** \brief The daemon's view of a peer. */
struct PeerView {
    DaemonId id;
    std::string state; ///< "alive", "suspect", "leaving" or "gone"

    bool operator==(const PeerView&) const = default;
};

/** \brief The state of a daemon as shown by `filbertspokectl status`. */
struct RouterStatus {
    DaemonIdentity identity;
    bool ready = false;
    bool draining = false;
    std::optional<LogOffset> configurationRevision; ///< empty until a configuration is in force
    std::uint32_t requestsInProgress = 0;
    std::uint32_t requestsQueued = 0;
    std::vector<EndpointStatus> endpoints;
    std::vector<PeerView> peers;

    bool operator==(const RouterStatus&) const = default;
};

}

#endif
