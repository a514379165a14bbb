#include <filbertspoke/Idempotency>

#include <algorithm>
#include <utility>

namespace filbertspoke {

namespace internal {

// The queue's name for the mark, which belongs to no key.
const std::string markName;

}

KeyLedger::KeyLedger(KeyHolder self, const LedgerLimits& limits)
    : self(std::move(self))
    , limits(limits)
    , coverage(limits.clockTolerance)
    , cursor(limits)
    , queue(limits)
    , now(TimePoint(), WallTime())
{
}

LedgerOutputs KeyLedger::begin(const KeyedRequest& request, const Now& now)
{
    this->observe(now);
    const Result<CallerKey> key = CallerKey::parse(request.key);
    if (!key) {
        this->refuse(request.request, Refusal(ErrorCode::MalformedKey, Ran::No));
        return this->takeOutputs();
    }
    Entry& entry = this->entries.try_emplace(key->str(), *key, request.digest).first->second;
    if (entry.digest != request.digest) {
        const KeyState* state = this->fold.find(key->str());
        const bool claimedByOther = state && state->digest == entry.digest && this->coverage.covers(*key);
        this->refuse(request.request, Refusal(ErrorCode::KeyReused, claimedByOther ? Ran::No : Ran::Unknown));
        return this->takeOutputs();
    }
    entry.settleDeadline.reset();
    entry.waiters.push_back({ request.request, request.deadline, request.firstUse });
    this->requestKeys[request.request] = key->str();
    if (entry.machine.phase() == AttemptPhase::Claiming) {
        this->queue.requeue(key->str(), now.monotonic());
        if (!this->platformUp)
            this->refuseAll(entry, ErrorCode::PlatformUnavailable);
    }
    this->advance(key->str());
    return this->takeOutputs();
}

LedgerOutputs KeyLedger::leave(const RequestId& request, const Now& now)
{
    this->observe(now);
    const auto key = this->requestKeys.find(request);
    if (key == this->requestKeys.end())
        return this->takeOutputs();
    const std::string name = key->second;
    this->requestKeys.erase(key);
    std::erase_if(this->entries.at(name).waiters, [&](const Waiter& waiter) { return waiter.request == request; });
    this->advance(name);
    return this->takeOutputs();
}

LedgerOutputs KeyLedger::finish(const std::string& key, const StoredOutcome& outcome, const Now& now)
{
    this->observe(now);
    const auto entry = this->entries.find(key);
    if (entry != this->entries.end() && entry->second.machine.finish()) {
        entry->second.outcome = outcome;
        this->settle(entry->second, OutcomeRecord { entry->second.attempt, boundedOutcome(outcome, this->limits.maximumBody) });
        this->advance(key);
    }
    return this->takeOutputs();
}

LedgerOutputs KeyLedger::fail(const std::string& key, const Now& now)
{
    this->observe(now);
    const auto entry = this->entries.find(key);
    if (entry != this->entries.end() && entry->second.machine.fail()) {
        this->settle(entry->second, UnknownRecord { entry->second.attempt });
        this->advance(key);
    }
    return this->takeOutputs();
}

LedgerOutputs KeyLedger::release(const std::string& key, const Refusal& reason, const Now& now)
{
    this->observe(now);
    const auto entry = this->entries.find(key);
    if (entry != this->entries.end() && entry->second.machine.phase() == AttemptPhase::Sent && entry->second.machine.release()) {
        this->refuseAll(entry->second, reason);
        this->settle(entry->second, ReleaseRecord { entry->second.attempt });
        this->advance(key);
    }
    return this->takeOutputs();
}

LedgerOutputs KeyLedger::recordsRead(const std::vector<LogRecord>& records, LogOffset oldest, LogOffset next, const Now& now)
{
    this->observe(now);
    this->platformUp = true;
    const bool wasHolding = this->cursor.completed() <= this->staleReads;
    const LogIntake intake = this->cursor.take(records, oldest, next, now.monotonic());
    this->applyRecords(intake);
    this->settleLostAppends();
    if (wasHolding && this->cursor.completed() > this->staleReads) {
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
    this->observe(now);
    this->cursor.failed(now.monotonic());
    this->platformFailed();
    return this->takeOutputs();
}

LedgerOutputs KeyLedger::appended(std::uint64_t append, const Now& now)
{
    this->observe(now);
    this->platformUp = true;
    this->queue.appended(append);
    this->cursor.request();
    return this->takeOutputs();
}

LedgerOutputs KeyLedger::appendFailed(std::uint64_t append, bool mayBeStored, const Now& now)
{
    this->observe(now);
    const std::vector<std::string> absent = this->queue.appendFailed(append, mayBeStored, this->cursor.issued());
    if (!mayBeStored)
        this->platformFailed();
    for (const std::string& key : absent) {
        const auto entry = this->entries.find(key);
        if (entry != this->entries.end())
            this->retrySettling(entry->second);
    }
    this->cursor.request();
    return this->takeOutputs();
}

LedgerOutputs KeyLedger::wake(const Now& now)
{
    this->observe(now);
    this->fireTimers();
    this->forgetOldKeys();
    this->keepLogMarked();
    return this->takeOutputs();
}

TimePoint KeyLedger::nextWake() const
{
    TimePoint next = std::min(this->cursor.nextWake(this->now.monotonic()), this->now.monotonic() + this->limits.pauseBound / 2);
    if (const auto flush = this->queue.nextWake())
        next = std::min(next, std::max(*flush, this->nextAppend));
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

void KeyLedger::observe(const Now& now)
{
    // A process that was paused has old answers of the log in its sockets.
    const bool paused = this->started && now.monotonic() - this->now.monotonic() > this->limits.pauseBound;
    this->started = true;
    this->now = now;
    if (paused) {
        this->staleReads = this->cursor.issued();
        this->cursor.request();
    }
}

LedgerOutputs KeyLedger::takeOutputs()
{
    const TimePoint time = this->now.monotonic();
    if (const auto overdue = this->queue.overdue(time)) {
        this->queue.appendFailed(*overdue, true, this->cursor.issued());
        this->cursor.request();
    }
    if (this->cursor.isOverdue(time)) {
        this->cursor.failed(time);
        this->platformFailed();
    }
    if (time >= this->nextAppend) {
        if (auto append = this->queue.flush(this->now, this->cursor.position()))
            this->outputs.emplace_back(std::move(*append));
    }
    if (const auto read = this->cursor.issue(time))
        this->outputs.emplace_back(*read);
    return std::exchange(this->outputs, {});
}

void KeyLedger::applyRecords(const LogIntake& intake)
{
    std::set<std::string> touched;
    if (intake.truncated) {
        this->coverage.openGap(this->cursor.position() - intake.records.size());
        for (auto& [key, entry] : this->entries)
            touched.insert(key);
    }
    for (const LogRecord& record : intake.records) {
        const Result<KeyRecord> read = this->fold.apply(record.payload);
        if (!read)
            continue;
        this->coverage.closeGap(*read);
        this->lastRecord = read->at;
        this->queue.erase(internal::markName);
        if (const std::string* key = keyOf(*read))
            touched.insert(*key);
    }
    if (this->coverage.hasGap() && this->cursor.caughtUp())
        this->coverage.closeGap(this->now.wall());
    for (const std::string& key : touched)
        this->advance(key);
}

void KeyLedger::platformFailed()
{
    this->platformUp = false;
    this->nextAppend = this->now.monotonic() + this->limits.platformRetry;
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

void KeyLedger::settleLostAppends()
{
    constexpr unsigned claimTries = 2;
    for (const std::string& key : this->queue.unsettledBefore(this->cursor.completed())) {
        const auto entry = this->entries.find(key);
        const bool claiming = entry != this->entries.end() && entry->second.machine.phase() == AttemptPhase::Claiming;
        if (claiming && this->queue.tries(key) >= claimTries)
            this->refuseAll(entry->second, ErrorCode::PlatformUnavailable);
        if (!claiming || !entry->second.waiters.empty())
            this->queue.requeue(key, this->now.monotonic());
        this->advance(key);
    }
}

void KeyLedger::keepLogMarked()
{
    // Daemons differ in when they write, so that the first one's mark spares the others theirs.
    const Duration spread = this->limits.markInterval / 4;
    const Duration own(std::hash<DaemonId> {}(this->self.daemon) % static_cast<std::uint64_t>(spread.count() + 1));
    const bool due = this->now.wall() - this->lastRecord > this->limits.markInterval - spread + own;
    if (due && this->platformUp && this->cursor.position() > 0 && !this->queue.contains(internal::markName))
        this->queue.put(internal::markName, MarkRecord {}, this->now.monotonic());
}

void KeyLedger::forgetOldKeys()
{
    constexpr Duration interval = std::chrono::minutes(1);
    const WallTime horizon = this->now.wall() - this->limits.window - 2 * this->limits.clockTolerance;
    if (horizon < this->forgotten + interval)
        return;
    this->forgotten = horizon;
    this->coverage.forgotBefore(horizon);
    this->fold.forgetBefore(CallerKey::lowerBound(horizon));
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
