#ifndef FILBERTSPOKE_PEER_FRAME_H
#define FILBERTSPOKE_PEER_FRAME_H

#include <filbertspoke/Core>
#include <filbertspoke/Membership>

#include <cstddef>
#include <string>
#include <string_view>

namespace filbertspoke {

/** \brief A message between two daemons, with its sender. */
struct PeerFrame {
    DaemonId sender;
    PeerMessage message;

    bool operator==(const PeerFrame&) const = default;
};

/** \brief Maximum size of a frame that a daemon sends or accepts, in bytes. */
constexpr std::size_t maxPeerFrameBytes = 4 * 1024 * 1024;

/** \returns the frame in Thrift's compact protocol, without a length prefix */
std::string encodePeerFrame(const PeerFrame&);

/** \returns the frame, ErrorCode::MalformedMessage, or ErrorCode::UnsupportedVersion for a message of
 * an unknown kind */
Result<PeerFrame> decodePeerFrame(std::string_view bytes);

}

#endif
