#ifndef FILBERTSPOKE_CALLER_CODEC_H
#define FILBERTSPOKE_CALLER_CODEC_H

#include <filbertspoke/Core>
#include <filbertspoke/Gateway>
#include <filbertspoke/Http>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace filbertspoke {

/** \brief A decoded request of a caller. */
struct CallerRequest {
    RequestId id; ///< attempt id set by the caller; a retry by the caller has another one
    HttpRequest http; ///< as received, without the headers that must not be forwarded
    std::string host;
    std::optional<Duration> timeLimit; ///< time for which the caller waits, counted from the arrival of the request
    std::string accountKey; ///< empty when the request has none
    std::vector<PromptPartId> sharedPromptParts; ///< all parts of the prompt but the last one, which is the request's or its session's own
    double promptTokens = 0;
    double maximumOutputTokens = 0;
    std::optional<double> expectedOutputTokens; ///< estimate given by the caller
    std::optional<std::uint64_t> lastEventId; ///< last event that the caller has, when it resumes a stream
    std::optional<std::uint32_t> endpointsUsed; ///< endpoints that may have run the request before another gateway handed it over; set only by gateways

    bool operator==(const CallerRequest&) const = default;
};

/** \brief One endpoint in the chain that serves a forwarded request. */
struct ForwardStage {
    EndpointId endpoint;
    SocketAddress address;
    LayerRange layers;

    auto operator<=>(const ForwardStage&) const = default;
};

/** \brief Metadata that the gateway adds to a forwarded request. */
struct ForwardMetadata {
    Duration timeLeft {}; ///< until the request's deadline
    std::vector<ForwardStage> stages; ///< in order; the request is sent to the first one. A plain service has a single stage
    std::optional<AccountId> account;
    std::optional<std::uint64_t> lastEventId; ///< event after which a resumed stream continues
    std::optional<std::uint32_t> priority; ///< of a generation, 0 is the most urgent; nothing when the configuration names none

    auto operator<=>(const ForwardMetadata&) const = default;
};

/** \brief Metadata of a request that is handed over to another gateway. */
struct HandoverMetadata {
    Duration timeLeft {}; ///< until the request's deadline
    std::uint32_t endpointsUsed = 0; ///< endpoints that may have run the request
    std::optional<std::uint64_t> lastEventId; ///< event after which a resumed stream continues

    auto operator<=>(const HandoverMetadata&) const = default;
};

/** \brief Status and metadata of an endpoint's response. */
struct EndpointReply {
    unsigned status = 0;
    std::vector<HttpHeader> headers; ///< headers to forward, without hop-by-hop headers
    std::optional<RequestId> id; ///< attempt id echoed by the endpoint
    bool sealed = false; ///< whether the response carries the endpoint's authenticity seal
    bool notExecuted = false; ///< whether the endpoint states that it did not execute the request
    EndpointSignals signals; ///< of the endpoint that answered
    std::optional<SocketAddress> faultAt; ///< address of the endpoint in the chain that failed, if the response names one

    bool operator==(const EndpointReply&) const = default;
};

/** \brief Decodes and encodes the messages exchanged with callers, and those forwarded to endpoints. */
class CallerCodec {
public:
    virtual ~CallerCodec() = default;

    /** \returns the decoded request, or MalformedRequest */
    virtual Result<CallerRequest> decodeRequest(HttpRequest) const = 0;
    /** \returns the request to send to the first stage */
    virtual HttpRequest encodeForward(const CallerRequest&, const ForwardMetadata&) const = 0;
    /** \returns the request to hand over to another gateway, which reads it with decodeRequest() */
    virtual HttpRequest encodeHandover(const CallerRequest&, const HandoverMetadata&) const = 0;
    /** \returns the status and metadata from the head of an endpoint's response */
    virtual EndpointReply decodeReply(unsigned status, const std::vector<HttpHeader>&) const = 0;
    /** \returns the response to a request that the gateway refuses or fails */
    virtual HttpResponse encodeRefusal(const Refusal&, const std::optional<RequestId>&) const = 0;
    /** \returns whether the request is a readiness check */
    virtual bool asksReadiness(const HttpRequest&) const = 0;
};

}

#endif
