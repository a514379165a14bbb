#ifndef FILBERTSPOKE_ENDPOINT_CHANGE_H
#define FILBERTSPOKE_ENDPOINT_CHANGE_H

#include "MemberState.h"

#include <filbertspoke/Core>

#include <variant>
#include <vector>

namespace filbertspoke {

/** \brief An endpoint was added, or its description changed. */
struct EndpointDescribed {
    Endpoint endpoint;

    bool operator==(const EndpointDescribed&) const = default;
};

/** \brief An endpoint's state changed. */
struct EndpointStateChanged {
    EndpointId endpoint;
    MemberState from = MemberState::Suspect;
    MemberState to = MemberState::Suspect;

    bool operator==(const EndpointStateChanged&) const = default;
};

/** \brief An endpoint was removed: it is unlisted and gone, and the retention time has passed. */
struct EndpointRemoved {
    EndpointId endpoint;

    bool operator==(const EndpointRemoved&) const = default;
};

using EndpointChange = std::variant<EndpointDescribed, EndpointStateChanged, EndpointRemoved>;

using EndpointChanges = std::vector<EndpointChange>;

}

#endif
