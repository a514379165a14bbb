#ifndef FILBERTSPOKE_LEDGER_OUTPUT_H
#define FILBERTSPOKE_LEDGER_OUTPUT_H

#include "KeyRecord.h"

#include <filbertspoke/Core>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace filbertspoke {

/** \brief A request for an action with a caller key. */
struct KeyedRequest {
    RequestId request;
    std::string key; ///< as the caller sent it
    std::string digest; ///< \sa requestDigest
    TimePoint deadline;
    bool firstUse = false; ///< the caller says that it never sent the key before

    bool operator==(const KeyedRequest&) const = default;
};

/** \brief Appends records to the stream "actions", together and in order. */
struct AppendKeyRecords {
    std::uint64_t append = 0; ///< names the append in its answer
    std::vector<std::string> payloads;

    bool operator==(const AppendKeyRecords&) const = default;
};

/** \brief Reads the stream "actions". */
struct ReadKeyRecords {
    LogOffset from = 0;

    bool operator==(const ReadKeyRecords&) const = default;
};

/** \brief Runs the action of a key: said once for each attempt, by its holder. */
struct RunAction {
    std::string key; ///< canonical text
    RequestId request; ///< one of the requests that wait for the key

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

using LedgerOutput = std::variant<AppendKeyRecords, ReadKeyRecords, RunAction, ReturnOutcome, RefuseKeyedRequest>;

/** \brief What the ledger wants done, in this order. */
using LedgerOutputs = std::vector<LedgerOutput>;

}

#endif
