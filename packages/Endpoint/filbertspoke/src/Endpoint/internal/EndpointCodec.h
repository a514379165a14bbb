#ifndef FILBERTSPOKE_ENDPOINT_CODEC_H
#define FILBERTSPOKE_ENDPOINT_CODEC_H

#include <filbertspoke/Core>
#include <filbertspoke/Http>
#include <filbertspoke/Router>

#include <string>
#include <vector>

namespace filbertspoke::internal {

/** \returns the JSON body of a frame of steps */
std::string encodeSteps(const std::vector<Step>&);

/** \returns the receipts in the response to a frame of steps, or ErrorCode::MalformedMessage */
Result<std::vector<StepReceipt>> decodeReceipts(const std::string& body);

/** \returns the JSON body that cancels a request */
std::string encodeCancellation(const RequestId&);

/** \returns the load report in the body of an endpoint's status, or ErrorCode::MalformedMessage */
Result<EndpointReported> decodeStatus(const EndpointId&, const std::string& body);

/** \returns the HTTP request that carries a call to a plain service */
HttpRequest encodeCall(const SendCall&);

/** \returns the event for the response of a plain service */
CallAnswered decodeCallResponse(const EndpointId&, const RequestId&, std::uint32_t attempt, HttpResponse);

}

#endif
