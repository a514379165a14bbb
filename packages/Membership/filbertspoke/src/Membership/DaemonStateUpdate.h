#ifndef FILBERTSPOKE_DAEMON_STATE_UPDATE_H
#define FILBERTSPOKE_DAEMON_STATE_UPDATE_H

#include "ListedHost.h"
#include "MemberState.h"

#include <cstdint>

namespace filbertspoke {

/** \brief One daemon's state as another daemon spreads it. */
struct DaemonStateUpdate {
    ListedDaemon daemon;
    std::uint64_t incarnation = 0; ///< of the daemon that the word is about
    MemberState state = MemberState::Alive;

    bool operator==(const DaemonStateUpdate&) const = default;
};

}

#endif
