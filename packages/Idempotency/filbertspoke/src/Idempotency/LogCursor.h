#ifndef FILBERTSPOKE_LOG_CURSOR_H
#define FILBERTSPOKE_LOG_CURSOR_H

#include "LedgerLimits.h"
#include "LedgerOutput.h"

#include <filbertspoke/Core>

#include <cstdint>
#include <optional>
#include <vector>

namespace filbertspoke {

/** \brief What an answer of the log brought. */
struct LogUpdate {
    std::vector<LogRecord> records; ///< the next records, in order
    bool truncated = false; ///< the log dropped records before these unread
};

/** \brief Follows a stream of the log from front to back.
 *
 * The records may come unasked, as the driver follows the stream; a read is asked for where the
 * present end of the log matters, and when the driver has been silent for long.
 */
class LogCursor {
public:
    explicit LogCursor(const LedgerLimits& limits)
        : limits(limits)
    {
    }

    /** \brief Wants a read that begins after this call. */
    void requestRead() { this->readRequested = true; }

    /** \returns the next read, when one is due */
    std::optional<ReadKeyRecords> issueRead(TimePoint now);
    /** \brief Takes the answer to a read, or records that came unasked.
     *
     * \param oldest the oldest offset that the log still keeps
     * \param next the offset that the log's next record will get
     */
    LogUpdate receive(const std::vector<LogRecord>& records, LogOffset oldest, LogOffset next, TimePoint now);
    /** \brief The read failed. */
    void readFailed(TimePoint now);

    /** \returns how many reads began */
    std::uint64_t readsIssued() const { return this->issuedCount; }
    /** \returns the number of the latest read that was answered */
    std::uint64_t lastCompletedRead() const { return this->completedNumber; }
    /** \returns whether every record was read that the log had at its latest answer */
    bool caughtUp() const { return this->nextReadOffset >= this->logEndOffset; }
    /** \returns the offset that is read next */
    LogOffset position() const { return this->nextReadOffset; }
    bool isOverdue(TimePoint now) const { return this->readTimeout && now >= *this->readTimeout; }
    TimePoint nextWake(TimePoint now) const;

private:
    LedgerLimits limits;
    LogOffset nextReadOffset = 0;
    LogOffset logEndOffset = 0; ///< of the log, by its latest answer
    bool readRequested = true;
    TimePoint nextRead {};
    std::optional<TimePoint> readTimeout; ///< set while a read is in flight
    std::uint64_t issuedCount = 0;
    std::uint64_t completedNumber = 0;
};

}

#endif
