#ifndef FILBERTSPOKE_ENDPOINT_OBSERVATION_H
#define FILBERTSPOKE_ENDPOINT_OBSERVATION_H

#include <filbertspoke/Core>

#include <compare>

namespace filbertspoke {

/** \brief A signal that an endpoint should get no new work. */
enum class EndpointSignal {
    Draining = 1, ///< the endpoint reports that it drains
    ListedLeaving, ///< the platform's host list marks its host as leaving, or has lacked it for longer than its lag
    Silent, ///< it did not answer status requests
};

/** \brief A signal that a daemon observed, as gossiped between daemons. */
struct EndpointObservation {
    EndpointId endpoint;
    EndpointSignal signal = EndpointSignal::Draining;
    Duration age {}; ///< time since the observation; an age needs no synchronised clocks

    auto operator<=>(const EndpointObservation&) const = default;
};

}

#endif
