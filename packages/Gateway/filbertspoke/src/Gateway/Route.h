#ifndef FILBERTSPOKE_ROUTE_H
#define FILBERTSPOKE_ROUTE_H

#include "RouteKind.h"

#include <filbertspoke/Core>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace filbertspoke {

/** \brief A service that receives a share of a route's requests. */
struct WeightedService {
    ServiceId service;
    double weight = 1; ///< relative to the other services of the route

    auto operator<=>(const WeightedService&) const = default;
};

/** \brief Services for requests with a host and a path prefix, with the time limits and retry rules of these requests. */
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    RouteKind kind = RouteKind::NonIdempotent;
    Duration timeout = std::chrono::seconds(30); ///< deadline of a request
    Duration targetLatency = std::chrono::seconds(1); ///< until the response; for streams until the first event
    Duration targetGap = std::chrono::milliseconds(200); ///< between two events of a stream
    std::uint32_t attempts = 1; ///< maximum number of endpoints on which one request may run
    std::vector<WeightedService> services;
    bool keyExempt = false; ///< whether requests need no API key
    bool resumable = false; ///< whether a broken stream may be resumed by running it again
    std::optional<std::uint32_t> priority; ///< rank of its requests, 0 is the most urgent; nothing when the configuration names none

    auto operator<=>(const Route&) const = default;
};

}

#endif
