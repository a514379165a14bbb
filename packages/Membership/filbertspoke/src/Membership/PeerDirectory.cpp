// State of each peer, derived from the host list, the peer's own status, updates of other peers, and suspicions.
// The heartbeats are in PeerDirectoryProbes.cpp.
#include "PeerDirectory.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace filbertspoke {

namespace {

/** \returns whether an update overrides the known state */
bool overrides(std::uint64_t incarnation, MemberState state, std::uint64_t knownIncarnation, MemberState knownState)
{
    if (incarnation != knownIncarnation)
        return incarnation > knownIncarnation;
    return state > knownState;
}

double binaryLogarithm(std::size_t peers) { return std::log2(static_cast<double>(peers) + 1); }

}

PeerDirectory::PeerDirectory(ListedDaemon self, std::uint64_t incarnation, PeerDirectorySettings settings)
    : self(std::move(self))
    , incarnation(incarnation)
    , settings(settings)
    , probes(settings)
{
    this->updates.add(this->self.id);
}

void PeerDirectory::listed(const std::vector<ListedHost>& hosts, TimePoint now)
{
    for (auto& [id, member] : this->members)
        member.listed = false;
    for (const ListedHost& host : hosts) {
        const auto* daemon = std::get_if<ListedDaemon>(&host.member);
        if (!daemon || daemon->id == this->self.id)
            continue;
        const auto [entry, isNew] = this->members.try_emplace(daemon->id);
        Member& member = entry->second;
        member.listed = true;
        if (isNew) {
            member.changed = now;
            this->changes.push_back({ daemon->id, std::nullopt, member.state });
        }
        const bool ownAddressKnown = member.status && member.state != MemberState::Gone;
        if (!ownAddressKnown)
            member.daemon = *daemon;
    }
}

PeerEnvelopes PeerDirectory::tick(TimePoint now, Random& random)
{
    PeerEnvelopes messages;
    this->compensatePause(now);
    this->checkProbes(now, random, messages);
    this->expireSuspicions(now);
    if (now >= this->nextProbe)
        this->probeNext(now, random, messages);
    if (now >= this->nextGoneProbe)
        this->probeGone(now, random, messages);
    return messages;
}

TimePoint PeerDirectory::nextWake() const
{
    return std::min(this->nextProbe, this->probes.nextWake().value_or(this->nextProbe));
}

/** Drops open probes and extends suspicions after a pause of this process, since it could not take the answers. */
void PeerDirectory::compensatePause(TimePoint now)
{
    const Duration gap = this->lastTick ? now - *this->lastTick : Duration::zero();
    this->lastTick = now;
    if (gap <= this->settings.pauseThreshold)
        return;
    this->probes.clear();
    for (auto& [id, member] : this->members) {
        if (member.goneAt)
            *member.goneAt += gap;
    }
}

void PeerDirectory::expireSuspicions(TimePoint now)
{
    if (!this->nextGone || now < *this->nextGone)
        return;
    this->nextGone.reset();
    for (auto& [id, member] : this->members) {
        if (!member.goneAt)
            continue;
        if (now >= *member.goneAt)
            this->setState(member, MemberState::Gone, now);
        else
            this->nextGone = std::min(this->nextGone.value_or(*member.goneAt), *member.goneAt);
    }
}

void PeerDirectory::removeExpired(TimePoint now)
{
    for (auto entry = this->members.begin(); entry != this->members.end();) {
        const Member& member = entry->second;
        const bool old = now >= member.changed + this->settings.goneRetention;
        if (member.state == MemberState::Gone && !member.listed && old) {
            this->updates.remove(entry->first);
            this->changes.push_back({ entry->first, member.state, std::nullopt });
            entry = this->members.erase(entry);
        } else {
            ++entry;
        }
    }
}

void PeerDirectory::received(const PeerStatus& status, TimePoint now)
{
    const auto entry = this->members.find(status.from);
    if (entry != this->members.end())
        this->applySenderStatus(status, entry->second.daemon, now);
}

