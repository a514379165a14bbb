#include "MembershipHandler.h"

#include <chrono>
#include <string>
#include <utility>

namespace filbertspoke::internal {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t endpointUpdatesPerMessage = 8;
constexpr Duration announcementInterval = 500ms; // limits the messages sent when many endpoints change state at once

ListedDaemon ownEntry(const DaemonIdentity& identity)
{
    return { identity.id, identity.failureDomain, identity.peerAddress, identity.peerPort };
}

void setEndpointUpdates(PeerMessage& message, std::vector<EndpointObservation> words)
{
    std::visit(Overloaded {
                   [&](PeerProbe& probe) { probe.gossip.endpoints = std::move(words); },
                   [&](PeerProbeRequest& request) { request.gossip.endpoints = std::move(words); },
                   [&](PeerProbeAnswer& answer) { answer.gossip.endpoints = std::move(words); },
                   [](auto&) {} },
        message);
}

}

MembershipHandler::MembershipHandler(RouterContext& context)
    : context(context)
    , peerDirectory(ownEntry(context.identity), context.identity.incarnation)
{
}

void MembershipHandler::handle(const HostsListed& event, const Now& now, Actions& actions)
{
    this->peerDirectory.listed(event.hosts, now.monotonic());
    this->apply(this->endpointDirectory.listed(event.hosts, now.monotonic()), actions);
    this->reportPeerChanges(actions);
    this->announceUrgent(now, actions);
}

void MembershipHandler::handle(const EndpointReported& event, const Now& now, Actions& actions)
{
    this->apply(this->endpointDirectory.reported(event.endpoint, event.load.draining, event.engine, now.monotonic()), actions);
    this->context.endpoints.report(event.endpoint, event.load, now.monotonic());
    this->announceUrgent(now, actions);
}

void MembershipHandler::handle(const EndpointPollFailed& event, const Now& now, Actions& actions)
{
    this->apply(this->endpointDirectory.pollFailed(event.endpoint, now.monotonic()), actions);
}

void MembershipHandler::handle(const PeerMessageReceived& event, const Now& now, Actions& actions)
{
    std::visit(Overloaded {
                   [&](const PeerStatus& status) { this->peerDirectory.received(status, now.monotonic()); },
                   [&](const PeerProbe& probe) { this->receive(probe, now, actions); },
                   [&](const PeerProbeRequest& request) { this->receive(request, now, actions); },
                   [&](const PeerProbeAnswer& answer) { this->receive(answer, now, actions); },
                   [](const auto&) {} },
        event.message);
    this->reportPeerChanges(actions);
}

template <typename Heartbeat>
void MembershipHandler::receive(const Heartbeat& heartbeat, const Now& now, Actions& actions)
{
    this->apply(this->endpointDirectory.heard(heartbeat.gossip.endpoints, now.monotonic()), actions);
    this->send(this->peerDirectory.received(heartbeat, now.monotonic(), this->context.random), now, actions);
}

void MembershipHandler::handle(const PeerSendFailed& event, const Now& now, Actions& actions)
{
    this->peerDirectory.sendFailed(event.peer, now.monotonic());
    this->reportPeerChanges(actions);
}

void MembershipHandler::handle(const StopRequested&, const Now& now, Actions& actions)
{
    this->peerDirectory.startLeaving();
    this->send(this->peerDirectory.announce(now.monotonic(), this->context.random), now, actions);
}

void MembershipHandler::handle(const Tick&, const Now& now, Actions& actions)
{
    this->send(this->peerDirectory.tick(now.monotonic(), this->context.random), now, actions);
    this->reportPeerChanges(actions);
    this->announceUrgent(now, actions);
}

/** Sends changes that this daemon observed itself to a few peers at once, since peers may observe them later. */
void MembershipHandler::announceUrgent(const Now& now, Actions& actions)
{
    if (this->lastAnnouncement && now.monotonic() < *this->lastAnnouncement + announcementInterval)
        return;
    if (!this->endpointDirectory.takeUrgentFlag())
        return;
    this->lastAnnouncement = now.monotonic();
    this->send(this->peerDirectory.announce(now.monotonic(), this->context.random), now, actions);
}

void MembershipHandler::send(PeerEnvelopes envelopes, const Now& now, Actions& actions)
{
    for (PeerEnvelope& envelope : envelopes) {
        setEndpointUpdates(envelope.message,
            this->endpointDirectory.takeObservations(endpointUpdatesPerMessage, this->peerDirectory.transmissionsPerUpdate(), now.monotonic()));
        actions.push_back(SendToPeer { std::move(envelope.peer), std::move(envelope.message) });
    }
}

void MembershipHandler::setRequestsInProgress(std::size_t count)
{
    const LogOffset revision = this->context.configuration ? this->context.configuration->revision : 0;
    this->peerDirectory.setLoad(revision, static_cast<std::uint32_t>(count));
}

void MembershipHandler::apply(const EndpointChanges& changes, Actions& actions)
{
    for (const EndpointChange& change : changes)
        std::visit([&](const auto& alternative) { this->apply(alternative, actions); }, change);
}

void MembershipHandler::apply(const EndpointDescribed& change, Actions& actions)
{
    const EndpointId& id = change.endpoint.id();
    actions.push_back(WatchEndpoint { change.endpoint });
    this->context.endpoints.put(change.endpoint);
    this->context.endpoints.setTakesNewWork(id, this->endpointDirectory.takesNewWork(id));
}

void MembershipHandler::apply(const EndpointStateChanged& change, Actions& actions)
{
    this->context.endpoints.setTakesNewWork(change.endpoint, change.to == MemberState::Alive);
    if (change.to == MemberState::Gone)
        this->context.lostEndpoints.push_back(change.endpoint);
    actions.push_back(count("endpoint_state_changes_total", std::string(name(change.to))));
    const bool expected = change.to == MemberState::Alive || change.to == MemberState::Suspect;
    actions.push_back(WriteLog { expected ? WriteLog::Level::Info : WriteLog::Level::Warning, "endpoint-state",
        { { "endpoint", change.endpoint.str() }, { "from", std::string(name(change.from)) }, { "to", std::string(name(change.to)) } } });
}

void MembershipHandler::apply(const EndpointRemoved& change, Actions& actions)
{
    this->context.lostEndpoints.push_back(change.endpoint);
    this->context.endpoints.remove(change.endpoint);
    actions.push_back(UnwatchEndpoint { change.endpoint });
}

void MembershipHandler::reportPeerChanges(Actions& actions)
{
    for (const PeerStateChanged& change : this->peerDirectory.takeChanges()) {
        const std::string state(change.to ? name(*change.to) : "forgotten");
        actions.push_back(count("peer_state_changes_total", state));
        actions.push_back(WriteLog { WriteLog::Level::Info, "peer-state", { { "peer", change.peer.str() }, { "to", state } } });
    }
}

std::vector<PeerView> MembershipHandler::peers() const
{
    std::vector<PeerView> result;
    for (const MemberState state : { MemberState::Alive, MemberState::Suspect, MemberState::Leaving, MemberState::Gone }) {
        for (const ListedDaemon& peer : this->peerDirectory.peersIn(state))
            result.push_back({ peer.id, std::string(name(state)) });
    }
    return result;
}

}
