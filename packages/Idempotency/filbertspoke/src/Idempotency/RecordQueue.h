#ifndef FILBERTSPOKE_RECORD_QUEUE_H
#define FILBERTSPOKE_RECORD_QUEUE_H

#include "KeyRecord.h"
#include "LedgerLimits.h"
#include "LedgerOutput.h"

#include <filbertspoke/Core>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace filbertspoke {

/** \brief How far a record of this process is on its way into the log. */
enum class RecordProgress {
    Queued,
    InFlight,
    Appended, ///< the log said that it has the record
    Unconfirmed, ///< the log's answer was lost; reading the log tells
};

/** \brief The records that this process wants in the log, at most one for each key.
 *
 * Records of many keys share one append, and one append is in flight at a time, so that the
 * number of appends a second is bounded by LedgerLimits::appendBatchDelay. A record stays here until
 * the owner has read it back.
 */
class RecordQueue {
public:
    explicit RecordQueue(const LedgerLimits& limits)
        : limits(limits)
    {
    }

    /** \brief Queues the record of a key in place of the one before it. */
    void put(const std::string& key, KeyRecordBody record, TimePoint now);
    /** \brief Forgets the record of a key. */
    void erase(const std::string& key) { this->records.erase(key); }
    bool contains(const std::string& key) const { return this->records.contains(key); }
    /** \returns whether the log may hold the record */
    bool mayBeStored(const std::string& key) const;

    /** \param readUpTo all records of the log before this offset were read
     * \returns the next append, when one is due
     */
    std::optional<AppendKeyRecords> flush(const Now&, LogOffset readUpTo);
    /** \brief The log took the records of an append. */
    void appended(std::uint64_t appendId);
    /** \brief An append failed.
     *
     * \param mayBeStored whether the log may have taken the records nevertheless
     * \param readsIssued how many reads began before the failure was known
     * \returns the keys whose records are surely not in the log; these are forgotten here
     */
    std::vector<std::string> appendFailed(std::uint64_t appendId, bool mayBeStored, std::uint64_t readsIssued);
    /** \brief Queues a record again whose answer was lost. */
    void requeue(const std::string& key, TimePoint now);
    /** \returns how often the record was handed to the log */
    unsigned appendAttempts(const std::string& key) const;
    /** \returns the keys whose lost answer is settled by a read that began as number \a read */
    std::vector<std::string> unconfirmedBefore(std::uint64_t read) const;

    /** \returns the append whose answer is overdue */
    std::optional<std::uint64_t> overdueAppend(TimePoint now) const;
    std::optional<TimePoint> nextWake() const;

private:
    struct Entry {
        KeyRecordBody record;
        RecordProgress progress = RecordProgress::Queued;
        bool mayBeStored = false;
        std::uint64_t readsIssued = 0;
        unsigned appendAttempts = 0;
    };

    std::vector<std::string> finishAppend(std::uint64_t appendId);
    void enqueue(const std::string& key, TimePoint now);

    LedgerLimits limits;
    std::map<std::string, Entry> records;
    std::deque<std::string> queuedKeys;
    std::optional<TimePoint> flushTime;
    std::uint64_t lastAppendId = 0;
    std::optional<TimePoint> appendTimeout; ///< set while an append is in flight
    std::vector<std::string> inFlightKeys;
};

}

#endif
