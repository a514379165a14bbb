#include <filbertspoke/Idempotency>

namespace filbertspoke {

void KeyFold::apply(const std::string& payload)
{
    const Result<KeyRecord> record = decodeKeyRecord(payload);
    if (!record) {
        ++this->skippedCount;
        return;
    }
    std::visit([this](const auto& alternative) { this->apply(alternative); }, *record);
}

const KeyState* KeyFold::find(const std::string& key) const
{
    const auto state = this->states.find(key);
    return state == this->states.end() ? nullptr : &state->second;
}

void KeyFold::forgetBefore(const std::string& key)
{
    this->states.erase(this->states.begin(), this->states.lower_bound(key));
}

void KeyFold::apply(const ClaimRecord& record)
{
    const KeyState* current = this->find(record.attempt.key);
    const bool next = current
        ? current->status == KeyStatus::Released && record.attempt.number == current->attempt.number + 1
        : record.attempt.number == 1;
    if (next)
        this->states[record.attempt.key] = KeyState { record.attempt, record.digest, record.until, KeyStatus::Claimed, std::nullopt };
}

void KeyFold::apply(const ReleaseRecord& record)
{
    if (KeyState* state = this->findClaimed(record.attempt))
        state->status = KeyStatus::Released;
}

void KeyFold::apply(const OutcomeRecord& record)
{
    if (KeyState* state = this->findClaimed(record.attempt)) {
        state->status = KeyStatus::Done;
        state->outcome = record.outcome;
    }
}

void KeyFold::apply(const UnknownRecord& record)
{
    if (KeyState* state = this->findClaimed(record.attempt))
        state->status = KeyStatus::Unknown;
}

void KeyFold::apply(const UnsupportedRecord& record)
{
    // The record may be a claim that another daemon has acted on: nobody here may run the key.
    ++this->skippedCount;
    KeyState& state = this->states[record.key];
    if (state.status != KeyStatus::Done)
        state.status = KeyStatus::Unknown;
}

KeyState* KeyFold::findClaimed(const KeyAttempt& attempt)
{
    const auto state = this->states.find(attempt.key);
    const bool claimed = state != this->states.end() && state->second.status == KeyStatus::Claimed && state->second.attempt == attempt;
    return claimed ? &state->second : nullptr;
}

}
