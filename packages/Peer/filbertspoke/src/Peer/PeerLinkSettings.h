#ifndef FILBERTSPOKE_PEER_LINK_SETTINGS_H
#define FILBERTSPOKE_PEER_LINK_SETTINGS_H

#include <filbertspoke/Core>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace filbertspoke {

/** \brief Where a PeerLink listens, and its limits. */
struct PeerLinkSettings {
    DaemonId self;
    std::string address; ///< own IP number in text; also the source of outgoing connections
    std::uint16_t port = 0; ///< of TCP and UDP; 0 lets the system choose

    Duration connectTimeout = std::chrono::seconds(1);
    Duration writeTimeout = std::chrono::seconds(2); ///< until the peer's host has acknowledged the bytes
    Duration readTimeout = std::chrono::seconds(5); ///< from the first byte of a frame to its last
    Duration idleTimeout = std::chrono::seconds(60); ///< an outgoing connection without frames is closed
    std::size_t maximumInboundConnections = 4096;
    std::size_t maximumQueuedBytes = std::size_t(16) * 1024 * 1024; ///< for each peer; more is dropped
};

/** \brief What a PeerLink has done since its start. */
struct PeerLinkCounters {
    std::uint64_t framesSent = 0;
    std::uint64_t framesReceived = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t malformedFrames = 0; ///< dropped: not a frame, or too long
    std::uint64_t unknownFrames = 0; ///< dropped: of a kind that only newer daemons know
    std::uint64_t droppedFrames = 0; ///< not sent: the peer's queue was full, or it wasn't reached
};

}

#endif
