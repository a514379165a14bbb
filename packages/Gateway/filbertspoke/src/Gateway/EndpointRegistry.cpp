#include <filbertspoke/Gateway>

#include <algorithm>
#include <set>

namespace filbertspoke {

namespace {

// Endpoints that outlived an outage of the registry write their entry anew within two seconds.
constexpr Duration lapseGrace = std::chrono::milliseconds(2000);
// The first time for which a faulty endpoint is left alone; doubles with each fault in a row.
constexpr Duration firstAvoidance = std::chrono::milliseconds(400);
constexpr Duration longestAvoidance = std::chrono::seconds(4);
// Weight of the newest exchange in the smoothed fault rate: some ten exchanges count.
constexpr double faultSmoothing = 0.1;
// A rate of faults above which an endpoint that answers in between is left alone as well.
constexpr double tolerableFaultRate = 0.25;

}

bool EndpointRegistry::update(const RegisteredEndpoint& endpoint, TimePoint now)
{
    auto [entry, added] = this->byId.try_emplace(endpoint.id, EndpointRecord { endpoint, {}, {}, 0, 0 });
    if (added)
        return true;
    EndpointRecord& record = entry->second;
    if (endpoint.startedAtMs < record.endpoint.startedAtMs)
        return false;
    const bool restarted = endpoint.startedAtMs > record.endpoint.startedAtMs;
    if (!restarted && endpoint.heartbeat < record.endpoint.heartbeat)
        return false;
    if (restarted) {
        record = EndpointRecord { endpoint, {}, {}, 0, 0 };
        return true;
    }
    RegisteredEndpoint merged = endpoint;
    // An endpoint that announced its leaving doesn't take it back within one run.
    merged.draining = endpoint.draining || record.endpoint.draining;
    RegisteredEndpoint before = record.endpoint;
    before.heartbeat = merged.heartbeat;
    const bool changed = before != merged || record.removedAt;
    record.endpoint = merged;
    record.removedAt.reset();
    (void)now;
    return changed;
}

bool EndpointRegistry::remove(const EndpointId& id, TimePoint now)
{
    const auto entry = this->byId.find(id);
    if (entry == this->byId.end())
        return false;
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
        this->update(endpoint, now);
    }
    std::vector<EndpointId> missing;
    for (const auto& [id, record] : this->byId) {
        if (!listed.contains(id))
            missing.push_back(id);
    }
    for (const EndpointId& id : missing)
        this->remove(id, now);
}

void EndpointRegistry::registryReturned(TimePoint now)
{
    this->returnedAt = now;
}

void EndpointRegistry::expire(TimePoint now)
{
    std::erase_if(this->byId, [now](const auto& entry) {
        return entry.second.removedAt && now - *entry.second.removedAt >= lapseGrace;
    });
}

void EndpointRegistry::noteFault(const EndpointId& id, EndpointFault fault, TimePoint now)
{
    const auto entry = this->byId.find(id);
    if (entry == this->byId.end())
        return;
    EndpointRecord& record = entry->second;
    ++record.faultsInRow;
    record.faultRate += faultSmoothing * (1 - record.faultRate);
    const bool certain = fault == EndpointFault::Unreachable || fault == EndpointFault::Silent;
    if (!certain && record.faultsInRow < 2 && record.faultRate < tolerableFaultRate)
        return;
    const auto doublings = std::min<std::uint32_t>(record.faultsInRow - 1, 4);
    record.avoidedUntil = now + std::min<Duration>(firstAvoidance * (1 << doublings), longestAvoidance);
}

void EndpointRegistry::noteSuccess(const EndpointId& id)
{
    const auto entry = this->byId.find(id);
    if (entry == this->byId.end())
        return;
    entry->second.faultsInRow = 0;
    entry->second.faultRate -= faultSmoothing * entry->second.faultRate;
    entry->second.avoidedUntil.reset();
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
        const bool avoid = record.avoidedUntil && now < *record.avoidedUntil;
        (avoid ? avoided : sound).push_back(&record);
    }
    return sound.empty() ? avoided : sound;
}

}
