#ifndef FILBERTSPOKE_ENGINE_WIRE_H
#define FILBERTSPOKE_ENGINE_WIRE_H

#include "CallerCodec.h"

#include <cstdint>
#include <vector>

namespace filbertspoke {

/** \brief A request that waits at an engine for an endpoint of its chain. */
struct StalledRequest {
    RequestId request;
    SocketAddress waitsFor;

    auto operator<=>(const StalledRequest&) const = default;
};

/** \brief An engine's report of its own state. */
struct EngineReport {
    std::uint64_t ordersAccepted = 0; ///< since its start
    bool changing = false; ///< an order is in progress
    LayerRange layers;
    std::vector<StalledRequest> stalled;

    auto operator<=>(const EngineReport&) const = default;
};

/** \brief Orders an engine to hold other layers, if it has accepted as many orders as expected. */
struct LayerOrder {
    EndpointId endpoint;
    LayerRange layers;
    std::uint64_t expectedOrders = 0;
    std::uint64_t fencingToken = 0;

    auto operator<=>(const LayerOrder&) const = default;
};

/** \brief Translates what a daemon asks engines and orders them to do. */
class EngineCodec {
public:
    virtual ~EngineCodec() = default;

    virtual HttpRequest encodeReportRequest(const EndpointId&) const = 0;
    /** \returns the report, or MalformedMessage */
    virtual Result<EngineReport> decodeReport(const HttpResponse&) const = 0;
    virtual HttpRequest encodeOrder(const LayerOrder&) const = 0;
};

}

#endif
