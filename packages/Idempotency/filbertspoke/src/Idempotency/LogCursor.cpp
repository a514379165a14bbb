#include <filbertspoke/Idempotency>

#include <algorithm>

namespace filbertspoke {

namespace {

// The first record of a log that has dropped none has offset 0 or 1.
constexpr LogOffset maximumFirstOffset = 1;

}

std::optional<ReadKeyRecords> LogCursor::issueRead(TimePoint now)
{
    if (this->readTimeout || (!this->readRequested && now < this->nextReadTime))
        return std::nullopt;
    this->readRequested = false;
    this->readTimeout = now + this->limits.logResponseTimeout;
    ++this->issuedCount;
    return ReadKeyRecords { this->nextReadOffset };
}

LogUpdate LogCursor::receive(const std::vector<LogRecord>& records, LogOffset oldest, LogOffset next, TimePoint now)
{
    if (this->readTimeout) {
        this->readTimeout.reset();
        this->completedNumber = this->issuedCount;
    }
    this->nextReadTime = now + this->limits.idleReadInterval;
    if (this->nextReadOffset == 0 && oldest == 0)
        this->nextReadOffset = std::min<LogOffset>(records.empty() ? next : records.front().offset, maximumFirstOffset);
    LogUpdate update;
    if (oldest > this->nextReadOffset) {
        update.truncated = true;
        this->nextReadOffset = oldest;
    }
    for (const LogRecord& record : records) {
        if (record.offset != this->nextReadOffset)
            continue;
        update.records.push_back(record);
        ++this->nextReadOffset;
    }
    this->logEndOffset = std::max(this->logEndOffset, next);
    if (!this->caughtUp())
        this->readRequested = true;
    return update;
}

void LogCursor::readFailed(TimePoint now)
{
    this->readTimeout.reset();
    this->readRequested = false;
    this->nextReadTime = now + this->limits.platformRetryDelay;
}

TimePoint LogCursor::nextWake(TimePoint now) const
{
    if (this->readTimeout)
        return *this->readTimeout;
    return this->readRequested ? now : this->nextReadTime;
}

}
