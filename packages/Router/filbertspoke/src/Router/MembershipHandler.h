#ifndef FILBERTSPOKE_MEMBERSHIP_HANDLER_H
#define FILBERTSPOKE_MEMBERSHIP_HANDLER_H

#include "Event.h"
#include "RouterContext.h"
#include "RouterStatus.h"

#include <filbertspoke/Membership>

#include <cstddef>
#include <optional>
#include <vector>

namespace filbertspoke::internal {

/** \brief Updates the endpoint view from the host list, the endpoints' status reports and the peers' gossip.
 *
 * Endpoints that are declared gone or removed during an event are added to RouterContext::lostEndpoints.
 */
class MembershipHandler {
public:
    explicit MembershipHandler(RouterContext&);

    void handle(const HostsListed&, const Now&, Actions&);
    void handle(const EndpointReported&, const Now&, Actions&);
    void handle(const EndpointPollFailed&, const Now&, Actions&);
    void handle(const PeerMessageReceived&, const Now&, Actions&);
    void handle(const PeerSendFailed&, const Now&, Actions&);
    /** \brief Announces to peers that this daemon is leaving. */
    void handle(const StopRequested&, const Now&, Actions&);
    void handle(const Tick&, const Now&, Actions&);
    std::optional<TimePoint> nextWake() const { return this->peerDirectory.nextWake(); }

    /** \brief Sets the load that heartbeats report, together with the configuration revision in force. */
    void setRequestsInProgress(std::size_t);

    const PeerDirectory& directory() const { return this->peerDirectory; }
    std::vector<PeerView> peers() const;

private:
    void apply(const EndpointChanges&, Actions&);
    void apply(const EndpointDescribed&, Actions&);
    void apply(const EndpointStateChanged&, Actions&);
    void apply(const EndpointRemoved&, Actions&);
    void reportPeerChanges(Actions&);
    void announceUrgent(const Now&, Actions&);
    void send(PeerEnvelopes, const Now&, Actions&);
    template <typename Heartbeat>
    void receive(const Heartbeat&, const Now&, Actions&);

    RouterContext& context;
    EndpointDirectory endpointDirectory;
    PeerDirectory peerDirectory;
    std::optional<TimePoint> lastAnnouncement;
};

}

#endif
