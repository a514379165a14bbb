#ifndef FILBERTSPOKE_PEER_FRAME_H
#define FILBERTSPOKE_PEER_FRAME_H

#include <filbertspoke/Core>
#include <filbertspoke/Membership>

#include <cstddef>
#include <string>
#include <string_view>

namespace filbertspoke {

/** \brief One message with its sender, as it travels between two daemons. */
struct PeerFrame {
    DaemonId sender;
    PeerMessage message;

    bool operator==(const PeerFrame&) const = default;
};

/** \brief The longest frame that a daemon sends or takes, in bytes. */
constexpr std::size_t maxPeerFrameBytes = 4 * 1024 * 1024;

/** \returns the frame in Thrift's compact protocol, without a length in front */
std::string encodePeerFrame(const PeerFrame&);

/** \returns the frame, ErrorCode::MalformedMessage, or ErrorCode::UnsupportedVersion for a message of a
 * kind that this daemon doesn't know */
Result<PeerFrame> decodePeerFrame(std::string_view bytes);

}

#endif
