#ifndef FILBERTSPOKE_ENGINE_CODEC_H
#define FILBERTSPOKE_ENGINE_CODEC_H

#include "CallerCodec.h"

#include <cstdint>
#include <vector>

namespace filbertspoke {

/** \brief A request that is blocked at an engine because another endpoint of its chain does not respond. */
struct StalledRequest {
    RequestId request;
    SocketAddress waitsFor; ///< address of the endpoint that does not respond

    auto operator<=>(const StalledRequest&) const = default;
};

/** \brief Status report of an engine. */
struct EngineReport {
    std::uint64_t ordersAccepted = 0; ///< number of layer orders accepted since the engine started
    bool changing = false; ///< whether a layer order is being carried out
    LayerRange layers; ///< layers that the engine holds
    std::vector<StalledRequest> stalled;

    auto operator<=>(const EngineReport&) const = default;
};

/** \brief Command to an engine to load other layers; valid only if the engine has accepted \a expectedOrders orders so far. */
struct LayerOrder {
    EndpointId endpoint;
    LayerRange layers;
    std::uint64_t expectedOrders = 0; ///< compared with EngineReport::ordersAccepted by the engine
    std::uint64_t fencingToken = 0; ///< generation of the placement lease under which the order is sent

    auto operator<=>(const LayerOrder&) const = default;
};

/** \brief Encodes status queries and layer orders for engines and decodes their reports. */
class EngineCodec {
public:
    virtual ~EngineCodec() = default;

    /** \returns the request for the engine's status report */
    virtual HttpRequest encodeReportRequest(const EndpointId&) const = 0;
    /** \returns the report, or MalformedMessage */
    virtual Result<EngineReport> decodeReport(const HttpResponse&) const = 0;
    /** \returns the request that carries the layer order */
    virtual HttpRequest encodeOrder(const LayerOrder&) const = 0;
    /** \returns what the engine says about itself in any response */
    virtual EndpointSignals decodeSignals(const HttpResponse&) const = 0;
};

}

#endif
