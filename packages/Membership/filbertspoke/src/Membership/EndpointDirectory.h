#ifndef FILBERTSPOKE_ENDPOINT_DIRECTORY_H
#define FILBERTSPOKE_ENDPOINT_DIRECTORY_H

#include "EndpointChange.h"
#include "EndpointDirectorySettings.h"
#include "EndpointObservation.h"
#include "ListedHost.h"
#include "internal/DisseminationQueue.h"
#include "internal/EndpointEvidence.h"

#include <filbertspoke/Core>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace filbertspoke {

/** \brief State of each endpoint (alive, suspect, leaving or gone), merged from three sources.
 *
 * - The platform's host list adds endpoints and marks them as leaving. It never makes an endpoint
 *   alive, because the list lags behind.
 * - Only an endpoint's own status report makes it alive.
 * - Observations of peers add signals of leaving and never clear one.
 *
 * The first signal of leaving from any source stops new work.
 * \sa docs/design/membership.md
 */
class EndpointDirectory {
public:
    explicit EndpointDirectory(EndpointDirectorySettings = {});

    /** \brief Applies one reading of the host list; entries of daemons are skipped. A list without any
     * endpoint is ignored, because it is more likely a failure of the list than the end of every endpoint. */
    EndpointChanges listed(const std::vector<ListedHost>&, TimePoint);

    /** \brief Applies an endpoint's status report. A report of an unlisted endpoint counts only when it is draining.
     * \param engine the layers that an engine reports; they replace those of the host list */
    EndpointChanges reported(const EndpointId&, bool draining, const std::optional<EngineRole>& engine, TimePoint);

    /** \brief Records that the endpoint did not answer a status request. */
    EndpointChanges pollFailed(const EndpointId&, TimePoint);

    /** \brief Applies observations of other daemons. */
    EndpointChanges heard(const std::vector<EndpointObservation>&, TimePoint);

    /** \returns the state, or nothing for an endpoint that no host list has contained */
    std::optional<MemberState> state(const EndpointId&) const;
    /** \returns whether the endpoint is alive, so that new requests may be sent to it */
    bool takesNewWork(const EndpointId&) const;
    /** \returns the endpoint with the layers that the engine itself reported, or null when no host list has contained it */
    const Endpoint* find(const EndpointId&) const;
    /** \returns the number of listed endpoints in each state, by failure domain */
    std::map<FailureDomainId, std::map<MemberState, std::size_t>> countByFailureDomain() const;

    /** \returns up to \a limit observations to gossip to a peer, the least transmitted first
     * \param maximumSends transmissions after which an observation is dropped from the queue */
    std::vector<EndpointObservation> takeObservations(std::size_t limit, unsigned maximumSends, TimePoint);
    /** \returns whether this daemon observed a new signal of leaving since the last call, which should be
     * announced to peers at once */
    bool takeUrgentFlag() { return std::exchange(this->urgent, false); }

private:
    struct Member {
        std::optional<Endpoint> listed; ///< empty while only peers have reported observations of it
        std::optional<Endpoint> described; ///< with the layers that the engine itself reports
        internal::EndpointEvidence evidence;
        MemberState state = MemberState::Suspect;
        std::uint64_t lastReading = 0; ///< number of the last host list reading that contained it
        std::map<EndpointSignal, TimePoint> lastGossiped; ///< last gossiped by this daemon or received from another
    };
    using Members = std::map<EndpointId, Member>;
    using ObservationKey = std::pair<EndpointId, EndpointSignal>;

    void describe(Member&, const Endpoint&, EndpointChanges&);
    void applyEntry(const Endpoint&, bool leaving, TimePoint, EndpointChanges&);
    void applyAbsence(TimePoint, EndpointChanges&);
    void removeExpired(TimePoint, EndpointChanges&);
    void update(const EndpointId&, Member&, EndpointChanges&);
    void enqueueSignal(const EndpointId&, Member&, EndpointSignal, TimePoint);

    EndpointDirectorySettings settings;
    Members members;
    internal::DisseminationQueue<ObservationKey> observations;
    std::uint64_t readings = 0; ///< host list readings applied
    bool urgent = false;
};

}

#endif
