#ifndef FILBERTSPOKE_LEDGER_OUTPUT_H
#define FILBERTSPOKE_LEDGER_OUTPUT_H

#include "KeyRecord.h"

#include <filbertspoke/Core>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace filbertspoke {

/** \brief A request to run an action under an idempotency key. */
struct KeyedRequest {
    RequestId request;
    std::string key; ///< text form of the key, as sent by the caller
    std::string digest; ///< \sa requestDigest
    TimePoint deadline; ///< the request is refused at this time if it has no outcome
    bool firstUse = false; ///< the caller states that it has not sent the key before

    bool operator==(const KeyedRequest&) const = default;
};

/** \brief Requests that records be appended to the log's stream "actions" in one append, in order. */
struct AppendKeyRecords {
    std::uint64_t appendId = 0; ///< identifies the append when its result is reported
    std::vector<std::string> payloads;

    bool operator==(const AppendKeyRecords&) const = default;
};

/** \brief Requests a read of the log's stream "actions". */
struct ReadKeyRecords {
    LogOffset from = 0; ///< offset of the first record to read

    bool operator==(const ReadKeyRecords&) const = default;
};

/** \brief Requests that the action of a key be run; issued once per attempt, by its holder. */
struct RunAction {
    std::string key; ///< canonical text form of the key
    RequestId request; ///< one of the requests that wait for the outcome

    bool operator==(const RunAction&) const = default;
};

/** \brief Answers a request with the outcome of its action. */
struct ReturnOutcome {
    RequestId request;
    StoredOutcome outcome;

    bool operator==(const ReturnOutcome&) const = default;
};

/** \brief Ends a request without an outcome. */
struct RefuseKeyedRequest {
    RequestId request;
    Refusal refusal;

    bool operator==(const RefuseKeyedRequest&) const = default;
};

/** \brief An operation that the driver performs for a KeyLedger or BoundKeyTable. */
using LedgerOutput = std::variant<AppendKeyRecords, ReadKeyRecords, RunAction, ReturnOutcome, RefuseKeyedRequest>;

/** \brief Outputs that the driver performs in this order. */
using LedgerOutputs = std::vector<LedgerOutput>;

}

#endif
