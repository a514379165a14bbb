#include "PeerDirectory.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace filbertspoke {

namespace {

/** \returns whether a word is newer than what is held */
bool overrides(std::uint64_t incarnation, MemberState state, std::uint64_t heldIncarnation, MemberState heldState)
{
    if (incarnation != heldIncarnation)
        return incarnation > heldIncarnation;
    return state > heldState;
}

double logarithm(std::size_t peers) { return std::log2(static_cast<double>(peers) + 1); }

}

PeerDirectory::PeerDirectory(ListedDaemon self, std::uint64_t incarnation, PeerDirectorySettings settings)
    : self(std::move(self))
    , incarnation(incarnation)
    , settings(settings)
    , probes(settings)
{
    this->words.add(this->self.id);
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
    this->allowForPause(now);
    this->checkProbes(now, random, messages);
    this->endSuspicions(now);
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

/** After a pause of this process nothing follows from answers that it did not take. */
void PeerDirectory::allowForPause(TimePoint now)
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

void PeerDirectory::checkProbes(TimePoint now, Random& random, PeerEnvelopes& messages)
{
    const std::vector<internal::OpenProbe> failed = this->probes.takeFailed(now);
    for (const internal::OpenProbe& probe : this->probes.takeSlow(now))
        this->askOthers(probe, random, messages);
    for (const internal::OpenProbe& probe : failed)
        this->takeFailure(probe.target, now, messages);
}

/** Probes a suspect peer again until it is gone: it can refute only what it hears. */
void PeerDirectory::takeFailure(const DaemonId& target, TimePoint now, PeerEnvelopes& messages)
{
    const auto entry = this->members.find(target);
    if (entry == this->members.end() || entry->second.state == MemberState::Gone)
        return;
    this->suspect(entry->second, now);
    this->probe(entry->second, false, now, messages);
}

void PeerDirectory::askOthers(const internal::OpenProbe& probe, Random& random, PeerEnvelopes& messages)
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

void PeerDirectory::endSuspicions(TimePoint now)
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

void PeerDirectory::forgetOld(TimePoint now)
{
    for (auto entry = this->members.begin(); entry != this->members.end();) {
        const Member& member = entry->second;
        const bool old = now >= member.changed + this->settings.goneRetention;
        if (member.state == MemberState::Gone && !member.listed && old) {
            this->words.remove(entry->first);
            this->changes.push_back({ entry->first, member.state, std::nullopt });
            entry = this->members.erase(entry);
        } else {
            ++entry;
        }
    }
}

/** A random order for each round finds every dead peer within a round, and spreads the probes. */
void PeerDirectory::probeNext(TimePoint now, Random& random, PeerEnvelopes& messages)
{
    this->nextProbe = now + this->settings.probeInterval;
    if (this->probeOrder.empty()) {
        this->forgetOld(now);
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

/** A gone peer may be back, or a partition healed, before the host list or another peer tells. */
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
    // Only the peer itself can refute that it is suspect or gone, or learn that its clock went back.
    const auto receiver = this->members.find(to);
    if (receiver != this->members.end() && receiver->second.incarnation > 0
        && (receiver->second.state != MemberState::Alive || receiver->second.behind))
        gossip.daemons.push_back({ receiver->second.daemon, receiver->second.incarnation, receiver->second.state });
    for (const DaemonId& id : this->words.take(this->settings.wordsPerMessage, this->sendsPerWord())) {
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
    this->hearSender(message.status, message.self, now);
    this->hear(message.gossip, now);
    const PeerProbeAnswer answer { this->ownStatus(), this->self.id, message.sequence,
        this->gossipFor(message.status.from) };
    return { { message.self, answer } };
}

PeerEnvelopes PeerDirectory::received(const PeerProbeRequest& message, TimePoint now, Random&)
{
    this->hearSender(message.status, message.self, now);
    this->hear(message.gossip, now);
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
    this->hear(message.gossip, now);
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

void PeerDirectory::received(const PeerStatus& status, TimePoint now)
{
    const auto entry = this->members.find(status.from);
    if (entry != this->members.end())
        this->hearSender(status, entry->second.daemon, now);
}

void PeerDirectory::hearSender(const PeerStatus& status, const ListedDaemon& sender, TimePoint now)
{
    if (status.from != sender.id || sender.id == this->self.id)
        return;
    const MemberState state = status.draining ? MemberState::Leaving : MemberState::Alive;
    this->hear(DaemonWord { sender, status.incarnation, state }, now);
    Member& member = this->members.at(sender.id);
    member.behind = status.incarnation < member.incarnation;
    if (member.behind)
        return;
    member.status = status;
    if (member.state == MemberState::Leaving)
        member.goneAt.reset();
}

void PeerDirectory::hear(const Gossip& gossip, TimePoint now)
{
    for (const DaemonWord& word : gossip.daemons)
        this->hear(word, now);
}

void PeerDirectory::hear(const DaemonWord& word, TimePoint now)
{
    if (word.daemon.id == this->self.id) {
        if (overrides(word.incarnation, word.state, this->incarnation, this->ownState))
            this->refute(word.incarnation);
        return;
    }
    const auto [entry, isNew] = this->members.try_emplace(word.daemon.id);
    Member& member = entry->second;
    if (!isNew && !overrides(word.incarnation, word.state, member.incarnation, member.state))
        return;
    if (isNew)
        this->changes.push_back({ word.daemon.id, std::nullopt, member.state });
    member.daemon = word.daemon;
    member.incarnation = word.incarnation;
    this->setState(member, word.state, now);
}

void PeerDirectory::refute(std::uint64_t heard)
{
    this->incarnation = heard + 1;
    this->words.add(this->self.id);
}

void PeerDirectory::unreached(const DaemonId& id, TimePoint now)
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
        this->words.add(member.daemon.id);
    if (before != state)
        this->changes.push_back({ member.daemon.id, before, state });
}

Duration PeerDirectory::suspicionTime() const
{
    const double intervals = std::max(this->settings.minimumSuspicionIntervals,
        this->settings.suspicionFactor * logarithm(this->members.size()));
    return Duration(static_cast<Duration::rep>(intervals * static_cast<double>(this->settings.probeInterval.count())));
}

unsigned PeerDirectory::sendsPerWord() const
{
    const double growing = this->settings.sendsFactor * logarithm(this->members.size());
    return this->settings.minimumSends + static_cast<unsigned>(std::ceil(growing));
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

std::size_t PeerDirectory::mayBeServing() const
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
