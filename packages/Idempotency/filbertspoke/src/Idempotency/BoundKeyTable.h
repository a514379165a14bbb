#ifndef FILBERTSPOKE_BOUND_KEY_TABLE_H
#define FILBERTSPOKE_BOUND_KEY_TABLE_H

#include "BoundKey.h"
#include "KeyRecord.h"
#include "LedgerOutput.h"

#include <filbertspoke/Core>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace filbertspoke {

/** \brief Runs the action of each bound key of this process at most once, with all state in memory.
 *
 * The functions have the inputs and outputs of KeyLedger but use no log. Only keys issued by this
 * process are run; the user of this class forwards other keys to the process that issued them.
 */
class BoundKeyTable {
public:
    /** \brief Default number of finished keys whose result is kept. */
    static constexpr std::size_t defaultOutcomeCapacity = 100000;

    /** \param outcomeCapacity number of finished keys whose result is kept; the oldest is evicted first */
    explicit BoundKeyTable(KeyHolder self, std::size_t outcomeCapacity = defaultOutcomeCapacity)
        : self(std::move(self))
        , outcomeCapacity(outcomeCapacity)
    {
    }

    /** \brief Issues a new key. \returns the key, unique within all processes of this daemon */
    BoundKey issueKey();

    /** \brief Accepts a request with a key that names this daemon.
     *
     * \returns RunAction for the first request of a key, and the answers that are known already;
     * any other answer comes from a later call
     */
    LedgerOutputs begin(const KeyedRequest&, const BoundKey&, const Now&);
    /** \brief Drops a request whose caller has disconnected; an action that was sent continues. */
    void leave(const RequestId&);

    /** \brief Records that the action ran, with this outcome. \returns the answers to the waiting requests */
    LedgerOutputs finish(const std::string& key, const StoredOutcome&);
    /** \brief Records that it cannot be determined whether the action ran. \returns the answers to the waiting requests */
    LedgerOutputs fail(const std::string& key);
    /** \brief Records that the action did not run, so that a retry may run it.
     *
     * \param reason the refusal given to the waiting requests
     * \returns the answers to the waiting requests
     */
    LedgerOutputs release(const std::string& key, const Refusal& reason);

    /** \brief Refuses the requests whose deadline has passed. \returns the refusals */
    LedgerOutputs wake(const Now&);
    /** \returns when wake() must be called next, or nothing while no request waits */
    std::optional<TimePoint> nextWake() const;

private:
    enum class Status {
        NotRun, ///< the action was not sent, or was sent and did not run
        Sent,
        Done,
        Unknown,
    };

    struct Waiter {
        RequestId request;
        TimePoint deadline;
    };

    struct Entry {
        Status status = Status::NotRun;
        std::string digest;
        std::vector<Waiter> waiters;
        StoredOutcome outcome;
    };

    Entry* findSent(const std::string& key);
    std::optional<Refusal> check(const BoundKey&, const std::string& digest) const;
    LedgerOutputs refuseAll(Entry&, const Refusal&);
    LedgerOutputs returnOutcomeToAll(Entry&);
    void recordFinished(std::uint64_t serial);
    void removeFromIndexes(const Waiter&);

    KeyHolder self;
    std::size_t outcomeCapacity;
    std::uint64_t lastSerial = 0;
    std::uint64_t evictedSerial = 0; ///< keys up to this serial that are not in entries were evicted
    std::map<std::uint64_t, Entry> entries;
    std::map<RequestId, std::uint64_t> requestSerials;
    std::set<std::pair<TimePoint, RequestId>> timers;
    std::deque<std::uint64_t> finishedSerials;
};

}

#endif
