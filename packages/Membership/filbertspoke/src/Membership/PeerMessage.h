#ifndef FILBERTSPOKE_PEER_MESSAGE_H
#define FILBERTSPOKE_PEER_MESSAGE_H

#include <filbertspoke/Core>

#include <compare>
#include <cstdint>
#include <variant>

namespace filbertspoke {

/** \brief A daemon's word on itself, exchanged between peers. */
struct PeerStatus {
    DaemonId from;
    std::uint64_t incarnation = 0; ///< start time of the process in microseconds since 1970
    LogOffset configurationRevision = 0;
    std::uint32_t requestsInProgress = 0;
    bool draining = false;

    auto operator<=>(const PeerStatus&) const = default;
};

/** \brief A message between two daemons. The package Peer carries it as a Thrift frame. */
using PeerMessage = std::variant<PeerStatus>;

}

#endif
