#ifndef FILBERTSPOKE_PEER_DIRECTORY_SETTINGS_H
#define FILBERTSPOKE_PEER_DIRECTORY_SETTINGS_H

#include <filbertspoke/Core>

#include <chrono>
#include <cstddef>

namespace filbertspoke {

/** \brief Intervals and bounds of the heartbeats between daemons. */
struct PeerDirectorySettings {
    Duration probeInterval = std::chrono::seconds(1); ///< one peer is probed in each
    Duration probeTimeout = std::chrono::milliseconds(300); ///< until others are asked to probe it
    std::size_t indirectProbes = 3; ///< peers that are asked
    /** \brief A suspect peer may refute for this many probe intervals, or for suspicionFactor times the
     * binary logarithm of the number of peers, whichever is longer. */
    double minimumSuspicionIntervals = 3;
    double suspicionFactor = 1.5;
    Duration goneProbeInterval = std::chrono::seconds(5); ///< one gone peer is probed in each
    Duration goneRetention = std::chrono::hours(24); ///< a gone peer that isn't listed is probed this long
    std::size_t wordsPerMessage = 10;
    unsigned minimumSends = 4; ///< of each word, plus sendsFactor times the logarithm of the number of peers
    double sendsFactor = 1;
    std::size_t announcementFanout = 8; ///< peers that are told at once of an urgent word
    Duration pauseThreshold = std::chrono::seconds(3); ///< a longer gap between ticks is an own pause
};

}

#endif
