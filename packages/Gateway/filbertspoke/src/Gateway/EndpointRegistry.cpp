#include <filbertspoke/Gateway>

#include <algorithm>
#include <set>

namespace filbertspoke {

namespace {

// Endpoints that outlived an outage of the registry write their entry anew within two seconds.
constexpr Duration lapseGrace = std::chrono::milliseconds(2000);
// The first time for which a faulty endpoint is left alone; doubles with each fault in a row.
constexpr Duration firstAvoidance = std::chrono::milliseconds(800);
constexpr Duration longestAvoidance = std::chrono::seconds(4);
// Weight of the newest exchange in the smoothed fault rate: some ten exchanges count.
constexpr double faultSmoothing = 0.1;
// A rate of faults above which an endpoint that answers in between is left alone as well.
constexpr double tolerableFaultRate = 0.25;
// A failure domain counts as cut off when so many of its endpoints were unreachable lately and none answered since.
constexpr std::size_t unreachableForDomain = 3;
constexpr Duration domainMemory = std::chrono::seconds(4);

EndpointRecord newRecord(const RegisteredEndpoint& endpoint)
{
    EndpointRecord record;
    record.endpoint = endpoint;
    return record;
}

}

bool EndpointRegistry::update(const RegisteredEndpoint& endpoint)
{
    auto [entry, added] = this->byId.try_emplace(endpoint.id, newRecord(endpoint));
    EndpointRecord& record = entry->second;
    if (added) {
        ++this->changes;
        this->removeOthersAt(endpoint.address, record);
        return this->byId.contains(endpoint.id);
    }
    if (endpoint.startedAtMs < record.endpoint.startedAtMs)
        return false;
    const bool restarted = endpoint.startedAtMs > record.endpoint.startedAtMs;
    if (!restarted && endpoint.heartbeat < record.endpoint.heartbeat)
        return false;
    if (restarted) {
        ++this->changes;
        record = newRecord(endpoint);
        return true;
    }
    RegisteredEndpoint merged = endpoint;
    // An endpoint that announced its leaving doesn't take it back within one run.
    merged.draining = endpoint.draining || record.endpoint.draining;
    RegisteredEndpoint before = record.endpoint;
    before.heartbeat = merged.heartbeat;
    const bool changed = before != merged || record.removedAt;
    this->changes += changed ? 1 : 0;
    record.endpoint = merged;
    record.removedAt.reset();
    return changed;
}

void EndpointRegistry::removeOthersAt(const SocketAddress& address, const EndpointRecord& newest)
{
    // An address belongs to the endpoint that started last; the entry of the one before it has yet to expire.
    const RegisteredEndpoint latest = newest.endpoint;
    bool superseded = false;
    std::erase_if(this->byId, [&](const auto& entry) {
        const RegisteredEndpoint& other = entry.second.endpoint;
        if (other.address != address || other.id == latest.id)
            return false;
        superseded = superseded || other.startedAtMs > latest.startedAtMs;
        return other.startedAtMs <= latest.startedAtMs;
    });
    if (superseded)
        this->byId.erase(latest.id);
}

bool EndpointRegistry::remove(const EndpointId& id, TimePoint now)
{
    const auto entry = this->byId.find(id);
    if (entry == this->byId.end())
        return false;
    ++this->changes;
    const bool mayHaveLapsed = this->returnedAt && now - *this->returnedAt < lapseGrace;
    if (!mayHaveLapsed || entry->second.endpoint.draining) {
        this->byId.erase(entry);
        return true;
    }
    if (!entry->second.removedAt)
        entry->second.removedAt = this->returnedAt;
    return true;
}

void EndpointRegistry::replaceAll(const std::vector<RegisteredEndpoint>& endpoints, TimePoint now)
{
    std::set<EndpointId> listed;
    for (const RegisteredEndpoint& endpoint : endpoints) {
        listed.insert(endpoint.id);
        this->update(endpoint);
    }
    std::vector<EndpointId> missing;
    for (const auto& [id, record] : this->byId) {
        if (!listed.contains(id))
            missing.push_back(id);
    }
    for (const EndpointId& id : missing)
        this->remove(id, now);
}

void EndpointRegistry::noteRegistryRecovered(TimePoint now)
{
    this->returnedAt = now;
}

void EndpointRegistry::expire(TimePoint now)
{
    this->changes += std::erase_if(this->byId, [now](const auto& entry) {
        return entry.second.removedAt && now - *entry.second.removedAt >= lapseGrace;
    });
}

void EndpointRegistry::noteFault(const EndpointId& id, EndpointFault fault, TimePoint now)
{
    const auto entry = this->byId.find(id);
    if (entry == this->byId.end())
        return;
    EndpointRecord& record = entry->second;
    const bool known = record.avoidedUntil && now < *record.avoidedUntil;
    record.faultRate += faultSmoothing * (1 - record.faultRate);
    record.lastFault = fault;
    // Requests that were on their way together fail together, and say the same thing once.
    if (!known)
        ++record.faultsInRow;
    const bool certain = fault == EndpointFault::Unreachable || fault == EndpointFault::Silent;
    if (fault == EndpointFault::Unreachable) {
        record.unreachableAt = now;
        this->unreachable[record.endpoint.failureDomain].insert_or_assign(id, now);
    }
    if (known || (!certain && record.faultsInRow < 2 && record.faultRate < tolerableFaultRate))
        return;
    const auto doublings = std::min<std::uint32_t>(record.faultsInRow - 1, 4);
    record.avoidedUntil = now + std::min<Duration>(firstAvoidance * (1 << doublings), longestAvoidance);
}

void EndpointRegistry::noteSuccess(const EndpointId& id, TimePoint begun)
{
    const auto entry = this->byId.find(id);
    if (entry == this->byId.end())
        return;
    EndpointRecord& record = entry->second;
    record.faultRate -= faultSmoothing * record.faultRate;
    this->unreachable.erase(record.endpoint.failureDomain);
    if (record.unreachableAt && begun < *record.unreachableAt)
        return;
    record.faultsInRow = 0;
    record.lastFault.reset();
    record.unreachableAt.reset();
    record.avoidedUntil.reset();
    record.hearsayUntil.reset();
}

void EndpointRegistry::noteRemoteAvoidance(const EndpointId& id, Duration remaining, TimePoint now)
{
    const auto entry = this->byId.find(id);
    if (entry == this->byId.end())
        return;
    entry->second.hearsayUntil = now + std::min(remaining, longestAvoidance);
    entry->second.unreachableAt = now;
    this->unreachable[entry->second.endpoint.failureDomain].insert_or_assign(id, now);
}

bool EndpointRegistry::isAvoided(const EndpointRecord& record, TimePoint now) const
{
    if (isSuspected(record, now))
        return true;
    const auto domain = this->unreachable.find(record.endpoint.failureDomain);
    if (domain == this->unreachable.end())
        return false;
    const auto recent = std::count_if(domain->second.begin(), domain->second.end(), [now](const auto& entry) { return now - entry.second < domainMemory; });
    return static_cast<std::size_t>(recent) >= unreachableForDomain;
}

bool EndpointRegistry::isSuspected(const EndpointRecord& record, TimePoint now)
{
    return ownAvoidance(record, now) || (record.hearsayUntil && now < *record.hearsayUntil);
}

std::optional<Duration> EndpointRegistry::ownAvoidance(const EndpointRecord& record, TimePoint now)
{
    if (!record.avoidedUntil || *record.avoidedUntil <= now)
        return std::nullopt;
    return *record.avoidedUntil - now;
}

const EndpointRecord* EndpointRegistry::find(const EndpointId& id) const
{
    const auto entry = this->byId.find(id);
    return entry == this->byId.end() ? nullptr : &entry->second;
}

std::optional<EndpointId> EndpointRegistry::findByAddress(const SocketAddress& address) const
{
    for (const auto& [id, record] : this->byId) {
        if (record.endpoint.address == address)
            return id;
    }
    return std::nullopt;
}

bool EndpointRegistry::takesWork(const EndpointRecord& record, TimePoint now)
{
    return !record.endpoint.draining && (!record.removedAt || now - *record.removedAt < lapseGrace);
}

std::vector<const EndpointRecord*> EndpointRegistry::candidates(const ServiceId& service, TimePoint now) const
{
    std::vector<const EndpointRecord*> sound;
    std::vector<const EndpointRecord*> avoided;
    for (const auto& [id, record] : this->byId) {
        if (record.endpoint.service != service || !takesWork(record, now))
            continue;
        (this->isAvoided(record, now) ? avoided : sound).push_back(&record);
    }
    return sound.empty() ? avoided : sound;
}

}
