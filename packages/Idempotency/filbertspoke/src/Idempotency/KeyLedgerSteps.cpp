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
    this->updateTimer(entry);
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
    case AttemptPhase::Unknown:
    case AttemptPhase::Released:
        return this->stepRecordingResult(entry);
    }
    return false;
}

bool KeyLedger::stepIdle(Entry& entry)
{
    if (entry.waiters.empty())
        return false;
    const KeyState* state = this->keyStates.find(entry.key.str());
    if (!state)
        return this->claim(entry, 1);
    if (!state->digest.empty() && state->digest != entry.digest) {
        this->refuseAll(entry, Refusal(ErrorCode::KeyReused, this->coverage.covers(entry.key) ? Ran::No : Ran::Unknown));
        return false;
    }
    switch (state->status) {
    case KeyStatus::Done:
        this->returnOutcomeToAll(entry, *state->outcome);
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
    if (const auto reason = this->claimError(entry)) {
        this->refuseAll(entry, *reason);
        return false;
    }
    entry.machine.claim();
    entry.attempt = { entry.key.str(), attempt, this->self };
    const auto latestWaiter = std::max_element(entry.waiters.begin(), entry.waiters.end(), [](const Waiter& left, const Waiter& right) {
        return left.deadline < right.deadline;
    });
    const WallTime startDeadline = this->now.wall() + (latestWaiter->deadline - this->now.monotonic());
    this->queue.put(entry.key.str(), ClaimRecord { entry.attempt, entry.digest, startDeadline }, this->now.monotonic());
    return true;
}

std::optional<ErrorCode> KeyLedger::claimError(const Entry& entry) const
{
    if (entry.key.time() > this->now.wall() + this->limits.maximumClockSkew)
        return ErrorCode::KeyInFuture;
    if (entry.key.time() < std::max(this->now.wall() - this->limits.keyLifetime, this->erasedBefore))
        return ErrorCode::KeyExpired;
    if (!this->coverage.covers(entry.key))
        return ErrorCode::LogTruncated;
    if (!this->platformAvailable)
        return ErrorCode::PlatformUnavailable;
    return std::nullopt;
}

bool KeyLedger::waitForHolder(Entry& entry, const KeyState& state)
{
    const KeyHolder& holder = state.attempt.holder;
    const bool ownEarlierProcess = holder.daemon == this->self.daemon && holder.incarnation < this->self.incarnation;
    const bool holderGone = ownEarlierProcess || this->keyStates.isSuperseded(holder);
    const TimePoint holderDeadline = this->now.monotonic() + (state.startDeadline + this->limits.maximumClockSkew - this->now.wall());
    if (holderGone || holderDeadline <= this->now.monotonic())
        this->refuseAll(entry, ErrorCode::OutcomeUnknown);
    else
        entry.holderDeadline = holderDeadline;
    return false;
}

bool KeyLedger::stepClaiming(Entry& entry)
{
    const KeyState* state = this->keyStates.find(entry.key.str());
    if (!state || (state->attempt.number < entry.attempt.number && state->status == KeyStatus::Released)) {
        if (this->coverage.hasGap() || this->coverage.covers(entry.key))
            return false;
        // This claim, or an earlier claim of another process, may be among the dropped records.
        this->refuseAll(entry, ErrorCode::LogTruncated);
        entry.abandonedClaimDeadline = this->now.monotonic();
        return false;
    }
    this->queue.erase(entry.key.str());
    // The claim may be an earlier, abandoned one of this process for a request with another digest.
    const bool own = state->attempt == entry.attempt && state->digest == entry.digest;
    if (own && state->status == KeyStatus::Claimed)
        return entry.machine.confirmClaim();
    return entry.machine.loseClaim();
}

bool KeyLedger::stepHeld(Entry& entry)
{
    this->expireWaiters(entry);
    if (this->coverage.hasGap() || this->cursor.lastCompletedRead() <= this->lastStaleRead)
        return false;
    if (!this->coverage.covers(entry.key))
        this->refuseAll(entry, ErrorCode::LogTruncated);
    if (entry.waiters.empty()) {
        entry.machine.release();
        return this->queueResult(entry, ReleaseRecord { entry.attempt });
    }
    entry.machine.send();
    this->outputs.emplace_back(RunAction { entry.key.str(), entry.waiters.front().request });
    return true;
}

bool KeyLedger::queueResult(Entry& entry, KeyRecordBody record)
{
    this->queue.put(entry.key.str(), std::move(record), this->now.monotonic());
    return true;
}

void KeyLedger::requeueResult(Entry& entry)
{
    if (entry.machine.phase() == AttemptPhase::Finished)
        this->queueResult(entry, OutcomeRecord { entry.attempt, dropLargeBody(*entry.outcome, this->limits.maximumBodyBytes) });
    if (entry.machine.phase() == AttemptPhase::Unknown)
        this->queueResult(entry, UnknownRecord { entry.attempt });
    if (entry.machine.phase() == AttemptPhase::Released)
        this->queueResult(entry, ReleaseRecord { entry.attempt });
    this->advance(entry.key.str());
}

bool KeyLedger::stepRecordingResult(Entry& entry)
{
    if (entry.machine.phase() == AttemptPhase::Finished)
        this->returnOutcomeToAll(entry, *entry.outcome);
    if (entry.machine.phase() == AttemptPhase::Unknown)
        this->refuseAll(entry, Refusal(ErrorCode::OutcomeUnknown, Ran::Unknown));
    const KeyState* state = this->keyStates.find(entry.key.str());
    const bool stored = !state || state->attempt != entry.attempt || state->status != KeyStatus::Claimed;
    if (!stored)
        return false;
    this->queue.erase(entry.key.str());
    entry.outcome.reset();
    return entry.machine.confirmStored();
}

void KeyLedger::expireWaiters(Entry& entry)
{
    const TimePoint time = this->now.monotonic();
    const bool holderExpired = entry.holderDeadline && *entry.holderDeadline <= time;
    const auto expired = [&](const Waiter& waiter) { return holderExpired || waiter.deadline <= time; };
    for (const Waiter& waiter : entry.waiters) {
        if (!expired(waiter))
            continue;
        const Ran ran = this->ranOf(entry, waiter);
        const ErrorCode code = ran == Ran::No ? ErrorCode::DeadlineExceeded : ErrorCode::OutcomeUnknown;
        this->refuse(waiter.request, Refusal(code, ran).retryAfter(this->limits.platformRetryDelay));
    }
    std::erase_if(entry.waiters, expired);
    if (holderExpired)
        entry.holderDeadline.reset();
}

void KeyLedger::updateTimer(Entry& entry)
{
    const bool abandoned = entry.machine.phase() == AttemptPhase::Claiming && entry.waiters.empty();
    if (abandoned && !entry.abandonedClaimDeadline)
        entry.abandonedClaimDeadline = this->now.monotonic() + this->limits.abandonedClaimTimeout;
    std::optional<TimePoint> next = abandoned ? entry.abandonedClaimDeadline : std::nullopt;
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
    const bool watched = !entry.abandonedClaimDeadline || this->now.monotonic() < *entry.abandonedClaimDeadline;
    return !watched || !this->queue.mayBeStored(entry.key.str());
}

Ran KeyLedger::ranOf(const Entry& entry, const Waiter& waiter) const
{
    switch (entry.machine.phase()) {
    case AttemptPhase::Idle:
        return waiter.firstUse && !this->keyStates.find(entry.key.str()) ? Ran::No : Ran::Unknown;
    case AttemptPhase::Claiming:
        return waiter.firstUse ? Ran::No : Ran::Unknown;
    case AttemptPhase::Held:
        return this->coverage.covers(entry.key) ? Ran::No : Ran::Unknown;
    case AttemptPhase::Released: // another process may have read the release and run the next attempt
    case AttemptPhase::Sent:
    case AttemptPhase::Finished:
    case AttemptPhase::Unknown:
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
        this->refuse(waiter.request, final ? refusal : refusal.retryAfter(this->limits.platformRetryDelay));
    }
}

void KeyLedger::refuseAll(Entry& entry, const Refusal& refusal)
{
    for (const Waiter& waiter : std::exchange(entry.waiters, {}))
        this->refuse(waiter.request, refusal);
}

void KeyLedger::returnOutcomeToAll(Entry& entry, const StoredOutcome& outcome)
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
