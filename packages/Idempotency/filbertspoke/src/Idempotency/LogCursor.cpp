#include <filbertspoke/Idempotency>

#include <algorithm>

namespace filbertspoke {

namespace {

// A log that never dropped a record counts its offsets from 0 or from 1.
constexpr LogOffset firstOffsetAtMost = 1;

}

std::optional<ReadKeyRecords> LogCursor::issue(TimePoint now)
{
    if (this->readTimeout || (!this->requested && now < this->nextRead))
        return std::nullopt;
    this->requested = false;
    this->readTimeout = now + this->limits.answerTimeout;
    ++this->issuedCount;
    return ReadKeyRecords { this->nextOffset };
}

LogIntake LogCursor::take(const std::vector<LogRecord>& records, LogOffset oldest, LogOffset next, TimePoint now)
{
    if (this->readTimeout) {
        this->readTimeout.reset();
        this->completedNumber = this->issuedCount;
    }
    this->nextRead = now + this->limits.silence;
    if (this->nextOffset == 0 && oldest == 0)
        this->nextOffset = std::min<LogOffset>(records.empty() ? next : records.front().offset, firstOffsetAtMost);
    LogIntake intake;
    if (oldest > this->nextOffset) {
        intake.truncated = true;
        this->nextOffset = oldest;
    }
    for (const LogRecord& record : records) {
        if (record.offset != this->nextOffset)
            continue;
        intake.records.push_back(record);
        ++this->nextOffset;
    }
    this->endOffset = std::max(this->endOffset, next);
    if (!this->caughtUp())
        this->requested = true;
    return intake;
}

void LogCursor::failed(TimePoint now)
{
    this->readTimeout.reset();
    this->requested = false;
    this->nextRead = now + this->limits.platformRetry;
}

TimePoint LogCursor::nextWake(TimePoint now) const
{
    if (this->readTimeout)
        return *this->readTimeout;
    return this->requested ? now : this->nextRead;
}

}
