#include "EndpointDirectory.h"

#include <algorithm>

namespace filbertspoke {

namespace {

constexpr std::size_t maximumMembers = 100'000;

bool isEndpoint(const ListedHost& host) { return std::holds_alternative<Endpoint>(host.member); }

}

EndpointDirectory::EndpointDirectory(EndpointDirectorySettings settings)
    : settings(settings)
{
}

EndpointChanges EndpointDirectory::listed(const std::vector<ListedHost>& hosts, TimePoint now)
{
    EndpointChanges changes;
    if (std::none_of(hosts.begin(), hosts.end(), isEndpoint))
        return changes;
    ++this->readings;
    for (const ListedHost& host : hosts) {
        if (const auto* endpoint = std::get_if<Endpoint>(&host.member))
            this->applyEntry(*endpoint, host.leaving, now, changes);
    }
    this->applyAbsence(now, changes);
    this->removeExpired(now, changes);
    return changes;
}

void EndpointDirectory::applyEntry(const Endpoint& endpoint, bool leaving, TimePoint now, EndpointChanges& changes)
{
    Member& member = this->members[endpoint.id()];
    member.lastReading = this->readings;
    if (member.listed != endpoint) {
        member.listed = endpoint;
        member.evidence.restarted();
        this->describe(member, endpoint, changes);
    }
    if (leaving) {
        member.evidence.listedAsLeaving(now);
        this->enqueueSignal(endpoint.id(), member, EndpointSignal::ListedLeaving, now);
    } else {
        member.evidence.listedAsStaying(now, this->settings);
    }
    this->update(endpoint.id(), member, changes);
}

void EndpointDirectory::applyAbsence(TimePoint now, EndpointChanges& changes)
{
    for (auto& [id, member] : this->members) {
        if (!member.listed || member.lastReading == this->readings)
            continue;
        member.evidence.absentFromList(now, this->settings);
        this->update(id, member, changes);
    }
}

/** Gossips a signal to peers and repeats it once per repeat interval while it lasts,
 * unless a fresh observation of it has just arrived from a peer. */
void EndpointDirectory::enqueueSignal(const EndpointId& id, Member& member, EndpointSignal signal, TimePoint now)
{
    const auto last = member.lastGossiped.find(signal);
    if (last != member.lastGossiped.end() && now < last->second + this->settings.repeatInterval)
        return;
    this->urgent = this->urgent || (last == member.lastGossiped.end() && signal != EndpointSignal::Silent);
    member.lastGossiped[signal] = now;
    this->observations.add({ id, signal });
}

void EndpointDirectory::removeExpired(TimePoint now, EndpointChanges& changes)
{
    for (auto entry = this->members.begin(); entry != this->members.end();) {
        const auto& [id, member] = *entry;
        const bool referenced = member.listed && (member.evidence.listed() || member.state != MemberState::Gone);
        if (referenced || now <= member.evidence.lastEvidence() + this->settings.retention) {
            ++entry;
            continue;
        }
        if (member.listed)
            changes.push_back(EndpointRemoved { id });
        entry = this->members.erase(entry);
    }
}

EndpointChanges EndpointDirectory::reported(const EndpointId& id, bool draining,
    const std::optional<EngineRole>& engine, TimePoint now)
{
    EndpointChanges changes;
    const auto entry = this->members.find(id);
    if (entry == this->members.end() || !entry->second.listed) {
        if (draining)
            this->heard({ { id, EndpointSignal::Draining, Duration::zero() } }, now);
        return changes;
    }
    Member& member = entry->second;
    if (engine && member.described->role() != EndpointRole(*engine)) {
        const Endpoint& listed = *member.listed;
        this->describe(member,
            Endpoint::Builder(id)
                .host(listed.host())
                .address(listed.address(), listed.port())
                .failureDomain(listed.failureDomain())
                .accelerator(listed.accelerator())
                .role(*engine)
                .checksFencing(listed.checksFencing())
                .build(),
            changes);
    }
    member.evidence.reported(draining, now, this->settings);
    if (draining)
        this->enqueueSignal(id, member, EndpointSignal::Draining, now);
    this->update(id, member, changes);
    return changes;
}

EndpointChanges EndpointDirectory::pollFailed(const EndpointId& id, TimePoint now)
{
    EndpointChanges changes;
    const auto entry = this->members.find(id);
    if (entry == this->members.end() || !entry->second.listed)
        return changes;
    Member& member = entry->second;
    member.evidence.missed(now, this->settings);
    this->update(id, member, changes);
    if (member.state == MemberState::Gone)
        this->enqueueSignal(id, member, EndpointSignal::Silent, now);
    return changes;
}

EndpointChanges EndpointDirectory::heard(const std::vector<EndpointObservation>& received, TimePoint now)
{
    EndpointChanges changes;
    for (const EndpointObservation& observation : received) {
        if (observation.age > this->settings.retention)
            continue;
        const bool known = this->members.contains(observation.endpoint);
        if (!known && this->members.size() >= maximumMembers)
            continue;
        Member& member = this->members[observation.endpoint];
        if (member.evidence.heardFromPeer(observation.signal, now - observation.age, now, this->settings))
            this->observations.add({ observation.endpoint, observation.signal });
        if (observation.age < this->settings.repeatInterval / 2)
            member.lastGossiped[observation.signal] = now;
        if (member.listed)
            this->update(observation.endpoint, member, changes);
    }
    return changes;
}

void EndpointDirectory::describe(Member& member, const Endpoint& endpoint, EndpointChanges& changes)
{
    member.described = endpoint;
    changes.push_back(EndpointDescribed { endpoint });
}

void EndpointDirectory::update(const EndpointId& id, Member& member, EndpointChanges& changes)
{
    const MemberState next = member.evidence.state(this->settings);
    if (next == member.state)
        return;
    changes.push_back(EndpointStateChanged { id, member.state, next });
    member.state = next;
}

std::optional<MemberState> EndpointDirectory::state(const EndpointId& id) const
{
    const auto entry = this->members.find(id);
    if (entry == this->members.end() || !entry->second.listed)
        return std::nullopt;
    return entry->second.state;
}

bool EndpointDirectory::takesNewWork(const EndpointId& id) const
{
    return this->state(id) == MemberState::Alive;
}

const Endpoint* EndpointDirectory::find(const EndpointId& id) const
{
    const auto entry = this->members.find(id);
    return entry != this->members.end() && entry->second.described ? &*entry->second.described : nullptr;
}

std::map<FailureDomainId, std::map<MemberState, std::size_t>> EndpointDirectory::countByFailureDomain() const
{
    std::map<FailureDomainId, std::map<MemberState, std::size_t>> counts;
    for (const auto& [id, member] : this->members) {
        if (member.described)
            ++counts[member.described->failureDomain()][member.state];
    }
    return counts;
}

std::vector<EndpointObservation> EndpointDirectory::takeObservations(std::size_t limit, unsigned maximumSends, TimePoint now)
{
    std::vector<EndpointObservation> taken;
    for (const auto& [id, signal] : this->observations.take(limit, maximumSends)) {
        const auto entry = this->members.find(id);
        if (entry == this->members.end())
            continue;
        if (const auto observed = entry->second.evidence.observed(signal))
            taken.push_back({ id, signal, std::max(now - *observed, Duration::zero()) });
    }
    return taken;
}

}
