#ifndef FILBERTSPOKE_ENDPOINT_DIRECTORY_SETTINGS_H
#define FILBERTSPOKE_ENDPOINT_DIRECTORY_SETTINGS_H

#include <filbertspoke/Core>

#include <chrono>

namespace filbertspoke {

/** \brief Bounds by which an EndpointDirectory weighs its evidence. */
struct EndpointDirectorySettings {
    /** \brief Missed answers in a row after which an endpoint is gone. */
    unsigned missesUntilGone = 3;
    /** \brief A reading of the host list shows what was so no longer ago than this. A list ends a sign of
     * leaving only when it shows the endpoint as staying later than this after the sign. */
    Duration listLag = std::chrono::seconds(30);
    /** \brief An endpoint's answer is on its way no longer than this. A word that an endpoint isn't
     * draining counts only when it comes this long after the last word that it is. */
    Duration answerDelay = std::chrono::seconds(2);
    /** \brief Least time between the two contradictions that end a sign of leaving. */
    Duration confirmation = std::chrono::milliseconds(500);
    /** \brief How long a peer's word on a silent endpoint supports an own missed answer. */
    Duration silenceLifetime = std::chrono::seconds(5);
    /** \brief How long signs are kept of an endpoint that nothing speaks of any more. */
    Duration retention = std::chrono::minutes(2);
    /** \brief How often a daemon repeats what the host list shows it to its peers. */
    Duration repeatInterval = std::chrono::seconds(10);
};

}

#endif
