#ifndef FILBERTSPOKE_PLATFORM_DOCUMENTS_H
#define FILBERTSPOKE_PLATFORM_DOCUMENTS_H

#include <filbertspoke/Core>
#include <filbertspoke/Http>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace filbertspoke {

/** \brief A route as the operator writes it. */
struct RouteText {
    std::string name;
    std::string prefix;
    std::string kind; ///< in the platform's words
    std::string service;
    unsigned attempts = 1;
    std::optional<unsigned> priority = {};

    bool operator==(const RouteText&) const = default;
};

/** \brief An endpoint's entry in the registry. */
struct EndpointText {
    std::string id;
    HttpAddress address;
    std::string domain = "zone-a";
    std::string state = "ready";
    LayerRange layers;
    std::uint64_t heartbeat = 1;
    bool engine = !this->layers.empty(); ///< otherwise a replica of the plain service
    std::int64_t startedAtMs = 1700000000000;

    bool operator==(const EndpointText&) const = default;
};

/** \brief What a gateway is told at its start. */
struct GatewayText {
    std::string name;
    std::string domain = "zone-a";
    HttpAddress callers;
    HttpAddress readiness;
    HttpAddress peers;
    HttpAddress store;
    std::vector<HttpAddress> seeds;
    unsigned retryReserve = 10;
    double retryRatio = 0.2;
    std::chrono::milliseconds stopTimeout { 8000 };
    std::optional<HttpAddress> handover; ///< where it takes requests from other gateways
    std::optional<unsigned> requestMemoryMb = std::nullopt; ///< the product's default without it

    bool operator==(const GatewayText&) const = default;
};

/** \brief A caller's request. */
struct CallText {
    std::string method;
    std::string target;
    std::string id;
    std::chrono::milliseconds limit { 4000 };
    std::string key = "key-1";
    std::string extraHeaders;
    std::string body = "body"; ///< of a POST request

    bool operator==(const CallText&) const = default;
};

/** \brief A request as a gateway passes it on. */
struct ForwardedRequest {
    std::string id;
    std::string account;
    bool keyPassedOn = false;
    bool chained = false; ///< it names a chain of engines
    int lastEvent = 0; ///< that the caller has of a stream which goes on

    bool operator==(const ForwardedRequest&) const = default;
};

/** \returns the routes of a generation, a booking and a look-up, of which each may be sent twice */
std::vector<RouteText> usualRoutes();
/** \returns the request with a body of four bytes if its method has one */
std::string callText(const CallText&);
ForwardedRequest readForwarded(const HttpRequest&);
/** \returns the header by which answers name their request */
std::string requestIdHeader();
/** \returns a configuration with the services "llm", a model of eight layers, and "app", and one account, "gold" with
 * the key "key-1" */
std::string configurationText(int version, const std::vector<RouteText>&);
std::string endpointText(const EndpointText&);
/** \returns a gateway's settings file */
std::string settingsText(const GatewayText&);
/** \returns the address and port as a settings file has them */
std::string addressText(const HttpAddress&);

}

#endif
