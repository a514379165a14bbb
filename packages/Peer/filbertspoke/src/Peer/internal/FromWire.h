#ifndef FILBERTSPOKE_FROM_WIRE_H
#define FILBERTSPOKE_FROM_WIRE_H

#include "../PeerFrame.h"

#include "gen-cpp/peer_types.h"

namespace filbertspoke::internal {

/** \returns the frame, ErrorCode::MalformedMessage for values out of range, or
 * ErrorCode::UnsupportedVersion for a message of an unknown kind */
Result<PeerFrame> fromWire(wire::PeerFrame&&);

}

#endif
