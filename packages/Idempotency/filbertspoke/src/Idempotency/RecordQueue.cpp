#include <filbertspoke/Idempotency>

#include <algorithm>
#include <utility>

namespace filbertspoke {

void RecordQueue::put(const std::string& key, KeyRecordBody record, TimePoint now)
{
    this->records[key] = Entry { std::move(record), RecordProgress::Queued, false, 0, 0 };
    this->enqueue(key, now);
}

bool RecordQueue::mayBeStored(const std::string& key) const
{
    const auto entry = this->records.find(key);
    if (entry == this->records.end())
        return false;
    return entry->second.mayBeStored || entry->second.progress != RecordProgress::Queued;
}

std::optional<AppendKeyRecords> RecordQueue::flush(const Now& now, LogOffset readUpTo)
{
    if (this->appendTimeout || !this->flushTime || now.monotonic() < *this->flushTime)
        return std::nullopt;
    AppendKeyRecords append;
    while (!this->queuedKeys.empty() && append.payloads.size() < this->limits.maximumBatchRecords) {
        const std::string key = std::move(this->queuedKeys.front());
        this->queuedKeys.pop_front();
        const auto entry = this->records.find(key);
        if (entry == this->records.end() || entry->second.progress != RecordProgress::Queued)
            continue;
        entry->second.progress = RecordProgress::InFlight;
        ++entry->second.appendAttempts;
        append.payloads.push_back(encodeKeyRecord({ now.wall(), readUpTo, entry->second.record }));
        this->inFlightKeys.push_back(key);
    }
    this->flushTime.reset();
    if (append.payloads.empty())
        return std::nullopt;
    if (!this->queuedKeys.empty())
        this->flushTime = now.monotonic() + this->limits.appendBatchDelay;
    append.appendId = ++this->lastAppendId;
    this->appendTimeout = now.monotonic() + this->limits.logResponseTimeout;
    return append;
}

void RecordQueue::appended(std::uint64_t appendId)
{
    for (const std::string& key : this->finishAppend(appendId))
        this->records.at(key).progress = RecordProgress::Appended;
}

std::vector<std::string> RecordQueue::appendFailed(std::uint64_t appendId, bool mayBeStored, std::uint64_t readsIssued)
{
    std::vector<std::string> absentKeys;
    for (const std::string& key : this->finishAppend(appendId)) {
        Entry& entry = this->records.at(key);
        entry.progress = RecordProgress::Unconfirmed;
        entry.mayBeStored = entry.mayBeStored || mayBeStored;
        entry.readsIssued = readsIssued;
        if (!entry.mayBeStored)
            absentKeys.push_back(key);
    }
    for (const std::string& key : absentKeys)
        this->records.erase(key);
    return absentKeys;
}

void RecordQueue::requeue(const std::string& key, TimePoint now)
{
    const auto entry = this->records.find(key);
    if (entry == this->records.end() || entry->second.progress != RecordProgress::Unconfirmed)
        return;
    entry->second.progress = RecordProgress::Queued;
    this->enqueue(key, now);
}

unsigned RecordQueue::appendAttempts(const std::string& key) const
{
    const auto entry = this->records.find(key);
    return entry == this->records.end() ? 0 : entry->second.appendAttempts;
}

std::vector<std::string> RecordQueue::unconfirmedBefore(std::uint64_t read) const
{
    std::vector<std::string> keys;
    for (const auto& [key, entry] : this->records) {
        if (entry.progress == RecordProgress::Unconfirmed && entry.readsIssued < read)
            keys.push_back(key);
    }
    return keys;
}

std::optional<std::uint64_t> RecordQueue::overdueAppend(TimePoint now) const
{
    if (!this->appendTimeout || now < *this->appendTimeout)
        return std::nullopt;
    return this->lastAppendId;
}

std::optional<TimePoint> RecordQueue::nextWake() const
{
    return this->appendTimeout ? this->appendTimeout : this->flushTime;
}

std::vector<std::string> RecordQueue::finishAppend(std::uint64_t appendId)
{
    if (!this->appendTimeout || appendId != this->lastAppendId)
        return {};
    this->appendTimeout.reset();
    std::vector<std::string> keys = std::exchange(this->inFlightKeys, {});
    std::erase_if(keys, [this](const std::string& key) {
        const auto entry = this->records.find(key);
        return entry == this->records.end() || entry->second.progress != RecordProgress::InFlight;
    });
    return keys;
}

void RecordQueue::enqueue(const std::string& key, TimePoint now)
{
    this->queuedKeys.push_back(key);
    if (!this->flushTime)
        this->flushTime = now + this->limits.appendBatchDelay;
}

}
