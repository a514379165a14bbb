#ifndef FILBERTSPOKE_GOSSIP_MESSAGE_FRAME_H
#define FILBERTSPOKE_GOSSIP_MESSAGE_FRAME_H

#include <filbertspoke/Core>
#include <filbertspoke/Gateway>

#include <string>
#include <string_view>

namespace filbertspoke {

/** \returns the message in Thrift's compact protocol */
std::string encodeGossipMessage(const GossipMessage&);

/** \returns the message, or ErrorCode::MalformedMessage */
Result<GossipMessage> decodeGossipMessage(std::string_view bytes);

}

#endif
