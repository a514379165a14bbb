#ifndef FILBERTSPOKE_KEY_RECORD_H
#define FILBERTSPOKE_KEY_RECORD_H

#include <filbertspoke/Core>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

namespace filbertspoke {

/** \brief A process of a daemon that may claim attempts; a restarted daemon is a different holder. */
struct KeyHolder {
    DaemonId daemon;
    std::uint64_t incarnation = 0; ///< start time of the process in microseconds since 1970

    auto operator<=>(const KeyHolder&) const = default;
};

/** \brief An attempt to run the action of a key; only its holder may run it. */
struct KeyAttempt {
    std::string key; ///< canonical text form of the CallerKey
    std::uint32_t number = 1; ///< attempts are numbered from 1; the next may be claimed after this one was released
    KeyHolder holder;

    auto operator<=>(const KeyAttempt&) const = default;
};

/** \brief A service's response to an action. */
struct StoredOutcome {
    std::uint32_t status = 0; ///< HTTP status
    std::string contentType;
    std::string body;
    bool bodyDropped = false; ///< the content type and body exceeded LedgerLimits::maximumBodyBytes and are not stored

    auto operator<=>(const StoredOutcome&) const = default;
};

/** \brief Drops a response body that is too large to be stored.
 *
 * \returns the outcome, without content type and body if these exceed \a maximumBodyBytes together
 */
StoredOutcome dropLargeBody(StoredOutcome outcome, std::size_t maximumBodyBytes);

/** \brief Claims an attempt: the writer of its first claim in log order becomes the holder. */
struct ClaimRecord {
    KeyAttempt attempt;
    std::string digest; ///< \sa requestDigest
    WallTime startDeadline; ///< the holder does not send the action after this time, by its clock

    auto operator<=>(const ClaimRecord&) const = default;
};

/** \brief The action did not run in this attempt and will not. */
struct ReleaseRecord {
    KeyAttempt attempt;

    auto operator<=>(const ReleaseRecord&) const = default;
};

/** \brief The action ran in this attempt, with this outcome. */
struct OutcomeRecord {
    KeyAttempt attempt;
    StoredOutcome outcome;

    auto operator<=>(const OutcomeRecord&) const = default;
};

/** \brief The action was sent in this attempt, and it cannot be determined whether it ran. */
struct UnknownRecord {
    KeyAttempt attempt;

    auto operator<=>(const UnknownRecord&) const = default;
};

/** \brief A record about a key in a newer format that this version cannot decode. */
struct UnsupportedRecord {
    std::string key;

    auto operator<=>(const UnsupportedRecord&) const = default;
};

/** \brief Marker record, which refers to no key; written when the log is idle.
 *
 * A reader of a truncated log needs a later record to bound the time at which the dropped ones were written.
 */
struct MarkerRecord {
    auto operator<=>(const MarkerRecord&) const = default;
};

/** \brief Contents of a record, by its kind. */
using KeyRecordBody = std::variant<ClaimRecord, ReleaseRecord, OutcomeRecord, UnknownRecord, UnsupportedRecord, MarkerRecord>;

/** \brief A record of the log's stream "actions". */
struct KeyRecord {
    WallTime createdAt; ///< by the writer's clock; the record may be appended much later
    LogOffset readUpTo = 0; ///< the writer had read all records before this offset when it created the record
    KeyRecordBody body;

    auto operator<=>(const KeyRecord&) const = default;
};

/** \returns the text form of the key to which the record refers, or null */
const std::string* keyOf(const KeyRecord&);

/** \brief Encodes a record for the log. \returns the record as JSON text */
std::string encodeKeyRecord(const KeyRecord&);

/** \brief Decodes a record from the log.
 *
 * A record of a newer format version that names its key becomes an UnsupportedRecord.
 *
 * \returns the record, ErrorCode::MalformedRecord or ErrorCode::UnsupportedVersion
 */
Result<KeyRecord> decodeKeyRecord(const std::string& payload);

}

#endif
