#ifndef FILBERTSPOKE_ENDPOINT_SIGNALS_H
#define FILBERTSPOKE_ENDPOINT_SIGNALS_H

#include <filbertspoke/Core>

#include <compare>
#include <optional>

namespace filbertspoke {

/** \brief What an endpoint says about itself in an answer, besides the answer. */
struct EndpointSignals {
    bool leaving = false; ///< it is shutting down and must get no new requests
    std::optional<Duration> pushback; ///< it refused the request and wants no further ones from this daemon for this time
    std::optional<double> requestsPerSecond; ///< rate of requests that it accepts from all daemons together; nothing if it names none

    auto operator<=>(const EndpointSignals&) const = default;
};

}

#endif
