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

/** \brief A change came into force. */
struct ChangeAccepted {
    Approval approval;
    std::optional<LogOffset> base;

    auto operator<=>(const ChangeAccepted&) const = default;
};

/** \brief A change was refused by every daemon. */
struct ChangeRefused {
    Approval approval;
    std::optional<LogOffset> base;
    ErrorCode reason = ErrorCode::MalformedRecord;
    std::optional<LogOffset> winner; ///< the revision that was in force instead, where that is the reason

    auto operator<=>(const ChangeRefused&) const = default;
};

/** \brief A change older than the oldest checkpoint that counts; whether it was accepted can't be told any more. */
struct ChangeUndecided {
    Approval approval;
    std::optional<LogOffset> base;

    auto operator<=>(const ChangeUndecided&) const = default;
};

/** \brief What a checkpoint meant to the reader. */
enum class CheckpointUse {
    Adopted, ///< the reader's state starts from it
    NotNeeded, ///< the reader's own state agrees with it
    TooOld, ///< records after it are gone, so that it may hold an old configuration
    Disagrees, ///< the reader read other records than the checkpoint's writer says; it is ignored
    Invalid, ///< its answers don't give its hashes, or it covers records after itself
};

/** \returns the use in lower-case words with hyphens, for example "too-old" */
std::string_view name(CheckpointUse);

/** \brief A checkpoint was read. */
struct CheckpointRead {
    DaemonId daemon;
    LogOffset next = 0;
    CheckpointUse use = CheckpointUse::NotNeeded;

    auto operator<=>(const CheckpointRead&) const = default;
};

/** \brief A record was skipped: no record at all, or of a newer version. */
struct RecordSkipped {
    ErrorCode reason = ErrorCode::MalformedRecord;

    auto operator<=>(const RecordSkipped&) const = default;
};

/** \brief What one record of the configuration stream did. */
struct AuditEntry {
    LogOffset offset = 0;
    std::variant<ChangeAccepted, ChangeRefused, ChangeUndecided, CheckpointRead, RecordSkipped> outcome;

    auto operator<=>(const AuditEntry&) const = default;
};

/** \returns the entry in one line of words, without the answers */
std::string describe(const AuditEntry&);

/** \returns the entry as a JSON object, with the answers */
std::string auditEntryJson(const AuditEntry&);

/** \returns a time as "2026-12-03T22:10:00.000Z", in UTC */
std::string describe(WallTime);

}

#endif
