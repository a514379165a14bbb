#ifndef FILBERTSPOKE_ENDPOINT_EVIDENCE_H
#define FILBERTSPOKE_ENDPOINT_EVIDENCE_H

#include "../EndpointChange.h"
#include "../EndpointDirectorySettings.h"
#include "../EndpointObservation.h"
#include "LatchedSignal.h"

#include <optional>

namespace filbertspoke::internal {

/** \brief Evidence on one endpoint from all sources, and the state derived from it.
 *
 * Peers' observations are dated by their age, all other evidence by its arrival.
 */
class EndpointEvidence {
public:
    /** \name Status reports of the endpoint
     * @{ */
    void reported(bool isDraining, TimePoint, const EndpointDirectorySettings&);
    void missed(TimePoint, const EndpointDirectorySettings&);
    /** \brief The listed entry changed, so another process may answer: the endpoint is not alive until its next report. */
    void restarted();
    /** @}
     * \name The host list
     * @{ */
    void listedAsStaying(TimePoint, const EndpointDirectorySettings&);
    void listedAsLeaving(TimePoint);
    void absentFromList(TimePoint, const EndpointDirectorySettings&);
    /** @} */

    /** \returns whether the observation is new and should be gossiped further */
    bool heardFromPeer(EndpointSignal, TimePoint observed, TimePoint now, const EndpointDirectorySettings&);

    /** \returns the state derived from the evidence */
    MemberState state(const EndpointDirectorySettings&) const;
    /** \returns when the signal was last observed by any daemon */
    std::optional<TimePoint> observed(EndpointSignal) const;
    bool listed() const { return !this->absentSince; }
    /** \returns the time of the last evidence of any kind */
    TimePoint lastEvidence() const { return this->latest; }

private:
    void recordEvidence(TimePoint);

    bool heard = false;
    unsigned misses = 0;
    LatchedSignal draining;
    LatchedSignal leaving;
    std::optional<TimePoint> silentAt; ///< when a daemon last observed it as silent
    std::optional<TimePoint> absentSince;
    TimePoint latest {};
};

}

#endif
