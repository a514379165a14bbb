#ifndef FILBERTSPOKE_DAEMON_WORD_H
#define FILBERTSPOKE_DAEMON_WORD_H

#include "ListedHost.h"

#include <cstdint>
#include <string_view>

namespace filbertspoke {

/** \brief What is held of a peer daemon. Within one incarnation a later state overrides an earlier one. */
enum class DaemonState {
    Alive = 1,
    Suspect, ///< did not answer a probe; gone unless it refutes in time
    Leaving, ///< said that it stops; takes no new work from peers
    Gone,
};

/** \returns "alive", "suspect", "leaving" or "gone" */
constexpr std::string_view name(DaemonState state)
{
    switch (state) {
    case DaemonState::Alive:
        return "alive";
    case DaemonState::Suspect:
        return "suspect";
    case DaemonState::Leaving:
        return "leaving";
    case DaemonState::Gone:
        return "gone";
    }
    return "gone";
}

/** \brief One daemon's state as another daemon spreads it. */
struct DaemonWord {
    ListedDaemon daemon;
    std::uint64_t incarnation = 0; ///< of the daemon that the word is about
    DaemonState state = DaemonState::Alive;

    bool operator==(const DaemonWord&) const = default;
};

}

#endif
