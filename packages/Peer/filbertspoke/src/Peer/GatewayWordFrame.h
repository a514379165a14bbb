#ifndef FILBERTSPOKE_GATEWAY_WORD_FRAME_H
#define FILBERTSPOKE_GATEWAY_WORD_FRAME_H

#include <filbertspoke/Core>
#include <filbertspoke/Gateway>

#include <string>
#include <string_view>

namespace filbertspoke {

/** \returns the word as bytes for another gateway */
std::string encodeGatewayWord(const GatewayWord&);

/** \returns the word, or MalformedMessage */
Result<GatewayWord> decodeGatewayWord(std::string_view bytes);

}

#endif
