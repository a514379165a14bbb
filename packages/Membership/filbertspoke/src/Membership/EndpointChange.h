#ifndef FILBERTSPOKE_ENDPOINT_CHANGE_H
#define FILBERTSPOKE_ENDPOINT_CHANGE_H

#include <filbertspoke/Core>

#include <string_view>
#include <variant>
#include <vector>

namespace filbertspoke {

/** \brief What is held of an endpoint. Only an alive endpoint takes new work. */
enum class EndpointState {
    Alive,
    Suspect, ///< not heard yet, or it missed an answer
    Leaving, ///< some sign says that it goes; what runs there may finish
    Gone, ///< it missed several answers, or one that a peer missed as well
};

/** \returns "alive", "suspect", "leaving" or "gone" */
constexpr std::string_view name(EndpointState state)
{
    switch (state) {
    case EndpointState::Alive:
        return "alive";
    case EndpointState::Suspect:
        return "suspect";
    case EndpointState::Leaving:
        return "leaving";
    case EndpointState::Gone:
        return "gone";
    }
    return "gone";
}

/** \brief An endpoint is new, or its description changed. */
struct EndpointDescribed {
    Endpoint endpoint;

    bool operator==(const EndpointDescribed&) const = default;
};

/** \brief An endpoint's state changed. */
struct EndpointStateChanged {
    EndpointId endpoint;
    EndpointState from = EndpointState::Suspect;
    EndpointState to = EndpointState::Suspect;

    bool operator==(const EndpointStateChanged&) const = default;
};

/** \brief An endpoint is gone for good: neither the host list nor the endpoint speaks of it. */
struct EndpointForgotten {
    EndpointId endpoint;

    bool operator==(const EndpointForgotten&) const = default;
};

using EndpointChange = std::variant<EndpointDescribed, EndpointStateChanged, EndpointForgotten>;

using EndpointChanges = std::vector<EndpointChange>;

}

#endif
