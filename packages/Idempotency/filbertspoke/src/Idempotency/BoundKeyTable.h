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

/** \brief Runs the actions of this process's bound keys at most once, from memory.
 *
 * It takes and returns the same values as KeyLedger, but needs no log. Only keys that this
 * process made are run; another process's keys must go to that process.
 */
class BoundKeyTable {
public:
    static constexpr std::size_t maximumFinished = 100000;

    explicit BoundKeyTable(KeyHolder self, std::size_t keptOutcomes = maximumFinished)
        : self(std::move(self))
        , keptOutcomes(keptOutcomes)
    {
    }

    /** \brief Makes a key that nobody has used. */
    BoundKey issueKey();

    /** \brief Takes a request with a key that names this daemon; the answer comes now or later. */
    LedgerOutputs begin(const KeyedRequest&, const BoundKey&, const Now&);
    /** \brief The caller of a request is gone; what was sent goes on. */
    void leave(const RequestId&);

    /** \brief The action ran, with this outcome. */
    LedgerOutputs finish(const std::string& key, const StoredOutcome&);
    /** \brief The action was sent, and whether it ran can't be known. */
    LedgerOutputs fail(const std::string& key);
    /** \brief The action did not run; a retry may run it. */
    LedgerOutputs release(const std::string& key, const Refusal& reason);

    /** \brief Answers the requests whose deadline has passed. */
    LedgerOutputs wake(const Now&);
    std::optional<TimePoint> nextWake() const;

private:
    enum class Status {
        Fresh, ///< nothing was sent, or what was sent did not run
        Sent,
        Done,
        Unknown,
    };

    struct Waiter {
        RequestId request;
        TimePoint deadline;
    };

    struct Entry {
        Status status = Status::Fresh;
        std::string digest;
        std::vector<Waiter> waiters;
        StoredOutcome outcome;
    };

    Entry* findSent(const std::string& key);
    std::optional<Refusal> check(const BoundKey&, const std::string& digest) const;
    LedgerOutputs refuseAll(Entry&, const Refusal&);
    LedgerOutputs giveAll(Entry&);
    void finished(std::uint64_t serial);
    void forgetTimer(const Waiter&);

    KeyHolder self;
    std::size_t keptOutcomes;
    std::uint64_t lastSerial = 0;
    std::uint64_t forgottenSerial = 0; ///< keys up to this one that are not in entries were forgotten
    std::map<std::uint64_t, Entry> entries;
    std::map<RequestId, std::uint64_t> requestSerials;
    std::set<std::pair<TimePoint, RequestId>> timers;
    std::deque<std::uint64_t> finishedOrder;
};

}

#endif
