#ifndef FILBERTSPOKE_KEY_LEDGER_H
#define FILBERTSPOKE_KEY_LEDGER_H

#include "AttemptStateMachine.h"
#include "CallerKey.h"
#include "KeyCoverage.h"
#include "KeyRecord.h"
#include "KeyStateTable.h"
#include "LedgerLimits.h"
#include "LedgerOutput.h"
#include "LogCursor.h"
#include "RecordQueue.h"

#include <filbertspoke/Core>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace filbertspoke {

/** \brief Runs the action of each caller key at most once across all daemons.
 *
 * A daemon appends a claim to the log and reads it back; the writer of the first claim of an attempt
 * in log order may send the action, once. The at-most-once guarantee depends only on the log order
 * and on each attempt being sent once by the process that claimed it, not on leases or clocks.
 *
 * Every function takes the time of its call and returns the outputs that the driver must perform. The
 * driver calls wake() at nextWake() at the latest, reports the result of each RunAction by finish(),
 * fail() or release(), and reports the result of each append and read.
 */
class KeyLedger {
public:
    /** \param self the process that claims and runs the attempts of this ledger */
    KeyLedger(KeyHolder self, const LedgerLimits& limits = {});

    /** \name Callers
     * @{ */

    /** \brief Accepts a request; this call or a later one answers it by ReturnOutcome or RefuseKeyedRequest. */
    LedgerOutputs begin(const KeyedRequest&, const Now&);
    /** \brief Drops a request whose caller has disconnected; it is not answered. */
    LedgerOutputs leave(const RequestId&, const Now&);

    /** @}
     * \name The service
     * @{ */

    /** \brief Records that the action ran, with this outcome. */
    LedgerOutputs finish(const std::string& key, const StoredOutcome&, const Now&);
    /** \brief Records that the action was sent and that it cannot be determined whether it ran. */
    LedgerOutputs fail(const std::string& key, const Now&);
    /** \brief Records that the action did not run: no byte was sent, or the service reported so.
     *
     * \param reason the refusal given to the waiting requests; its Ran must be No
     */
    LedgerOutputs release(const std::string& key, const Refusal& reason, const Now&);

    /** @}
     * \name The log
     * @{ */

    /** \brief Processes the response to a read, or records delivered without a read.
     *
     * \param oldest the offset of the oldest record that the log retains
     * \param next the offset that the log's next record will get
     */
    LedgerOutputs recordsRead(const std::vector<LogRecord>&, LogOffset oldest, LogOffset next, const Now&);
    /** \brief Processes the failure of the read in flight. */
    LedgerOutputs readFailed(const Now&);
    /** \brief Processes the log's acknowledgement of an append. */
    LedgerOutputs appended(std::uint64_t appendId, const Now&);
    /** \brief Processes the failure of an append.
     *
     * \param mayBeStored whether the log may have stored the records despite the failure
     */
    LedgerOutputs appendFailed(std::uint64_t appendId, bool mayBeStored, const Now&);

    /** @} */

    /** \brief Fires timers, deletes expired keys, and issues the appends and reads that are due. */
    LedgerOutputs wake(const Now&);
    /** \returns the latest time at which wake() must be called next */
    TimePoint nextWake() const;

    /** \returns the number of log records that could not be decoded */
    std::uint64_t skippedRecords() const { return this->keyStates.skipped(); }
    /** \returns the number of keys whose state is stored */
    std::size_t storedKeys() const { return this->keyStates.size(); }
    /** \returns whether no read has failed and no append was rejected since the log's latest response */
    bool platformReachable() const { return this->platformAvailable; }
    /** \returns the number of attempts of this process whose claim, but not yet their result, is confirmed in the log */
    std::size_t unresolvedAttempts() const;

private:
    struct Waiter {
        RequestId request;
        TimePoint deadline;
        bool firstUse = false;
    };

    struct Entry {
        explicit Entry(const CallerKey& key, std::string digest)
            : key(key)
            , digest(std::move(digest))
        {
        }

        CallerKey key;
        std::string digest;
        AttemptStateMachine machine;
        KeyAttempt attempt; ///< the attempt made by this process
        std::vector<Waiter> waiters;
        std::optional<TimePoint> holderDeadline; ///< when to stop waiting for another process's attempt
        std::optional<TimePoint> abandonedClaimDeadline; ///< when to drop a claim that has no waiting requests
        std::optional<TimePoint> timer; ///< the time of this key in timers
        std::optional<StoredOutcome> outcome; ///< of this process's attempt while Finished
    };

    // Clock and log.
    void advanceClock(const Now&);
    LedgerOutputs takeOutputs();
    void applyRecords(const LogUpdate&);
    void handlePlatformFailure();
    void resolveUnconfirmedAppends();
    void queueMarkerIfDue();
    void eraseExpiredKeys();
    void fireTimers();

    // Steps of a single key.
    void advance(const std::string& key);
    bool step(Entry&);
    bool stepIdle(Entry&);
    bool stepClaiming(Entry&);
    bool stepHeld(Entry&);
    bool stepRecordingResult(Entry&);
    bool claim(Entry&, std::uint32_t attempt);
    bool queueResult(Entry&, KeyRecordBody record);
    void requeueResult(Entry&);
    bool waitForHolder(Entry&, const KeyState&);
    std::optional<ErrorCode> claimError(const Entry&) const;
    void expireWaiters(Entry&);
    void updateTimer(Entry&);
    bool isFinished(const Entry&) const;

    // Answers to requests.
    Ran ranOf(const Entry&, const Waiter&) const;
    void refuse(const RequestId&, const Refusal&);
    void refuseAll(Entry&, ErrorCode);
    void refuseAll(Entry&, const Refusal&);
    void returnOutcomeToAll(Entry&, const StoredOutcome&);

    KeyHolder self;
    LedgerLimits limits;
    KeyStateTable keyStates;
    KeyCoverage coverage;
    LogCursor cursor;
    RecordQueue queue;
    std::map<std::string, Entry> entries;
    std::map<RequestId, std::string> requestKeys;
    std::set<std::pair<TimePoint, std::string>> timers;
    Now now;
    bool started = false;
    std::uint64_t lastStaleRead = 0; ///< reads up to this number were issued before the latest pause of the process
    bool platformAvailable = true;
    TimePoint earliestAppend {};
    WallTime lastRecordTime {}; ///< creation time of the latest record read
    WallTime erasedBefore {}; ///< keys created before this time were deleted
    LedgerOutputs outputs;
};

}

#endif
