#ifndef FILBERTSPOKE_CALLER_WIRE_H
#define FILBERTSPOKE_CALLER_WIRE_H

#include <filbertspoke/Core>
#include <filbertspoke/Gateway>
#include <filbertspoke/Http>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace filbertspoke {

/** \brief A caller's request, decoded once. */
struct CallerRequest {
    RequestId id; ///< the caller's name for this attempt of its own
    HttpRequest http; ///< as received; the headers are those to be passed on
    std::string host;
    std::optional<Duration> timeLimit; ///< how long the caller waits
    std::string accountKey; ///< empty without one
    double promptTokens = 0;
    double maximumOutputTokens = 0;
    std::optional<double> expectedOutputTokens; ///< the caller's own estimate
    std::optional<std::uint64_t> lastEventId; ///< of a stream that the caller continues

    bool operator==(const CallerRequest&) const = default;
};

/** \brief One endpoint on the way of a forwarded request. */
struct ForwardStage {
    EndpointId endpoint;
    SocketAddress address;
    LayerRange layers;

    auto operator<=>(const ForwardStage&) const = default;
};

/** \brief What a forwarded request carries beside the caller's own words. */
struct ForwardMetadata {
    Duration timeLeft {};
    std::vector<ForwardStage> stages; ///< the first one gets the request; only that one for a plain service
    std::optional<AccountId> account;
    std::optional<std::uint64_t> lastEventId;

    auto operator<=>(const ForwardMetadata&) const = default;
};

/** \brief What an endpoint's response says beside its body. */
struct EndpointReply {
    unsigned status = 0;
    std::vector<HttpHeader> headers; ///< to be passed on, without those of the connection
    std::optional<RequestId> id; ///< the request that it answers, as the endpoint echoes it
    bool sealed = false; ///< it bears the endpoint's mark of authenticity
    bool notExecuted = false; ///< the endpoint states that the request did not run there
    std::optional<SocketAddress> faultAt; ///< the endpoint of the chain that is to blame

    bool operator==(const EndpointReply&) const = default;
};

/** \brief Translates requests and responses between callers and endpoints. */
class CallerCodec {
public:
    virtual ~CallerCodec() = default;

    /** \returns the request, or MalformedRequest */
    virtual Result<CallerRequest> decodeRequest(HttpRequest) const = 0;
    /** \returns the request for the first stage */
    virtual HttpRequest encodeForward(const CallerRequest&, const ForwardMetadata&) const = 0;
    virtual EndpointReply decodeReply(unsigned status, const std::vector<HttpHeader>&) const = 0;
    /** \returns the final answer to a request that is not served */
    virtual HttpResponse encodeRefusal(const Refusal&, const std::optional<RequestId>&) const = 0;
    /** \returns whether the request asks if the daemon takes requests */
    virtual bool asksReadiness(const HttpRequest&) const = 0;
};

}

#endif
