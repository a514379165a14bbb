#ifndef FILBERTSPOKE_TO_WIRE_H
#define FILBERTSPOKE_TO_WIRE_H

#include "../PeerFrame.h"

#include "gen-cpp/peer_types.h"

namespace filbertspoke::internal {

/** \returns the frame as the Thrift struct of peer.thrift */
wire::PeerFrame toWire(const PeerFrame&);

}

#endif
