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

/** \brief Keeps the endpoint view in step with the host list, the endpoints' own word and the peers'.
 *
 * Endpoints that are gone stand in RouterContext::lostEndpoints after the event that showed it.
 */
class MembershipHandler {
public:
    explicit MembershipHandler(RouterContext&);

    void handle(const HostsListed&, const Now&, Actions&);
    void handle(const EndpointReported&, const Now&, Actions&);
    void handle(const EndpointPollFailed&, const Now&, Actions&);
    void handle(const PeerMessageReceived&, const Now&, Actions&);
    void handle(const PeerSendFailed&, const Now&, Actions&);
    /** \brief Tells peers that this daemon stops. */
    void handle(const StopRequested&, const Now&, Actions&);
    void handle(const Tick&, const Now&, Actions&);
    std::optional<TimePoint> nextWake() const { return this->peerDirectory.nextWake(); }

    /** \brief Sets the number that heartbeats report, beside the configuration in force. */
    void setRequestsInProgress(std::size_t);

    const PeerDirectory& directory() const { return this->peerDirectory; }
    std::vector<PeerView> peers() const;

private:
    void take(const EndpointChanges&, Actions&);
    void take(const EndpointDescribed&, Actions&);
    void take(const EndpointStateChanged&, Actions&);
    void take(const EndpointRemoved&, Actions&);
    void reportPeers(Actions&);
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
