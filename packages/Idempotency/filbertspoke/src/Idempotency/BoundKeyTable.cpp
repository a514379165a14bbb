#include <filbertspoke/Idempotency>

#include <algorithm>

namespace filbertspoke {

namespace internal {

constexpr Duration boundRetryDelay = std::chrono::seconds(1);

}

BoundKey BoundKeyTable::issueKey()
{
    return { this->self.daemon, this->self.incarnation, ++this->lastSerial };
}

LedgerOutputs BoundKeyTable::begin(const KeyedRequest& request, const BoundKey& key, const Now&)
{
    if (const auto refusal = this->check(key, request.digest))
        return { RefuseKeyedRequest { request.request, *refusal } };
    Entry& entry = this->entries[key.serial];
    entry.digest = request.digest;
    entry.waiters.push_back({ request.request, request.deadline });
    this->requestSerials[request.request] = key.serial;
    this->timers.insert({ request.deadline, request.request });
    switch (entry.status) {
    case Status::Fresh:
        entry.status = Status::Sent;
        return { RunAction { key.str(), request.request } };
    case Status::Sent:
        return {};
    case Status::Done:
        return this->giveAll(entry);
    case Status::Unknown:
        return this->refuseAll(entry, Refusal(ErrorCode::OutcomeUnknown, Ran::Unknown));
    }
    return {};
}

void BoundKeyTable::leave(const RequestId& request)
{
    const auto serial = this->requestSerials.find(request);
    if (serial == this->requestSerials.end())
        return;
    std::vector<Waiter>& waiters = this->entries.at(serial->second).waiters;
    const auto waiter = std::find_if(waiters.begin(), waiters.end(), [&](const Waiter& candidate) { return candidate.request == request; });
    this->timers.erase({ waiter->deadline, request });
    waiters.erase(waiter);
    this->requestSerials.erase(serial);
}

LedgerOutputs BoundKeyTable::finish(const std::string& key, const StoredOutcome& outcome)
{
    Entry* entry = this->findSent(key);
    if (!entry)
        return {};
    entry->status = Status::Done;
    entry->outcome = outcome;
    LedgerOutputs outputs = this->giveAll(*entry);
    this->finished(BoundKey::parse(key)->serial);
    return outputs;
}

LedgerOutputs BoundKeyTable::fail(const std::string& key)
{
    Entry* entry = this->findSent(key);
    if (!entry)
        return {};
    entry->status = Status::Unknown;
    LedgerOutputs outputs = this->refuseAll(*entry, Refusal(ErrorCode::OutcomeUnknown, Ran::Unknown));
    this->finished(BoundKey::parse(key)->serial);
    return outputs;
}

LedgerOutputs BoundKeyTable::release(const std::string& key, const Refusal& reason)
{
    Entry* entry = this->findSent(key);
    if (!entry)
        return {};
    LedgerOutputs outputs = this->refuseAll(*entry, reason);
    this->entries.erase(BoundKey::parse(key)->serial);
    return outputs;
}

LedgerOutputs BoundKeyTable::wake(const Now& now)
{
    LedgerOutputs outputs;
    while (!this->timers.empty() && this->timers.begin()->first <= now.monotonic()) {
        const RequestId request = this->timers.begin()->second;
        this->leave(request);
        outputs.emplace_back(RefuseKeyedRequest { request, Refusal(ErrorCode::OutcomeUnknown, Ran::Unknown).retryAfter(internal::boundRetryDelay) });
    }
    return outputs;
}

std::optional<TimePoint> BoundKeyTable::nextWake() const
{
    return this->timers.empty() ? std::nullopt : std::optional(this->timers.begin()->first);
}

BoundKeyTable::Entry* BoundKeyTable::findSent(const std::string& key)
{
    const auto parsed = BoundKey::parse(key);
    const auto entry = parsed ? this->entries.find(parsed->serial) : this->entries.end();
    return entry != this->entries.end() && entry->second.status == Status::Sent ? &entry->second : nullptr;
}

std::optional<Refusal> BoundKeyTable::check(const BoundKey& key, const std::string& digest) const
{
    if (key.incarnation != this->self.incarnation)
        return Refusal(ErrorCode::OutcomeUnknown, Ran::Unknown).withDetail("the process that made the key is gone");
    if (key.serial == 0 || key.serial > this->lastSerial)
        return Refusal(ErrorCode::MalformedKey, Ran::No).withDetail("this daemon did not make the key");
    const auto entry = this->entries.find(key.serial);
    if (entry == this->entries.end()) {
        if (key.serial > this->forgottenSerial)
            return std::nullopt;
        return Refusal(ErrorCode::KeyExpired, Ran::Unknown);
    }
    if (entry->second.digest != digest)
        return Refusal(ErrorCode::KeyReused, Ran::No);
    return std::nullopt;
}

LedgerOutputs BoundKeyTable::refuseAll(Entry& entry, const Refusal& refusal)
{
    LedgerOutputs outputs;
    for (const Waiter& waiter : std::exchange(entry.waiters, {})) {
        this->forgetTimer(waiter);
        outputs.emplace_back(RefuseKeyedRequest { waiter.request, refusal });
    }
    return outputs;
}

LedgerOutputs BoundKeyTable::giveAll(Entry& entry)
{
    LedgerOutputs outputs;
    for (const Waiter& waiter : std::exchange(entry.waiters, {})) {
        this->forgetTimer(waiter);
        outputs.emplace_back(ReturnOutcome { waiter.request, entry.outcome });
    }
    return outputs;
}

void BoundKeyTable::finished(std::uint64_t serial)
{
    this->finishedOrder.push_back(serial);
    if (this->finishedOrder.size() <= this->keptOutcomes)
        return;
    const std::uint64_t oldest = this->finishedOrder.front();
    this->finishedOrder.pop_front();
    this->entries.erase(oldest);
    this->forgottenSerial = std::max(this->forgottenSerial, oldest);
}

void BoundKeyTable::forgetTimer(const Waiter& waiter)
{
    this->timers.erase({ waiter.deadline, waiter.request });
    this->requestSerials.erase(waiter.request);
}

}
