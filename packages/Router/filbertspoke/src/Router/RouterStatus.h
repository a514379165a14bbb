#ifndef FILBERTSPOKE_ROUTER_STATUS_H
#define FILBERTSPOKE_ROUTER_STATUS_H

#include "DaemonIdentity.h"

#include <filbertspoke/Core>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace filbertspoke {

/** \brief An endpoint as the daemon sees it. */
struct EndpointStatus {
    Endpoint endpoint;
    bool takesNewWork = false;
    std::uint32_t inProgress = 0; ///< steps and calls that this daemon has at the endpoint
    std::uint32_t queued = 0; ///< as the endpoint reported

    bool operator==(const EndpointStatus&) const = default;
};

/** \brief A peer daemon as the daemon sees it. */
struct PeerView {
    DaemonId id;
    std::string state; ///< "alive", "suspect", "leaving" or "gone"

    bool operator==(const PeerView&) const = default;
};

/** \brief What `filbertspokectl status` shows of a daemon. */
struct RouterStatus {
    DaemonIdentity identity;
    bool ready = false;
    bool draining = false;
    std::optional<LogOffset> configurationRevision; ///< nothing before a configuration is in force
    std::uint32_t requestsInProgress = 0;
    std::uint32_t requestsQueued = 0;
    std::vector<EndpointStatus> endpoints;
    std::vector<PeerView> peers;

    bool operator==(const RouterStatus&) const = default;
};

}

#endif
