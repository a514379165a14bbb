#include <filbertspoke/Idempotency>

#include <algorithm>
#include <utility>

namespace filbertspoke {

void KeyLedger::advance(const std::string& key)
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end())
        return;
    Entry& entry = found->second;
    while (this->step(entry)) { }
    if (this->isFinished(entry)) {
        if (entry.timer)
            this->timers.erase({ *entry.timer, key });
        this->queue.erase(key);
        this->entries.erase(found);
        return;
    }
    this->rearm(entry);
}

bool KeyLedger::step(Entry& entry)
{
    switch (entry.machine.phase()) {
    case AttemptPhase::Idle:
        return this->stepIdle(entry);
    case AttemptPhase::Claiming:
        return this->stepClaiming(entry);
    case AttemptPhase::Held:
        return this->stepHeld(entry);
    case AttemptPhase::Sent:
        return false;
    case AttemptPhase::Finished:
    case AttemptPhase::Lost:
    case AttemptPhase::Released:
        return this->stepSettling(entry);
    }
    return false;
}

bool KeyLedger::stepIdle(Entry& entry)
{
    if (entry.waiters.empty())
        return false;
    const KeyState* state = this->fold.find(entry.key.str());
    if (!state)
        return this->claim(entry, 1);
    if (!state->digest.empty() && state->digest != entry.digest) {
        this->refuseAll(entry, Refusal(ErrorCode::KeyReused, this->coverage.covers(entry.key) ? Ran::No : Ran::Unknown));
        return false;
    }
    switch (state->status) {
    case KeyStatus::Done:
        this->giveAll(entry, *state->outcome);
        return false;
    case KeyStatus::Unknown:
        this->refuseAll(entry, Refusal(ErrorCode::OutcomeUnknown, Ran::Unknown));
        return false;
    case KeyStatus::Released:
        return this->claim(entry, state->attempt.number + 1);
    case KeyStatus::Claimed:
        return this->waitForHolder(entry, *state);
    }
    return false;
}

bool KeyLedger::claim(Entry& entry, std::uint32_t attempt)
{
    entry.holderDeadline.reset();
    if (const auto reason = this->whyNotClaim(entry)) {
        this->refuseAll(entry, *reason);
        return false;
    }
    entry.machine.claim();
    entry.attempt = { entry.key.str(), attempt, this->self };
    const auto last = std::max_element(entry.waiters.begin(), entry.waiters.end(), [](const Waiter& left, const Waiter& right) {
        return left.deadline < right.deadline;
    });
    const WallTime until = this->now.wall() + (last->deadline - this->now.monotonic());
    this->queue.put(entry.key.str(), ClaimRecord { entry.attempt, entry.digest, until }, this->now.monotonic());
    return true;
}

std::optional<ErrorCode> KeyLedger::whyNotClaim(const Entry& entry) const
{
    if (entry.key.time() > this->now.wall() + this->limits.clockTolerance)
        return ErrorCode::KeyInFuture;
    if (entry.key.time() < std::max(this->now.wall() - this->limits.window, this->forgotten))
        return ErrorCode::KeyExpired;
    if (!this->coverage.covers(entry.key))
        return ErrorCode::LogTruncated;
    if (!this->platformUp)
        return ErrorCode::PlatformUnavailable;
    return std::nullopt;
}

bool KeyLedger::waitForHolder(Entry& entry, const KeyState& state)
{
    const KeyHolder& holder = state.attempt.holder;
    const bool earlierSelf = holder.daemon == this->self.daemon && holder.incarnation < this->self.incarnation;
    const bool gone = earlierSelf || this->fold.isReplaced(holder);
    const TimePoint until = this->now.monotonic() + (state.until + this->limits.clockTolerance - this->now.wall());
    if (gone || until <= this->now.monotonic())
        this->refuseAll(entry, ErrorCode::OutcomeUnknown);
    else
        entry.holderDeadline = until;
    return false;
}

bool KeyLedger::stepClaiming(Entry& entry)
{
    const KeyState* state = this->fold.find(entry.key.str());
    if (!state || (state->attempt.number < entry.attempt.number && state->status == KeyStatus::Released)) {
        if (this->coverage.hasGap() || this->coverage.covers(entry.key))
            return false;
        // The claim, or another's before it, may be among the records that were missed.
        this->refuseAll(entry, ErrorCode::LogTruncated);
        entry.settleDeadline = this->now.monotonic();
        return false;
    }
    this->queue.erase(entry.key.str());
    // An earlier claim of this process, which it gave up on, may have been for another request.
    const bool own = state->attempt == entry.attempt && state->digest == entry.digest;
    if (own && state->status == KeyStatus::Claimed)
        return entry.machine.win();
    return entry.machine.lose();
}

bool KeyLedger::stepHeld(Entry& entry)
{
    this->expireWaiters(entry);
    if (this->coverage.hasGap() || this->cursor.completed() <= this->staleReads)
        return false;
    if (!this->coverage.covers(entry.key))
        this->refuseAll(entry, ErrorCode::LogTruncated);
    if (entry.waiters.empty()) {
        entry.machine.release();
        return this->settle(entry, ReleaseRecord { entry.attempt });
    }
    entry.machine.send();
    this->outputs.emplace_back(RunAction { entry.key.str(), entry.waiters.front().request });
    return true;
}

bool KeyLedger::settle(Entry& entry, KeyRecordBody record)
{
    this->queue.put(entry.key.str(), std::move(record), this->now.monotonic());
    return true;
}

