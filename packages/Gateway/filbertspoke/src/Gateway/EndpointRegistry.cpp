#include <filbertspoke/Gateway>

#include <algorithm>
#include <set>

namespace filbertspoke {

namespace {

// Endpoints that are still running after an outage of the registry write their entry again within two seconds.
constexpr Duration reregistrationGrace = std::chrono::milliseconds(2000);
// Time for which an endpoint is avoided after its first fault; doubles with each consecutive fault.
constexpr Duration initialAvoidance = std::chrono::milliseconds(800);
constexpr Duration maximumAvoidance = std::chrono::seconds(4);
// Weight of the newest exchange in the moving average of the fault rate, which covers about ten exchanges.
constexpr double faultRateSmoothing = 0.1;
// Fault rate from which on an endpoint is avoided although it responds in between.
constexpr double faultRateThreshold = 0.25;
// A failure domain counts as unreachable when this many of its endpoints were unreachable within the window and none has responded
// since.
constexpr std::size_t unreachableDomainThreshold = 3;
constexpr Duration unreachableWindow = std::chrono::seconds(4);
// Removed endpoints are remembered for this time. It exceeds the age of any copy of the registry from which their entries may come
// back: the store restarts from a copy that is seconds old, and another daemon's list may be as old as a network partition.
constexpr Duration removedRunLifetime = std::chrono::minutes(5);
// Fraction of a pushback by which daemons delay their return at random.
constexpr double pushbackSpread = 0.2;

EndpointRecord newRecord(const RegisteredEndpoint& endpoint)
{
    EndpointRecord record;
    record.endpoint = endpoint;
    return record;
}

}

bool EndpointRegistry::isOfRemovedRun(const RegisteredEndpoint& endpoint) const
{
    const auto removed = this->removedRuns.find(endpoint.id);
    if (removed == this->removedRuns.end() || endpoint.startedAtMs > removed->second.startedAtMs)
        return false;
    return endpoint.startedAtMs < removed->second.startedAtMs || endpoint.heartbeat <= removed->second.heartbeat;
}

std::map<EndpointId, EndpointRecord>::iterator EndpointRegistry::erase(std::map<EndpointId, EndpointRecord>::iterator entry, TimePoint now)
{
    const RegisteredEndpoint& endpoint = entry->second.endpoint;
    this->removedRuns.insert_or_assign(endpoint.id, RemovedRun { endpoint.startedAtMs, endpoint.heartbeat, endpoint.draining, now });
    return this->byId.erase(entry);
}

bool EndpointRegistry::update(const RegisteredEndpoint& endpoint)
{
    if (this->isOfRemovedRun(endpoint))
        return false;
    auto [entry, added] = this->byId.try_emplace(endpoint.id, newRecord(endpoint));
    EndpointRecord& record = entry->second;
    if (added) {
        ++this->changes;
        const auto removed = this->removedRuns.find(endpoint.id);
        if (removed != this->removedRuns.end()) {
            record.endpoint.draining = endpoint.draining || (removed->second.draining && removed->second.startedAtMs == endpoint.startedAtMs);
            this->removedRuns.erase(removed);
        }
        this->removeSuperseded(endpoint.address, record);
        return this->byId.contains(endpoint.id);
    }
    if (endpoint.startedAtMs < record.endpoint.startedAtMs)
        return false;
    const bool restarted = endpoint.startedAtMs > record.endpoint.startedAtMs;
    if (!restarted && endpoint.heartbeat < record.endpoint.heartbeat)
        return false;
    // The entry was read before it was removed: an endpoint that is alive writes its entry again with a higher heartbeat.
    if (!restarted && record.removedAt && endpoint.heartbeat == record.endpoint.heartbeat)
        return false;
    if (restarted) {
        ++this->changes;
        record = newRecord(endpoint);
        return true;
    }
    record.leavingReported = record.leavingReported && !endpoint.draining;
    RegisteredEndpoint merged = endpoint;
    // A draining endpoint stays draining until it restarts.
    merged.draining = endpoint.draining || record.endpoint.draining;
    RegisteredEndpoint before = record.endpoint;
    before.heartbeat = merged.heartbeat;
    const bool changed = before != merged || record.removedAt;
    this->changes += changed ? 1 : 0;
    if (before.layers != merged.layers)
        record.refusals = {};
    record.endpoint = merged;
    record.removedAt.reset();
    return changed;
}

void EndpointRegistry::removeSuperseded(const SocketAddress& address, const EndpointRecord& newest)
{
    // An address belongs to the endpoint that started last there; its predecessor's entry has not expired yet.
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

Removal EndpointRegistry::remove(const EndpointId& id, TimePoint now)
{
    const auto entry = this->byId.find(id);
    if (entry == this->byId.end())
        return Removal::Unknown;
    ++this->changes;
    const bool mayHaveLapsed = this->recoveredAt && now - *this->recoveredAt < reregistrationGrace;
    if (!mayHaveLapsed || entry->second.endpoint.draining) {
        this->erase(entry, now);
        return Removal::Erased;
    }
    if (!entry->second.removedAt)
        entry->second.removedAt = this->recoveredAt;
    return Removal::Held;
}

std::map<EndpointId, Removal> EndpointRegistry::replaceAll(const std::vector<RegisteredEndpoint>& endpoints, TimePoint now)
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
    std::map<EndpointId, Removal> removals;
    for (const EndpointId& id : missing) {
        const bool marked = this->byId.at(id).removedAt.has_value();
        const Removal removal = this->remove(id, now);
        if (!marked)
            removals.emplace(id, removal);
    }
    return removals;
}

void EndpointRegistry::noteRegistryRecovered(TimePoint now)
{
    this->recoveredAt = now;
}

void EndpointRegistry::expire(TimePoint now)
{
    for (auto entry = this->byId.begin(); entry != this->byId.end();) {
        if (!entry->second.removedAt || now - *entry->second.removedAt < reregistrationGrace) {
            ++entry;
            continue;
        }
        entry = this->erase(entry, now);
        ++this->changes;
    }
    std::erase_if(this->removedRuns, [now](const auto& run) { return now - run.second.removedAt >= removedRunLifetime; });
}

bool EndpointRegistry::noteLeaving(const EndpointId& id)
{
    const auto entry = this->byId.find(id);
    if (entry == this->byId.end()) {
        const auto removed = this->removedRuns.find(id);
        if (removed != this->removedRuns.end())
            removed->second.draining = true;
        return false;
    }
    if (entry->second.endpoint.draining)
        return false;
    entry->second.endpoint.draining = true;
    entry->second.leavingReported = true;
    ++this->changes;
    return true;
}

void EndpointRegistry::noteRemoteLeaving(const EndpointRun& run)
{
    const auto entry = this->byId.find(run.endpoint);
    if (entry != this->byId.end() && entry->second.endpoint.startedAtMs == run.startedAtMs)
        this->noteLeaving(run.endpoint);
}

std::vector<EndpointRun> EndpointRegistry::reportedLeaving() const
{
    std::vector<EndpointRun> runs;
    for (const auto& [id, record] : this->byId) {
        if (record.leavingReported)
            runs.push_back({ id, record.endpoint.startedAtMs });
    }
    return runs;
}

void EndpointRegistry::notePushback(const EndpointId& id, Duration pushback, double draw, TimePoint now)
{
    const auto entry = this->byId.find(id);
    if (entry == this->byId.end())
        return;
    const TimePoint until = now + pushback + scaled(pushback, pushbackSpread * draw);
    entry->second.pushbackUntil = std::max(entry->second.pushbackUntil.value_or(until), until);
}

bool EndpointRegistry::isPushedBack(const EndpointRecord& record, TimePoint now)
{
    return record.pushbackUntil && now < *record.pushbackUntil;
}

std::optional<Duration> EndpointRegistry::pushbackRemaining(const ServiceId& service, std::uint32_t layers, TimePoint now) const
{
    std::vector<std::pair<TimePoint, LayerRange>> returns;
    for (const auto& [id, record] : this->byId) {
        if (record.endpoint.service == service && takesWork(record, now))
            returns.emplace_back(isPushedBack(record, now) ? *record.pushbackUntil : now, record.endpoint.layers);
    }
    std::sort(returns.begin(), returns.end());
    std::set<std::uint32_t> missing;
    for (std::uint32_t layer = 0; layer < layers; ++layer)
        missing.insert(layer);
    for (const auto& [at, held] : returns) {
        missing.erase(missing.lower_bound(held.first()), missing.lower_bound(held.last()));
        if (missing.empty())
            return at > now ? std::optional(at - now) : std::nullopt;
    }
    return std::nullopt;
}

void EndpointRegistry::noteFault(const EndpointId& id, EndpointFault fault, TimePoint now)
{
    const auto entry = this->byId.find(id);
    if (entry == this->byId.end())
        return;
    EndpointRecord& record = entry->second;
    if (fault == EndpointFault::Refused) {
        this->noteRefusal(id, now, 0, now);
        return;
    }
    const bool alreadyAvoided = record.avoidedUntil && now < *record.avoidedUntil;
    record.faultRate += faultRateSmoothing * (1 - record.faultRate);
    record.lastFault = fault;
    // Concurrent requests that fail for the same reason count as one fault.
    if (!alreadyAvoided)
        ++record.consecutiveFaults;
    const bool conclusive = fault == EndpointFault::Unreachable || fault == EndpointFault::Silent;
    if (fault == EndpointFault::Unreachable) {
        record.unreachableAt = now;
        this->unreachable[record.endpoint.failureDomain].insert_or_assign(id, now);
    }
    if (alreadyAvoided || (!conclusive && record.consecutiveFaults < 2 && record.faultRate < faultRateThreshold))
        return;
    const auto doublings = std::min<std::uint32_t>(record.consecutiveFaults - 1, 4);
    record.avoidedUntil = now + std::min<Duration>(initialAvoidance * (1 << doublings), maximumAvoidance);
}

void EndpointRegistry::noteSuccess(const EndpointId& id, TimePoint begun)
{
    const auto entry = this->byId.find(id);
    if (entry == this->byId.end())
        return;
    EndpointRecord& record = entry->second;
    record.faultRate -= faultRateSmoothing * record.faultRate;
    this->unreachable.erase(record.endpoint.failureDomain);
    record.refusals.noteSuccess(begun);
    if (record.unreachableAt && begun < *record.unreachableAt)
        return;
    record.consecutiveFaults = 0;
    record.lastFault.reset();
    record.unreachableAt.reset();
    record.avoidedUntil.reset();
    record.remoteAvoidedUntil.reset();
}

void EndpointRegistry::noteRemoteAvoidance(const EndpointId& id, Duration remaining, TimePoint now)
{
    const auto entry = this->byId.find(id);
    if (entry == this->byId.end())
        return;
    entry->second.remoteAvoidedUntil = now + std::min(remaining, maximumAvoidance);
    entry->second.unreachableAt = now;
    this->unreachable[entry->second.endpoint.failureDomain].insert_or_assign(id, now);
}

void EndpointRegistry::forgetFaults(const ServiceId& service)
{
    for (auto& [id, record] : this->byId) {
        if (record.endpoint.service != service)
            continue;
        record.consecutiveFaults = 0;
        record.faultRate = 0;
        record.lastFault.reset();
        record.unreachableAt.reset();
        record.avoidedUntil.reset();
        const auto domain = this->unreachable.find(record.endpoint.failureDomain);
        if (domain != this->unreachable.end())
            domain->second.erase(id);
    }
}

bool EndpointRegistry::isAvoided(const EndpointRecord& record, TimePoint now) const
{
    if (isSuspected(record, now))
        return true;
    const auto domain = this->unreachable.find(record.endpoint.failureDomain);
    if (domain == this->unreachable.end())
        return false;
    const auto recent = std::count_if(domain->second.begin(), domain->second.end(), [now](const auto& entry) { return now - entry.second < unreachableWindow; });
    return static_cast<std::size_t>(recent) >= unreachableDomainThreshold;
}

bool EndpointRegistry::isSuspected(const EndpointRecord& record, TimePoint now)
{
    return ownAvoidance(record, now) || (record.remoteAvoidedUntil && now < *record.remoteAvoidedUntil);
}

std::optional<Duration> EndpointRegistry::ownAvoidance(const EndpointRecord& record, TimePoint now)
{
    if (!record.avoidedUntil || *record.avoidedUntil <= now)
        return std::nullopt;
    return *record.avoidedUntil - now;
}

std::vector<RegisteredEndpoint> EndpointRegistry::entries() const
{
    std::vector<RegisteredEndpoint> entries;
    for (const auto& [id, record] : this->byId) {
        if (!record.removedAt)
            entries.push_back(record.endpoint);
    }
    return entries;
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
    return !record.endpoint.draining && (!record.removedAt || now - *record.removedAt < reregistrationGrace);
}

std::vector<const EndpointRecord*> EndpointRegistry::candidates(const ServiceId& service, TimePoint now, RefusingCandidates refusing) const
{
    std::vector<const EndpointRecord*> healthy;
    std::vector<const EndpointRecord*> avoided;
    for (const auto& [id, record] : this->byId) {
        if (record.endpoint.service != service || !takesWork(record, now) || isPushedBack(record, now))
            continue;
        const bool refuses = refusing == RefusingCandidates::Excluded ? isRefusing(record, now) : record.refusals.hasJustRefused(now);
        (this->isAvoided(record, now) || refuses ? avoided : healthy).push_back(&record);
    }
    return healthy.empty() ? avoided : healthy;
}

}
