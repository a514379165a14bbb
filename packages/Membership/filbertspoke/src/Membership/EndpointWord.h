#ifndef FILBERTSPOKE_ENDPOINT_WORD_H
#define FILBERTSPOKE_ENDPOINT_WORD_H

#include <filbertspoke/Core>

#include <compare>

namespace filbertspoke {

/** \brief A sign that an endpoint should get no new work. */
enum class EndpointSign {
    Draining = 1, ///< the endpoint's own word
    ListedLeaving, ///< the platform's host list shows its host as leaving
    Silent, ///< it did not answer requests for its status
};

/** \brief A sign that some daemon saw itself, as daemons pass it on. */
struct EndpointWord {
    EndpointId endpoint;
    EndpointSign sign = EndpointSign::Draining;
    Duration age {}; ///< time since the observation, so that no two clocks are compared

    auto operator<=>(const EndpointWord&) const = default;
};

}

#endif
