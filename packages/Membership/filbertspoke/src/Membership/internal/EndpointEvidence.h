#ifndef FILBERTSPOKE_ENDPOINT_EVIDENCE_H
#define FILBERTSPOKE_ENDPOINT_EVIDENCE_H

#include "../EndpointChange.h"
#include "../EndpointDirectorySettings.h"
#include "../EndpointObservation.h"
#include "HeldSign.h"

#include <optional>

namespace filbertspoke::internal {

/** \brief Everything that was learnt of one endpoint, and the state that follows from it.
 *
 * Times are those of the observation, not of its arrival, as far as that is known.
 */
class EndpointEvidence {
public:
    /** \name The endpoint's own word
     * @{ */
    void reported(bool isDraining, TimePoint, const EndpointDirectorySettings&);
    void missed(TimePoint, const EndpointDirectorySettings&);
    /** \brief Another process may answer now: its word is waited for. */
    void restarted();
    /** @}
     * \name The host list
     * @{ */
    void listedAsStaying(TimePoint, const EndpointDirectorySettings&);
    void listedAsLeaving(TimePoint);
    void absentFromList(TimePoint, const EndpointDirectorySettings&);
    /** @} */

    /** \returns whether the word was news that is worth passing on */
    bool heardFromPeer(EndpointSignal, TimePoint observed, TimePoint now, const EndpointDirectorySettings&);

    MemberState state(const EndpointDirectorySettings&) const;
    /** \returns when the sign was last observed by any daemon */
    std::optional<TimePoint> observed(EndpointSignal) const;
    bool listed() const { return !this->absentSince; }
    /** \returns the time of the last evidence of any kind */
    TimePoint lastEvidence() const { return this->latest; }

private:
    void note(TimePoint);

    bool heard = false;
    unsigned misses = 0;
    HeldSign draining;
    HeldSign leaving;
    std::optional<TimePoint> silentAt; ///< when a daemon last found it silent
    std::optional<TimePoint> absentSince;
    TimePoint latest {};
};

}

#endif
