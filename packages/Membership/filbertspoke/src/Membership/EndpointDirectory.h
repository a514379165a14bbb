#ifndef FILBERTSPOKE_ENDPOINT_DIRECTORY_H
#define FILBERTSPOKE_ENDPOINT_DIRECTORY_H

#include "EndpointChange.h"
#include "EndpointDirectorySettings.h"
#include "EndpointObservation.h"
#include "ListedHost.h"
#include "internal/EndpointEvidence.h"
#include "internal/SpreadQueue.h"

#include <filbertspoke/Core>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace filbertspoke {

/** \brief Which endpoints are alive, suspect, leaving or gone, merged from three sources.
 *
 * - The platform's host list introduces endpoints and shows them as leaving. It never makes an
 *   endpoint alive, since it lags.
 * - The endpoint's own word alone makes it alive.
 * - Peers' words add signs of leaving; they take none away.
 *
 * The first sign of leaving from any source ends new work.
 * \sa docs/design/membership.md
 */
class EndpointDirectory {
public:
    explicit EndpointDirectory(EndpointDirectorySettings = {});

    /** \brief Takes one reading of the host list; entries of daemons are passed over. A list without any
     * endpoint is taken for a failure of the list once endpoints are known. */
    EndpointChanges listed(const std::vector<ListedHost>&, TimePoint);

    /** \brief Takes the endpoint's answer to a request for its status.
     * \param engine the layers that an engine says it holds; they replace those that the list shows */
    EndpointChanges reported(const EndpointId&, bool draining, const std::optional<EngineRole>& engine, TimePoint);

    /** \brief Takes note that the endpoint did not answer a request for its status. */
    EndpointChanges pollFailed(const EndpointId&, TimePoint);

    /** \brief Takes signs that other daemons saw. */
    EndpointChanges heard(const std::vector<EndpointObservation>&, TimePoint);

    /** \returns the state, or nothing for an endpoint that is not known */
    std::optional<MemberState> state(const EndpointId&) const;
    bool takesNewWork(const EndpointId&) const;
    /** \returns the endpoint as it describes itself, or null when it is not known */
    const Endpoint* find(const EndpointId&) const;
    /** \returns how many known endpoints of a failure domain are in each state */
    std::map<FailureDomainId, std::map<MemberState, std::size_t>> countByFailureDomain() const;

    /** \returns up to \a limit words for a peer, the least sent first
     * \param maximumSends after which a word is no longer sent */
    std::vector<EndpointObservation> takeObservations(std::size_t limit, unsigned maximumSends, TimePoint);
    /** \returns whether this daemon saw a new sign of leaving since the last call, which peers should
     * hear at once */
    bool takeUrgentFlag() { return std::exchange(this->urgent, false); }

private:
    struct Member {
        std::optional<Endpoint> listed; ///< empty while only peers speak of it
        std::optional<Endpoint> described; ///< with the layers that the engine itself reports
        internal::EndpointEvidence evidence;
        MemberState state = MemberState::Suspect;
        std::uint64_t lastReading = 0; ///< of the host list that named it
        std::map<EndpointSignal, TimePoint> lastSpread; ///< by this daemon or as heard from another
    };
    using Members = std::map<EndpointId, Member>;
    using WordName = std::pair<EndpointId, EndpointSignal>;

    void describe(Member&, const Endpoint&, EndpointChanges&);
    void takeEntry(const Endpoint&, bool leaving, TimePoint, EndpointChanges&);
    void takeAbsence(TimePoint, EndpointChanges&);
    void forgetOld(TimePoint, EndpointChanges&);
    void update(const EndpointId&, Member&, EndpointChanges&);
    void spread(const EndpointId&, Member&, EndpointSignal, TimePoint);

    EndpointDirectorySettings settings;
    Members members;
    internal::SpreadQueue<WordName> words;
    std::uint64_t readings = 0; ///< of the host list
    bool urgent = false;
};

}

#endif
