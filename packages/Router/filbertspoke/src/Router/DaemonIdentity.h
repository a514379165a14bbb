#ifndef FILBERTSPOKE_DAEMON_IDENTITY_H
#define FILBERTSPOKE_DAEMON_IDENTITY_H

#include <filbertspoke/Core>

#include <compare>
#include <cstdint>
#include <string>

namespace filbertspoke {

/** \brief Identifies a daemon and the incarnation of its process. */
struct DaemonIdentity {
    DaemonId id;
    FailureDomainId failureDomain;
    std::uint64_t incarnation = 0; ///< start time of the process in microseconds since 1970
    std::string peerAddress = {}; ///< the IP address, as text, at which peers reach the daemon
    std::uint16_t peerPort = 0;

    auto operator<=>(const DaemonIdentity&) const = default;
};

}

#endif
