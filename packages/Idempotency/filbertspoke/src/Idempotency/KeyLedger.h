#ifndef FILBERTSPOKE_KEY_LEDGER_H
#define FILBERTSPOKE_KEY_LEDGER_H

#include "AttemptMachine.h"
#include "CallerKey.h"
#include "KeyCoverage.h"
#include "KeyFold.h"
#include "KeyRecord.h"
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

/** \brief Runs the actions of caller keys at most once over all daemons.
 *
 * A daemon appends a claim to the log and reads it back; the first claim of an attempt in log
 * order has the right to send, once. What must never happen rests on that order and on each
 * attempt being sent once by the process that claimed it, never on a lease or a clock.
 *
 * Every function takes the time of its call and returns what to do. The driver calls wake() at
 * nextWake() at the latest, tells the fate of each RunAction by finish(), fail() or release(),
 * and the fate of each append and read.
 */
class KeyLedger {
public:
    KeyLedger(KeyHolder self, const LedgerLimits& limits = {});

    /** \name Callers
     * @{ */

    /** \brief Takes a request; ReturnOutcome or RefuseKeyedRequest answers it, now or later. */
    LedgerOutputs begin(const KeyedRequest&, const Now&);
    /** \brief The caller of a request is gone; it gets no answer. */
    LedgerOutputs leave(const RequestId&, const Now&);

    /** @}
     * \name The service
     * @{ */

    /** \brief The action ran, with this outcome. */
    LedgerOutputs finish(const std::string& key, const StoredOutcome&, const Now&);
    /** \brief The action was sent, and whether it ran can't be known. */
    LedgerOutputs fail(const std::string& key, const Now&);
    /** \brief The action did not run: no byte left, or the service said so.
     *
     * \param reason tells the requests that wait; its Ran must be No
     */
    LedgerOutputs release(const std::string& key, const Refusal& reason, const Now&);

    /** @}
     * \name The log
     * @{ */

    LedgerOutputs recordsRead(const std::vector<LogRecord>&, LogOffset oldest, LogOffset next, const Now&);
    LedgerOutputs readFailed(const Now&);
    LedgerOutputs appended(std::uint64_t append, const Now&);
    /** \param mayBeStored whether the log may have taken the records nevertheless */
    LedgerOutputs appendFailed(std::uint64_t append, bool mayBeStored, const Now&);

    /** @} */

    /** \brief Time has passed. */
    LedgerOutputs wake(const Now&);
    /** \returns when wake() must be called at the latest */
    TimePoint nextWake() const;

    /** \returns how many records of the log could not be read */
    std::uint64_t skippedRecords() const { return this->fold.skipped(); }
    /** \returns how many keys are remembered */
    std::size_t rememberedKeys() const { return this->fold.size(); }
    bool platformReachable() const { return this->platformUp; }
    /** \returns how many attempts of this process run or are not yet settled in the log */
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
        AttemptMachine machine;
        KeyAttempt attempt; ///< this process's own
        std::vector<Waiter> waiters;
        std::optional<TimePoint> holderDeadline; ///< how long to wait for another's attempt
        std::optional<TimePoint> settleDeadline; ///< how long to watch a claim that nobody wants
        std::optional<TimePoint> timer;
        std::optional<StoredOutcome> outcome;
    };

    // Time and the log.
    void observe(const Now&);
    LedgerOutputs takeOutputs();
    void applyRecords(const LogIntake&);
    void platformFailed();
    void settleLostAppends();
    void keepLogMarked();
    void forgetOldKeys();
    void fireTimers();

    // One key.
    void advance(const std::string& key);
    bool step(Entry&);
    bool stepIdle(Entry&);
    bool stepClaiming(Entry&);
    bool stepHeld(Entry&);
    bool stepSettling(Entry&);
    bool claim(Entry&, std::uint32_t attempt);
    bool settle(Entry&, KeyRecordBody record);
    void retrySettling(Entry&);
    bool waitForHolder(Entry&, const KeyState&);
    std::optional<ErrorCode> whyNotClaim(const Entry&) const;
    void expireWaiters(Entry&);
    void rearm(Entry&);
    bool isFinished(const Entry&) const;

    // Answers.
    Ran ranOf(const Entry&, const Waiter&) const;
    void refuse(const RequestId&, const Refusal&);
    void refuseAll(Entry&, ErrorCode);
    void refuseAll(Entry&, const Refusal&);
    void giveAll(Entry&, const StoredOutcome&);

    KeyHolder self;
    LedgerLimits limits;
    KeyFold fold;
    KeyCoverage coverage;
    LogCursor cursor;
    RecordQueue queue;
    std::map<std::string, Entry> entries;
    std::map<RequestId, std::string> requestKeys;
    std::set<std::pair<TimePoint, std::string>> timers;
    Now now;
    bool started = false;
    std::uint64_t staleReads = 0; ///< reads up to this number began before the last pause
    bool platformUp = true;
    TimePoint nextAppend {};
    WallTime lastRecord {};
    WallTime forgotten {};
    LedgerOutputs outputs;
};

}

#endif
