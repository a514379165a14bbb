// Heartbeats: which peer is probed, which updates each message carries, and how probes of peers are answered. The resulting
// state of a peer is in PeerDirectory.cpp.
#include "PeerDirectory.h"

#include <algorithm>
#include <utility>

namespace filbertspoke {

void PeerDirectory::checkProbes(TimePoint now, Random& random, PeerEnvelopes& messages)
{
    const std::vector<internal::OpenProbe> failed = this->probes.takeFailed(now);
    for (const internal::OpenProbe& probe : this->probes.takeSlow(now))
        this->requestIndirectProbes(probe, random, messages);
    for (const internal::OpenProbe& probe : failed)
        this->handleProbeFailure(probe.target, now, messages);
}

/** Probes a suspect peer again until it is gone, because it can refute a suspicion only after a message has reported it. */
void PeerDirectory::handleProbeFailure(const DaemonId& target, TimePoint now, PeerEnvelopes& messages)
{
    const auto entry = this->members.find(target);
    if (entry == this->members.end() || entry->second.state == MemberState::Gone)
        return;
    this->suspect(entry->second, now);
    this->probe(entry->second, false, now, messages);
}

void PeerDirectory::requestIndirectProbes(const internal::OpenProbe& probe, Random& random, PeerEnvelopes& messages)
{
    const auto entry = this->members.find(probe.target);
    if (entry == this->members.end())
        return;
    const ListedDaemon target = entry->second.daemon;
    for (const ListedDaemon& peer : this->sample(this->settings.indirectProbes, probe.target, random)) {
        messages.push_back({ peer,
            PeerProbeRequest { this->ownStatus(), this->self, probe.sequence, target, this->gossipFor(peer.id) } });
    }
}

/** A new random order per round detects every dead peer within one round and distributes the probes evenly. */
void PeerDirectory::probeNext(TimePoint now, Random& random, PeerEnvelopes& messages)
{
    this->nextProbe = now + this->settings.probeInterval;
    if (this->probeOrder.empty()) {
        this->removeExpired(now);
        for (const auto& [id, member] : this->members) {
            if (member.state != MemberState::Gone)
                this->probeOrder.push_back(id);
        }
        std::shuffle(this->probeOrder.begin(), this->probeOrder.end(), random);
    }
    while (!this->probeOrder.empty()) {
        const DaemonId next = std::move(this->probeOrder.back());
        this->probeOrder.pop_back();
        const auto entry = this->members.find(next);
        if (entry != this->members.end() && entry->second.state != MemberState::Gone)
            return this->probe(entry->second, true, now, messages);
    }
}

/** Probes a gone peer, which detects its return or a healed partition before the host list or another peer reports it. */
void PeerDirectory::probeGone(TimePoint now, Random& random, PeerEnvelopes& messages)
{
    this->nextGoneProbe = now + this->settings.goneProbeInterval;
    if (this->goneOrder.empty()) {
        for (const auto& [id, member] : this->members) {
            if (member.state == MemberState::Gone)
                this->goneOrder.push_back(id);
        }
        std::shuffle(this->goneOrder.begin(), this->goneOrder.end(), random);
    }
    if (this->goneOrder.empty())
        return;
    const auto entry = this->members.find(this->goneOrder.back());
    this->goneOrder.pop_back();
    if (entry != this->members.end() && entry->second.state == MemberState::Gone)
        this->probe(entry->second, false, now, messages);
}

void PeerDirectory::probe(const Member& member, bool askOthers, TimePoint now, PeerEnvelopes& messages)
{
    const std::uint64_t sequence = this->probes.open(member.daemon.id, askOthers, now);
    messages.push_back({ member.daemon, this->makeProbe(member.daemon.id, sequence) });
}

PeerProbe PeerDirectory::makeProbe(const DaemonId& to, std::uint64_t sequence)
{
    return { this->ownStatus(), this->self, sequence, this->gossipFor(to) };
}

PeerEnvelopes PeerDirectory::announce(TimePoint now, Random& random)
{
    PeerEnvelopes messages;
    for (const ListedDaemon& peer : this->sample(this->settings.announcementFanout, this->self.id, random))
        this->probe(this->members.at(peer.id), true, now, messages);
    return messages;
}

Gossip PeerDirectory::gossipFor(const DaemonId& to)
{
    Gossip gossip;
    // Only the peer itself can refute that it is suspect or gone, or raise an incarnation that a clock set back made too low.
    const auto receiver = this->members.find(to);
    if (receiver != this->members.end() && receiver->second.incarnation > 0
        && (receiver->second.state != MemberState::Alive || receiver->second.staleIncarnation))
        gossip.daemons.push_back({ receiver->second.daemon, receiver->second.incarnation, receiver->second.state });
    for (const DaemonId& id : this->updates.take(this->settings.updatesPerMessage, this->transmissionsPerUpdate())) {
        const auto entry = this->members.find(id);
        if (id == this->self.id)
            gossip.daemons.push_back({ this->self, this->incarnation, this->ownState });
        else if (id != to && entry != this->members.end())
            gossip.daemons.push_back({ entry->second.daemon, entry->second.incarnation, entry->second.state });
    }
    return gossip;
}

std::vector<ListedDaemon> PeerDirectory::sample(std::size_t count, const DaemonId& except, Random& random) const
{
    std::vector<const Member*> candidates;
    candidates.reserve(this->members.size());
    for (const auto& [id, member] : this->members) {
        const bool answers = member.state == MemberState::Alive || member.state == MemberState::Leaving;
        if (answers && id != except)
            candidates.push_back(&member);
    }
    std::vector<const Member*> chosen;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(chosen), count, random);
    std::vector<ListedDaemon> result;
    result.reserve(chosen.size());
    for (const Member* member : chosen)
        result.push_back(member->daemon);
    return result;
}

PeerEnvelopes PeerDirectory::received(const PeerProbe& message, TimePoint now, Random&)
{
    this->applySenderStatus(message.status, message.self, now);
    this->applyUpdate(message.gossip, now);
    const PeerProbeAnswer answer { this->ownStatus(), this->self.id, message.sequence,
        this->gossipFor(message.status.from) };
    return { { message.self, answer } };
}

PeerEnvelopes PeerDirectory::received(const PeerProbeRequest& message, TimePoint now, Random&)
{
    this->applySenderStatus(message.status, message.self, now);
    this->applyUpdate(message.gossip, now);
    if (message.target.id == this->self.id)
        return {};
    const std::optional<std::uint64_t> sequence = this->probes.openRelay(message.self, message.sequence, now);
    if (!sequence)
        return {};
    return { { message.target, this->makeProbe(message.target.id, *sequence) } };
}

PeerEnvelopes PeerDirectory::received(const PeerProbeAnswer& message, TimePoint now, Random&)
{
    this->received(message.status, now);
    this->applyUpdate(message.gossip, now);
    this->probes.answered(message.subject, message.sequence);
    if (message.subject != message.status.from)
        return {};
    const std::optional<internal::Relay> relay = this->probes.takeRelay(message.sequence);
    if (!relay)
        return {};
    const PeerProbeAnswer answer { this->ownStatus(), message.subject, relay->requested,
        this->gossipFor(relay->requester.id) };
    return { { relay->requester, answer } };
}

}