void KeyLedger::retrySettling(Entry& entry)
{
    if (entry.machine.phase() == AttemptPhase::Finished)
        this->settle(entry, OutcomeRecord { entry.attempt, boundedOutcome(*entry.outcome, this->limits.maximumBody) });
    if (entry.machine.phase() == AttemptPhase::Lost)
        this->settle(entry, UnknownRecord { entry.attempt });
    if (entry.machine.phase() == AttemptPhase::Released)
        this->settle(entry, ReleaseRecord { entry.attempt });
    this->advance(entry.key.str());
}

bool KeyLedger::stepSettling(Entry& entry)
{
    if (entry.machine.phase() == AttemptPhase::Finished)
        this->giveAll(entry, *entry.outcome);
    if (entry.machine.phase() == AttemptPhase::Lost)
        this->refuseAll(entry, Refusal(ErrorCode::OutcomeUnknown, Ran::Unknown));
    const KeyState* state = this->fold.find(entry.key.str());
    const bool stored = !state || state->attempt != entry.attempt || state->status != KeyStatus::Claimed;
    if (!stored)
        return false;
    this->queue.erase(entry.key.str());
    entry.outcome.reset();
    return entry.machine.store();
}

void KeyLedger::expireWaiters(Entry& entry)
{
    const TimePoint time = this->now.monotonic();
    const bool holderLate = entry.holderDeadline && *entry.holderDeadline <= time;
    const auto late = [&](const Waiter& waiter) { return holderLate || waiter.deadline <= time; };
    for (const Waiter& waiter : entry.waiters) {
        if (!late(waiter))
            continue;
        const Ran ran = this->ranOf(entry, waiter);
        const ErrorCode code = ran == Ran::No ? ErrorCode::DeadlineExceeded : ErrorCode::OutcomeUnknown;
        this->refuse(waiter.request, Refusal(code, ran).retryAfter(this->limits.platformRetry));
    }
    std::erase_if(entry.waiters, late);
    if (holderLate)
        entry.holderDeadline.reset();
}

void KeyLedger::rearm(Entry& entry)
{
    const bool abandoned = entry.machine.phase() == AttemptPhase::Claiming && entry.waiters.empty();
    if (abandoned && !entry.settleDeadline)
        entry.settleDeadline = this->now.monotonic() + this->limits.settleTime;
    std::optional<TimePoint> next = abandoned ? entry.settleDeadline : std::nullopt;
    if (!entry.waiters.empty() && entry.holderDeadline)
        next = entry.holderDeadline;
    for (const Waiter& waiter : entry.waiters)
        next = std::min(next.value_or(waiter.deadline), waiter.deadline);
    if (next == entry.timer)
        return;
    if (entry.timer)
        this->timers.erase({ *entry.timer, entry.key.str() });
    entry.timer = next;
    if (next)
        this->timers.insert({ *next, entry.key.str() });
}

bool KeyLedger::isFinished(const Entry& entry) const
{
    if (!entry.waiters.empty())
        return false;
    if (entry.machine.phase() == AttemptPhase::Idle)
        return true;
    if (entry.machine.phase() != AttemptPhase::Claiming)
        return false;
    const bool watched = !entry.settleDeadline || this->now.monotonic() < *entry.settleDeadline;
    return !watched || !this->queue.mayBeStored(entry.key.str());
}

Ran KeyLedger::ranOf(const Entry& entry, const Waiter& waiter) const
{
    switch (entry.machine.phase()) {
    case AttemptPhase::Idle:
        return waiter.firstUse && !this->fold.find(entry.key.str()) ? Ran::No : Ran::Unknown;
    case AttemptPhase::Claiming:
        return waiter.firstUse ? Ran::No : Ran::Unknown;
    case AttemptPhase::Held:
        return this->coverage.covers(entry.key) ? Ran::No : Ran::Unknown;
    case AttemptPhase::Released: // others may have read the release and run the next attempt
    case AttemptPhase::Sent:
    case AttemptPhase::Finished:
    case AttemptPhase::Lost:
        return Ran::Unknown;
    }
    return Ran::Unknown;
}

void KeyLedger::refuse(const RequestId& request, const Refusal& refusal)
{
    this->requestKeys.erase(request);
    this->outputs.emplace_back(RefuseKeyedRequest { request, refusal });
}

void KeyLedger::refuseAll(Entry& entry, ErrorCode code)
{
    const bool final = code == ErrorCode::KeyExpired || code == ErrorCode::KeyInFuture || code == ErrorCode::LogTruncated;
    for (const Waiter& waiter : std::exchange(entry.waiters, {})) {
        const Refusal refusal(code, code == ErrorCode::KeyInFuture ? Ran::No : this->ranOf(entry, waiter));
        this->refuse(waiter.request, final ? refusal : refusal.retryAfter(this->limits.platformRetry));
    }
}

void KeyLedger::refuseAll(Entry& entry, const Refusal& refusal)
{
    for (const Waiter& waiter : std::exchange(entry.waiters, {}))
        this->refuse(waiter.request, refusal);
}

void KeyLedger::giveAll(Entry& entry, const StoredOutcome& outcome)
{
    if (outcome.bodyDropped) {
        this->refuseAll(entry, Refusal(ErrorCode::OutcomeNotKept, Ran::Yes));
        return;
    }
    for (const Waiter& waiter : std::exchange(entry.waiters, {})) {
        this->requestKeys.erase(waiter.request);
        this->outputs.emplace_back(ReturnOutcome { waiter.request, outcome });
    }
}

}
