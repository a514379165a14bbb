#include <filbertspoke/Idempotency>

#include <algorithm>

namespace filbertspoke {

Result<KeyRecord> KeyStateTable::apply(const std::string& payload)
{
    Result<KeyRecord> record = decodeKeyRecord(payload);
    if (record)
        std::visit([this](const auto& body) { this->apply(body); }, record->body);
    else
        ++this->skippedCount;
    return record;
}

bool KeyStateTable::isSuperseded(const KeyHolder& holder) const
{
    const auto newest = this->newestIncarnations.find(holder.daemon);
    return newest != this->newestIncarnations.end() && newest->second > holder.incarnation;
}

void KeyStateTable::recordIncarnation(const KeyHolder& holder)
{
    std::uint64_t& newest = this->newestIncarnations[holder.daemon];
    newest = std::max(newest, holder.incarnation);
}

const KeyState* KeyStateTable::find(const std::string& key) const
{
    const auto state = this->states.find(key);
    return state == this->states.end() ? nullptr : &state->second;
}

void KeyStateTable::eraseBefore(const std::string& key)
{
    this->states.erase(this->states.begin(), this->states.lower_bound(key));
}

void KeyStateTable::apply(const ClaimRecord& record)
{
    this->recordIncarnation(record.attempt.holder);
    const KeyState* current = this->find(record.attempt.key);
    const bool allowed = current
        ? current->status == KeyStatus::Released && record.attempt.number == current->attempt.number + 1
        : record.attempt.number == 1;
    if (allowed)
        this->states[record.attempt.key] = KeyState { record.attempt, record.digest, record.startDeadline, KeyStatus::Claimed, std::nullopt };
}

void KeyStateTable::apply(const ReleaseRecord& record)
{
    if (KeyState* state = this->findClaimed(record.attempt))
        state->status = KeyStatus::Released;
}

void KeyStateTable::apply(const OutcomeRecord& record)
{
    if (KeyState* state = this->findClaimed(record.attempt)) {
        state->status = KeyStatus::Done;
        state->outcome = record.outcome;
    }
}

void KeyStateTable::apply(const UnknownRecord& record)
{
    if (KeyState* state = this->findClaimed(record.attempt))
        state->status = KeyStatus::Unknown;
}

void KeyStateTable::apply(const UnsupportedRecord& record)
{
    // The record may be a claim on which a daemon of a newer version has acted, so the key must not be run.
    ++this->skippedCount;
    KeyState& state = this->states[record.key];
    if (state.status != KeyStatus::Done)
        state.status = KeyStatus::Unknown;
}

void KeyStateTable::apply(const MarkerRecord&)
{
}

KeyState* KeyStateTable::findClaimed(const KeyAttempt& attempt)
{
    const auto state = this->states.find(attempt.key);
    const bool claimed = state != this->states.end() && state->second.status == KeyStatus::Claimed && state->second.attempt == attempt;
    return claimed ? &state->second : nullptr;
}

}