void PeerDirectory::applySenderStatus(const PeerStatus& status, const ListedDaemon& sender, TimePoint now)
{
    if (status.from != sender.id || sender.id == this->self.id)
        return;
    const MemberState state = status.draining ? MemberState::Leaving : MemberState::Alive;
    this->applyUpdate(DaemonStateUpdate { sender, status.incarnation, state }, now);
    Member& member = this->members.at(sender.id);
    member.staleIncarnation = status.incarnation < member.incarnation;
    if (member.staleIncarnation)
        return;
    member.status = status;
    if (member.state == MemberState::Leaving)
        member.goneAt.reset();
}

void PeerDirectory::applyUpdate(const Gossip& gossip, TimePoint now)
{
    for (const DaemonStateUpdate& update : gossip.daemons)
        this->applyUpdate(update, now);
}

void PeerDirectory::applyUpdate(const DaemonStateUpdate& update, TimePoint now)
{
    if (update.daemon.id == this->self.id) {
        if (overrides(update.incarnation, update.state, this->incarnation, this->ownState))
            this->refute(update.incarnation);
        return;
    }
    const auto [entry, isNew] = this->members.try_emplace(update.daemon.id);
    Member& member = entry->second;
    if (!isNew && !overrides(update.incarnation, update.state, member.incarnation, member.state))
        return;
    if (isNew)
        this->changes.push_back({ update.daemon.id, std::nullopt, member.state });
    member.daemon = update.daemon;
    member.incarnation = update.incarnation;
    this->setState(member, update.state, now);
}

void PeerDirectory::refute(std::uint64_t heard)
{
    this->incarnation = heard + 1;
    this->updates.add(this->self.id);
}

void PeerDirectory::sendFailed(const DaemonId& id, TimePoint now)
{
    const auto entry = this->members.find(id);
    if (entry != this->members.end())
        this->suspect(entry->second, now);
}

void PeerDirectory::suspect(Member& member, TimePoint now)
{
    if (member.state == MemberState::Gone || member.goneAt)
        return;
    if (member.state == MemberState::Alive)
        this->setState(member, MemberState::Suspect, now);
    this->startSuspicion(member, now);
}

void PeerDirectory::startSuspicion(Member& member, TimePoint now)
{
    member.goneAt = now + this->suspicionTime();
    this->nextGone = std::min(this->nextGone.value_or(*member.goneAt), *member.goneAt);
}

void PeerDirectory::setState(Member& member, MemberState state, TimePoint now)
{
    const MemberState before = member.state;
    member.state = state;
    member.changed = now;
    member.goneAt.reset();
    if (state == MemberState::Suspect)
        this->startSuspicion(member, now);
    if (member.incarnation > 0)
        this->updates.add(member.daemon.id);
    if (before != state)
        this->changes.push_back({ member.daemon.id, before, state });
}

Duration PeerDirectory::suspicionTime() const
{
    const double intervals = std::max(this->settings.minimumSuspicionIntervals,
        this->settings.suspicionFactor * binaryLogarithm(this->members.size()));
    return scaled(this->settings.probeInterval, intervals);
}

unsigned PeerDirectory::transmissionsPerUpdate() const
{
    const double scaledSends = this->settings.sendsFactor * binaryLogarithm(this->members.size());
    return this->settings.minimumSends + static_cast<unsigned>(std::ceil(scaledSends));
}

std::vector<ListedDaemon> PeerDirectory::peersIn(MemberState state) const
{
    std::vector<ListedDaemon> result;
    for (const auto& [id, member] : this->members) {
        if (member.state == state)
            result.push_back(member.daemon);
    }
    return result;
}

std::size_t PeerDirectory::possiblyServingCount() const
{
    return static_cast<std::size_t>(std::count_if(this->members.begin(), this->members.end(), [](const auto& entry) {
        return entry.second.listed || entry.second.state != MemberState::Gone;
    }));
}

std::map<FailureDomainId, std::map<MemberState, std::size_t>> PeerDirectory::countByFailureDomain() const
{
    std::map<FailureDomainId, std::map<MemberState, std::size_t>> counts;
    for (const auto& [id, member] : this->members)
        ++counts[member.daemon.failureDomain][member.state];
    return counts;
}

}
