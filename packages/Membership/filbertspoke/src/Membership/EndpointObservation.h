#ifndef FILBERTSPOKE_ENDPOINT_OBSERVATION_H
#define FILBERTSPOKE_ENDPOINT_OBSERVATION_H

#include <filbertspoke/Core>

#include <compare>

namespace filbertspoke {

/** \brief A sign that an endpoint should get no new work. */
enum class EndpointSignal {
    Draining = 1, ///< the endpoint's own word
    ListedLeaving, ///< the platform's host list shows its host as leaving
    Silent, ///< it did not answer requests for its status
};

/** \brief A sign that some daemon saw itself, as daemons pass it on. */
struct EndpointObservation {
    EndpointId endpoint;
    EndpointSignal sign = EndpointSignal::Draining;
    Duration age {}; ///< time since the observation, so that no two clocks are compared

    auto operator<=>(const EndpointObservation&) const = default;
};

}

#endif
