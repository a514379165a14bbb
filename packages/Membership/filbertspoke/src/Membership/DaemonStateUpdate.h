#ifndef FILBERTSPOKE_DAEMON_STATE_UPDATE_H
#define FILBERTSPOKE_DAEMON_STATE_UPDATE_H

#include "ListedHost.h"
#include "MemberState.h"

#include <cstdint>

namespace filbertspoke {

/** \brief State of a daemon as gossiped by the daemons. */
struct DaemonStateUpdate {
    ListedDaemon daemon;
    std::uint64_t incarnation = 0; ///< of the described daemon
    MemberState state = MemberState::Alive;

    bool operator==(const DaemonStateUpdate&) const = default;
};

}

#endif
