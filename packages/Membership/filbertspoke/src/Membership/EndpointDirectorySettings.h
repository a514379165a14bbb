#ifndef FILBERTSPOKE_ENDPOINT_DIRECTORY_SETTINGS_H
#define FILBERTSPOKE_ENDPOINT_DIRECTORY_SETTINGS_H

#include <filbertspoke/Core>

#include <chrono>

namespace filbertspoke {

/** \brief Timing bounds that an EndpointDirectory applies to its evidence. */
struct EndpointDirectorySettings {
    /** \brief Consecutive missed status answers after which an endpoint is gone. */
    unsigned missesUntilGone = 3;
    /** \brief Maximum staleness of a reading of the host list. A reading without the leaving mark contradicts a
     * signal of leaving only when it arrives later than this after the signal. */
    Duration listLag = std::chrono::seconds(30);
    /** \brief Maximum transit time of a status answer. A report that an endpoint isn't draining contradicts a
     * draining signal only when it arrives later than this after the signal. */
    Duration answerDelay = std::chrono::seconds(2);
    /** \brief Minimum time between the first contradiction and the one that clears a signal of leaving. */
    Duration confirmation = std::chrono::milliseconds(500);
    /** \brief How long a peer's observation of a silent endpoint confirms a missed answer of this daemon. */
    Duration silenceLifetime = std::chrono::seconds(5);
    /** \brief How long an endpoint is kept after the last evidence of it, when it is gone and unlisted or was never listed. */
    Duration retention = std::chrono::minutes(2);
    /** \brief Interval at which a daemon gossips a lasting signal again. */
    Duration repeatInterval = std::chrono::seconds(10);
};

}

#endif
