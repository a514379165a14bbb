#ifndef FILBERTSPOKE_PEER_DIRECTORY_SETTINGS_H
#define FILBERTSPOKE_PEER_DIRECTORY_SETTINGS_H

#include <filbertspoke/Core>

#include <chrono>
#include <cstddef>

namespace filbertspoke {

/** \brief Intervals and limits of the heartbeats between daemons. */
struct PeerDirectorySettings {
    Duration probeInterval = std::chrono::seconds(1); ///< one peer is probed per interval
    Duration probeTimeout = std::chrono::milliseconds(300); ///< until other peers are asked to probe the target
    std::size_t indirectProbes = 3; ///< number of peers that are asked to probe a target that does not answer
    /** \brief A suspect peer may refute for this many probe intervals, or for suspicionFactor times the
     * binary logarithm of the number of peers, whichever is longer. */
    double minimumSuspicionIntervals = 3;
    double suspicionFactor = 1.5;
    Duration goneProbeInterval = std::chrono::seconds(5); ///< one gone peer is probed per interval
    Duration goneRetention = std::chrono::hours(24); ///< how long a gone, unlisted peer is still probed
    std::size_t updatesPerMessage = 10;
    unsigned minimumSends = 4; ///< of each update, plus sendsFactor times the binary logarithm of the number of peers
    double sendsFactor = 1;
    std::size_t announcementFanout = 8; ///< peers that get an urgent update at once
    Duration pauseThreshold = std::chrono::seconds(3); ///< a longer gap between ticks means that this process was paused
};

}

#endif
