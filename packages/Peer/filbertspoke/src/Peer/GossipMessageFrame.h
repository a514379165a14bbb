#ifndef FILBERTSPOKE_GATEWAY_WORD_FRAME_H
#define FILBERTSPOKE_GATEWAY_WORD_FRAME_H

#include <filbertspoke/Core>
#include <filbertspoke/Gateway>

#include <string>
#include <string_view>

namespace filbertspoke {

/** \returns the word as bytes for another gateway */
std::string encodeGossipMessage(const GossipMessage&);

/** \returns the word, or MalformedMessage */
Result<GossipMessage> decodeGossipMessage(std::string_view bytes);

}

#endif
