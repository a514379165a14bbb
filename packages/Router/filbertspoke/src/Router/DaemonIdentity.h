#ifndef FILBERTSPOKE_DAEMON_IDENTITY_H
#define FILBERTSPOKE_DAEMON_IDENTITY_H

#include <filbertspoke/Core>

#include <compare>
#include <cstdint>

namespace filbertspoke {

/** \brief Which daemon this is, and which run of its process. */
struct DaemonIdentity {
    DaemonId id;
    FailureDomainId failureDomain;
    std::uint64_t incarnation = 0; ///< start time of the process in microseconds since 1970

    auto operator<=>(const DaemonIdentity&) const = default;
};

}

#endif
