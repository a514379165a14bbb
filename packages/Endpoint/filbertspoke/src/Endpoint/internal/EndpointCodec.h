#ifndef FILBERTSPOKE_ENDPOINT_CODEC_H
#define FILBERTSPOKE_ENDPOINT_CODEC_H

#include <filbertspoke/Core>
#include <filbertspoke/Http>
#include <filbertspoke/Router>

#include <string>
#include <vector>

namespace filbertspoke::internal {

/** \returns the body of a frame of steps */
std::string encodeSteps(const std::vector<Step>&);

/** \returns the receipts in the answer to a frame of steps */
Result<std::vector<StepReceipt>> decodeReceipts(const std::string& body);

/** \returns the body that names a request to drop */
std::string encodeCancel(const RequestId&);

/** \returns the report in an endpoint's status */
Result<EndpointReported> decodeStatus(const EndpointId&, const std::string& body);

/** \returns the HTTP request that carries a call to a plain service */
HttpRequest toRequest(const SendCall&);

/** \returns the event for a plain service's response */
CallAnswered toAnswer(const EndpointId&, const RequestId&, std::uint32_t attempt, HttpResponse);

}

#endif
