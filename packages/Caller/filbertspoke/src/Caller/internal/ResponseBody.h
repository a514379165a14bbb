#ifndef FILBERTSPOKE_RESPONSE_BODY_H
#define FILBERTSPOKE_RESPONSE_BODY_H

#include <filbertspoke/Core>

#include <cstdint>
#include <string>
#include <vector>

namespace filbertspoke::internal {

/** \returns the JSON body of a refusal: code, ran, requestId, and optionally retryAfterMs and detail */
std::string refusalBody(const RequestId&, const Refusal&);

/** \returns the JSON body of a completion that is not streamed */
std::string completionBody(const RequestId&, const std::vector<std::string>& tokens, const std::string& finishReason);

/** \returns the server-sent event of one token; its id is the token's index */
std::string tokenEvent(std::uint32_t index, const std::string& text);

/** \returns the server-sent event that ends a successful completion */
std::string doneEvent(const RequestId&, const std::string& finishReason);

/** \returns the server-sent event that ends a failed completion */
std::string errorEvent(const RequestId&, const Refusal&);

/** \returns the value of the header Retry-After: seconds, rounded up to an integer */
std::string retryAfterSeconds(Duration);

}

#endif
