#ifndef FILBERTSPOKE_GOSSIP_MESSAGE_FRAME_H
#define FILBERTSPOKE_GOSSIP_MESSAGE_FRAME_H

#include <filbertspoke/Core>
#include <filbertspoke/Gateway>

#include <string>
#include <string_view>

namespace filbertspoke {

/** \returns the word as bytes for another gateway */
std::string encodeGossipMessage(const GatewayWord&);

/** \returns the word, or MalformedMessage */
Result<GatewayWord> decodeGossipMessage(std::string_view bytes);

}

#endif
