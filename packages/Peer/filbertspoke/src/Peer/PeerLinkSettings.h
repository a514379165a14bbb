#ifndef FILBERTSPOKE_PEER_LINK_SETTINGS_H
#define FILBERTSPOKE_PEER_LINK_SETTINGS_H

#include <filbertspoke/Core>
#include <filbertspoke/Socket>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace filbertspoke {

/** \brief Address, time-outs and limits of a PeerLink. */
struct PeerLinkSettings {
    DaemonId self;
    std::string address; ///< own IP address in text form; also the source address of outgoing connections
    std::uint16_t port = 0; ///< for TCP and UDP; 0 lets the system choose

    Duration connectTimeout = std::chrono::seconds(1);
    Duration writeTimeout = std::chrono::seconds(2); ///< until the socket has taken the bytes
    Duration readTimeout = std::chrono::seconds(5); ///< from the first byte of a frame to its last
    Duration idleTimeout = std::chrono::seconds(60); ///< after which an outgoing connection without frames is closed
    SocketTimeouts socketTimeouts = socketTimeoutsFor(ConnectionKind::PeerFrames); ///< of connections in both directions
    std::size_t maximumInboundConnections = 4096;
    std::size_t maximumQueuedBytes = std::size_t(16) * 1024 * 1024; ///< per peer; frames beyond it are dropped
};

/** \brief Counters of a PeerLink since its construction. */
struct PeerLinkCounters {
    std::uint64_t framesSent = 0;
    std::uint64_t framesReceived = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t malformedFrames = 0; ///< dropped because they could not be decoded or were too long
    std::uint64_t unknownFrames = 0; ///< dropped because this version doesn't know their kind of message
    std::uint64_t droppedFrames = 0; ///< not sent because the frame was too long, the peer's queue was full or sending failed
};

}

#endif
