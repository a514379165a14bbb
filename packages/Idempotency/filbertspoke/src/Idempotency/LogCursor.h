#ifndef FILBERTSPOKE_LOG_CURSOR_H
#define FILBERTSPOKE_LOG_CURSOR_H

#include "LedgerLimits.h"
#include "LedgerOutput.h"

#include <filbertspoke/Core>

#include <cstdint>
#include <optional>
#include <vector>

namespace filbertspoke {

/** \brief New records received from the log. */
struct LogUpdate {
    std::vector<LogRecord> records; ///< the next records, in order
    bool truncated = false; ///< the log dropped unread records before these
};

/** \brief Reads a stream of the log in order.
 *
 * The driver follows the stream and may deliver records without a read. The cursor issues a read
 * when the owner needs the current end of the log and when no records have arrived for
 * LedgerLimits::idleReadInterval.
 */
class LogCursor {
public:
    explicit LogCursor(const LedgerLimits& limits)
        : limits(limits)
    {
    }

    /** \brief Requests a read that is issued after this call. */
    void requestRead() { this->readRequested = true; }

    /** \brief Issues a read if one is due and none is in flight. \returns the read, or nothing */
    std::optional<ReadKeyRecords> issueRead(TimePoint now);
    /** \brief Processes the response to a read, or records delivered without a read.
     *
     * \param oldest the offset of the oldest record that the log retains
     * \param next the offset that the log's next record will get
     * \returns the records that follow those received before
     */
    LogUpdate receive(const std::vector<LogRecord>& records, LogOffset oldest, LogOffset next, TimePoint now);
    /** \brief Ends the read in flight as failed; the next one is issued after LedgerLimits::platformRetryDelay. */
    void readFailed(TimePoint now);

    /** \returns the number of reads issued; reads are numbered from 1 */
    std::uint64_t readsIssued() const { return this->issuedCount; }
    /** \returns the number of the latest read that received a response */
    std::uint64_t lastCompletedRead() const { return this->completedNumber; }
    /** \returns whether all records that the log had at its latest response were received */
    bool caughtUp() const { return this->nextReadOffset >= this->logEndOffset; }
    /** \returns the offset of the next record to read */
    LogOffset position() const { return this->nextReadOffset; }
    /** \returns whether the response to the read in flight is overdue */
    bool isOverdue(TimePoint now) const { return this->readTimeout && now >= *this->readTimeout; }
    /** \returns when issueRead() or isOverdue() must be called next */
    TimePoint nextWake(TimePoint now) const;

private:
    LedgerLimits limits;
    LogOffset nextReadOffset = 0;
    LogOffset logEndOffset = 0; ///< end offset of the log, as of its latest response
    bool readRequested = true;
    TimePoint nextReadTime {};
    std::optional<TimePoint> readTimeout; ///< set while a read is in flight
    std::uint64_t issuedCount = 0;
    std::uint64_t completedNumber = 0;
};

}

#endif
