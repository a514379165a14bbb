#ifndef FILBERTSPOKE_AUDIT_ENTRY_H
#define FILBERTSPOKE_AUDIT_ENTRY_H

#include "ConfigurationRecord.h"

#include <filbertspoke/Core>

#include <compare>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace filbertspoke {

/** \brief Outcome of a change that came into force. */
struct ChangeAccepted {
    Approval approval;
    std::optional<LogOffset> base;

    auto operator<=>(const ChangeAccepted&) const = default;
};

/** \brief Outcome of a change that every daemon refuses. */
struct ChangeRefused {
    Approval approval;
    std::optional<LogOffset> base;
    ErrorCode reason = ErrorCode::MalformedRecord;
    std::optional<LogOffset> winner; ///< the revision in force at that time, when the change was refused because of it

    auto operator<=>(const ChangeRefused&) const = default;
};

/** \brief Outcome of a change whose acceptance cannot be determined, since the log has dropped records before it. */
struct ChangeUndecided {
    Approval approval;
    std::optional<LogOffset> base;

    auto operator<=>(const ChangeUndecided&) const = default;
};

/** \brief How a reader used a checkpoint. */
enum class CheckpointUse {
    Adopted, ///< the reader restored its state from it
    NotNeeded, ///< the reader already has a state that is consistent with it, or cannot compare the two
    TooOld, ///< the log has dropped records after it, so it may contain a configuration that has been replaced
    Disagrees, ///< it contradicts the records that the reader has applied; it is ignored
    Invalid, ///< the configuration generated from its answers does not match its hashes, or it claims to cover records after itself
};

/** \returns the use in lower-case words with hyphens, for example "too-old" */
std::string_view name(CheckpointUse);

/** \brief Outcome of a checkpoint. */
struct CheckpointRead {
    DaemonId daemon;
    LogOffset next = 0; ///< offset of the first record that the checkpoint does not cover
    CheckpointUse use = CheckpointUse::NotNeeded;

    auto operator<=>(const CheckpointRead&) const = default;
};

/** \brief Outcome of a record that was skipped because it is malformed, of another kind or of a newer version. */
struct RecordSkipped {
    ErrorCode reason = ErrorCode::MalformedRecord;

    auto operator<=>(const RecordSkipped&) const = default;
};

/** \brief Effect of one record of the configuration stream. */
struct AuditEntry {
    LogOffset offset = 0;
    std::variant<ChangeAccepted, ChangeRefused, ChangeUndecided, CheckpointRead, RecordSkipped> outcome;

    auto operator<=>(const AuditEntry&) const = default;
};

/** \returns the entry as one line of text, without the answers */
std::string describe(const AuditEntry&);

/** \returns the entry as a JSON object, with the answers */
std::string auditEntryJson(const AuditEntry&);

/** \returns a time in UTC as ISO 8601 with milliseconds, for example "2026-12-03T22:10:00.000Z" */
std::string describe(WallTime);

}

#endif
