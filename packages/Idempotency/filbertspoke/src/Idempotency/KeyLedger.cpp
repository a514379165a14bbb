#include <filbertspoke/Idempotency>

#include <algorithm>
#include <utility>

namespace filbertspoke {

namespace internal {

// Key under which the marker record is queued; empty, so that it differs from every caller key.
const std::string markerKey;

}

KeyLedger::KeyLedger(KeyHolder self, const LedgerLimits& limits)
    : self(std::move(self))
    , limits(limits)
    , coverage(limits.maximumClockSkew)
    , cursor(limits)
    , queue(limits)
    , now(TimePoint(), WallTime())
{
}

LedgerOutputs KeyLedger::begin(const KeyedRequest& request, const Now& now)
{
    this->advanceClock(now);
    const Result<CallerKey> key = CallerKey::parse(request.key);
    if (!key) {
        this->refuse(request.request, Refusal(ErrorCode::MalformedKey, Ran::No));
        return this->takeOutputs();
    }
    Entry& entry = this->entries.try_emplace(key->str(), *key, request.digest).first->second;
    if (entry.digest != request.digest) {
        const KeyState* state = this->keyStates.find(key->str());
        const bool entryDigestClaimed = state && state->digest == entry.digest && this->coverage.covers(*key);
        this->refuse(request.request, Refusal(ErrorCode::KeyReused, entryDigestClaimed ? Ran::No : Ran::Unknown));
        return this->takeOutputs();
    }
    entry.abandonedClaimDeadline.reset();
    entry.waiters.push_back({ request.request, request.deadline, request.firstUse });
    this->requestKeys[request.request] = key->str();
    if (entry.machine.phase() == AttemptPhase::Claiming) {
        this->queue.requeue(key->str(), now.monotonic());
        if (!this->platformAvailable)
            this->refuseAll(entry, ErrorCode::PlatformUnavailable);
    }
    this->advance(key->str());
    return this->takeOutputs();
}

LedgerOutputs KeyLedger::leave(const RequestId& request, const Now& now)
{
    this->advanceClock(now);
    const auto key = this->requestKeys.find(request);
    if (key == this->requestKeys.end())
        return this->takeOutputs();
    const std::string keyText = key->second;
    this->requestKeys.erase(key);
    std::erase_if(this->entries.at(keyText).waiters, [&](const Waiter& waiter) { return waiter.request == request; });
    this->advance(keyText);
    return this->takeOutputs();
}

LedgerOutputs KeyLedger::finish(const std::string& key, const StoredOutcome& outcome, const Now& now)
{
    this->advanceClock(now);
    const auto entry = this->entries.find(key);
    if (entry != this->entries.end() && entry->second.machine.finish()) {
        entry->second.outcome = outcome;
        this->queueResult(entry->second, OutcomeRecord { entry->second.attempt, dropLargeBody(outcome, this->limits.maximumBodyBytes) });
        this->advance(key);
    }
    return this->takeOutputs();
}

LedgerOutputs KeyLedger::fail(const std::string& key, const Now& now)
{
    this->advanceClock(now);
    const auto entry = this->entries.find(key);
    if (entry != this->entries.end() && entry->second.machine.fail()) {
        this->queueResult(entry->second, UnknownRecord { entry->second.attempt });
        this->advance(key);
    }
    return this->takeOutputs();
}

LedgerOutputs KeyLedger::release(const std::string& key, const Refusal& reason, const Now& now)
{
    this->advanceClock(now);
    const auto entry = this->entries.find(key);
    if (entry != this->entries.end() && entry->second.machine.phase() == AttemptPhase::Sent && entry->second.machine.release()) {
        this->refuseAll(entry->second, reason);
        this->queueResult(entry->second, ReleaseRecord { entry->second.attempt });
        this->advance(key);
    }
    return this->takeOutputs();
}

LedgerOutputs KeyLedger::recordsRead(const std::vector<LogRecord>& records, LogOffset oldest, LogOffset next, const Now& now)
{
    this->advanceClock(now);
    this->platformAvailable = true;
    const bool wasStale = this->cursor.lastCompletedRead() <= this->lastStaleRead;
    const LogUpdate update = this->cursor.receive(records, oldest, next, now.monotonic());
    this->applyRecords(update);
    this->resolveUnconfirmedAppends();
    if (wasStale && this->cursor.lastCompletedRead() > this->lastStaleRead) {
        std::vector<std::string> keys;
        for (const auto& [key, entry] : this->entries)
            keys.push_back(key);
        for (const std::string& key : keys)
            this->advance(key);
    }
    return this->takeOutputs();
}

LedgerOutputs KeyLedger::readFailed(const Now& now)
{
    this->advanceClock(now);
    this->cursor.readFailed(now.monotonic());
    this->handlePlatformFailure();
    return this->takeOutputs();
}

LedgerOutputs KeyLedger::appended(std::uint64_t appendId, const Now& now)
{
    this->advanceClock(now);
    this->platformAvailable = true;
    this->queue.appended(appendId);
    this->cursor.requestRead();
    return this->takeOutputs();
}

LedgerOutputs KeyLedger::appendFailed(std::uint64_t appendId, bool mayBeStored, const Now& now)
{
    this->advanceClock(now);
    const std::vector<std::string> absentKeys = this->queue.appendFailed(appendId, mayBeStored, this->cursor.readsIssued());
    if (!mayBeStored)
        this->handlePlatformFailure();
    for (const std::string& key : absentKeys) {
        const auto entry = this->entries.find(key);
        if (entry != this->entries.end())
            this->requeueResult(entry->second);
    }
    this->cursor.requestRead();
    return this->takeOutputs();
}

LedgerOutputs KeyLedger::wake(const Now& now)
{
    this->advanceClock(now);
    this->fireTimers();
    this->eraseExpiredKeys();
    this->queueMarkerIfDue();
    return this->takeOutputs();
}

TimePoint KeyLedger::nextWake() const
{
    TimePoint next = std::min(this->cursor.nextWake(this->now.monotonic()), this->now.monotonic() + this->limits.pauseThreshold / 2);
    if (const auto flush = this->queue.nextWake())
        next = std::min(next, std::max(*flush, this->earliestAppend));
    if (!this->timers.empty())
        next = std::min(next, this->timers.begin()->first);
    return next;
}

std::size_t KeyLedger::unresolvedAttempts() const
{
    return static_cast<std::size_t>(std::count_if(this->entries.begin(), this->entries.end(), [](const auto& entry) {
        const AttemptPhase phase = entry.second.machine.phase();
        return phase != AttemptPhase::Idle && phase != AttemptPhase::Claiming;
    }));
}

void KeyLedger::advanceClock(const Now& now)
{
    // After a pause of the process, its sockets may still hold responses that the log sent before the pause.
    const bool paused = this->started && now.monotonic() - this->now.monotonic() > this->limits.pauseThreshold;
    this->started = true;
    this->now = now;
    if (paused) {
        this->lastStaleRead = this->cursor.readsIssued();
        this->cursor.requestRead();
    }
}

LedgerOutputs KeyLedger::takeOutputs()
{
    const TimePoint time = this->now.monotonic();
    if (const auto overdue = this->queue.overdueAppend(time)) {
        this->queue.appendFailed(*overdue, true, this->cursor.readsIssued());
        this->cursor.requestRead();
    }
    if (this->cursor.isOverdue(time)) {
        this->cursor.readFailed(time);
        this->handlePlatformFailure();
    }
    if (time >= this->earliestAppend) {
        if (auto append = this->queue.flush(this->now, this->cursor.position()))
            this->outputs.emplace_back(std::move(*append));
    }
    if (const auto read = this->cursor.issueRead(time))
        this->outputs.emplace_back(*read);
    return std::exchange(this->outputs, {});
}

void KeyLedger::applyRecords(const LogUpdate& update)
{
    std::set<std::string> changedKeys;
    if (update.truncated) {
        this->coverage.openGap(this->cursor.position() - update.records.size());
        for (auto& [key, entry] : this->entries)
            changedKeys.insert(key);
    }
    for (const LogRecord& record : update.records) {
        const Result<KeyRecord> decoded = this->keyStates.apply(record.payload);
        if (!decoded)
            continue;
        this->coverage.closeGap(*decoded);
        this->lastRecordTime = decoded->createdAt;
        this->queue.erase(internal::markerKey);
        if (const std::string* key = keyOf(*decoded))
            changedKeys.insert(*key);
    }
    if (this->coverage.hasGap() && this->cursor.caughtUp())
        this->coverage.closeGap(this->now.wall());
    for (const std::string& key : changedKeys)
        this->advance(key);
}

void KeyLedger::handlePlatformFailure()
{
    this->platformAvailable = false;
    this->earliestAppend = this->now.monotonic() + this->limits.platformRetryDelay;
    std::vector<std::string> claiming;
    for (auto& [key, entry] : this->entries) {
        if (entry.machine.phase() != AttemptPhase::Claiming)
            continue;
        this->refuseAll(entry, ErrorCode::PlatformUnavailable);
        claiming.push_back(key);
    }
    for (const std::string& key : claiming)
        this->advance(key);
}

void KeyLedger::resolveUnconfirmedAppends()
{
    constexpr unsigned maximumClaimAppends = 2;
    for (const std::string& key : this->queue.unconfirmedBefore(this->cursor.lastCompletedRead())) {
        const auto entry = this->entries.find(key);
        const bool claiming = entry != this->entries.end() && entry->second.machine.phase() == AttemptPhase::Claiming;
        if (claiming && this->queue.appendAttempts(key) >= maximumClaimAppends)
            this->refuseAll(entry->second, ErrorCode::PlatformUnavailable);
        if (!claiming || !entry->second.waiters.empty())
            this->queue.requeue(key, this->now.monotonic());
        this->advance(key);
    }
}

void KeyLedger::queueMarkerIfDue()
{
    // Daemons write their markers at different times, so that the marker of the first makes the others unnecessary.
    const Duration spread = this->limits.markerInterval / 4;
    const Duration daemonOffset(std::hash<DaemonId> {}(this->self.daemon) % static_cast<std::uint64_t>(spread.count() + 1));
    const bool due = this->now.wall() - this->lastRecordTime > this->limits.markerInterval - spread + daemonOffset;
    if (due && this->platformAvailable && this->cursor.position() > 0 && !this->queue.contains(internal::markerKey))
        this->queue.put(internal::markerKey, MarkerRecord {}, this->now.monotonic());
}

void KeyLedger::eraseExpiredKeys()
{
    constexpr Duration interval = std::chrono::minutes(1);
    const WallTime horizon = this->now.wall() - this->limits.keyLifetime - 2 * this->limits.maximumClockSkew;
    if (horizon < this->erasedBefore + interval)
        return;
    this->erasedBefore = horizon;
    this->coverage.excludeBefore(horizon);
    this->keyStates.eraseBefore(CallerKey::lowerBound(horizon));
}

void KeyLedger::fireTimers()
{
    while (!this->timers.empty() && this->timers.begin()->first <= this->now.monotonic()) {
        const std::string key = this->timers.begin()->second;
        this->expireWaiters(this->entries.at(key));
        this->advance(key);
    }
}

}
