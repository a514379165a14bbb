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

/** \brief Progress of a record of this process towards the log. */
enum class RecordProgress {
    Queued, ///< waits for the next append
    InFlight, ///< part of the append in flight
    Appended, ///< the log acknowledged the record
    Unconfirmed, ///< the response was lost; only a read shows whether the log has the record
};

/** \brief Queue of the records that this process appends to the log, at most one per key.
 *
 * Records of many keys share one append, and at most one append is in flight, so that
 * LedgerLimits::appendBatchDelay limits the number of appends per second. A record stays in the
 * queue until the owner erases it after reading it back.
 */
class RecordQueue {
public:
    explicit RecordQueue(const LedgerLimits& limits)
        : limits(limits)
    {
    }

    /** \brief Queues the record of a key, replacing its previous record. */
    void put(const std::string& key, KeyRecordBody record, TimePoint now);
    /** \brief Removes the record of a key. */
    void erase(const std::string& key) { this->records.erase(key); }
    /** \returns whether the queue holds a record of the key */
    bool contains(const std::string& key) const { return this->records.contains(key); }
    /** \returns whether the log may have stored the record of the key */
    bool mayBeStored(const std::string& key) const;

    /** \brief Starts the next append if one is due and none is in flight.
     *
     * \param readUpTo all records of the log before this offset were read
     * \returns the append, or nothing
     */
    std::optional<AppendKeyRecords> flush(const Now&, LogOffset readUpTo);
    /** \brief Marks the records of an append as acknowledged by the log. */
    void appended(std::uint64_t appendId);
    /** \brief Processes the failure of an append.
     *
     * \param mayBeStored whether the log may have stored the records despite the failure
     * \param readsIssued number of reads issued before the failure was known
     * \returns the keys whose records are certainly not in the log; their records are removed
     */
    std::vector<std::string> appendFailed(std::uint64_t appendId, bool mayBeStored, std::uint64_t readsIssued);
    /** \brief Queues a record again if the response to its append was lost. */
    void requeue(const std::string& key, TimePoint now);
    /** \returns the number of appends that have included the record */
    unsigned appendAttempts(const std::string& key) const;
    /** \returns the keys whose records are unconfirmed and whose append failed before read number \a read was issued */
    std::vector<std::string> unconfirmedBefore(std::uint64_t read) const;

    /** \returns the ID of the append in flight if its response is overdue */
    std::optional<std::uint64_t> overdueAppend(TimePoint now) const;
    /** \returns when flush() or overdueAppend() must be called next, or nothing */
    std::optional<TimePoint> nextWake() const;

private:
    struct Entry {
        KeyRecordBody record;
        RecordProgress progress = RecordProgress::Queued;
        bool mayBeStored = false;
        std::uint64_t readsIssued = 0; ///< at the time of the failed append
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
