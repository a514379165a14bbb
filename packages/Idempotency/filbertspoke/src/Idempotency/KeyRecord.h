#ifndef FILBERTSPOKE_KEY_RECORD_H
#define FILBERTSPOKE_KEY_RECORD_H

#include <filbertspoke/Core>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

namespace filbertspoke {

/** \brief One process of a daemon: a restarted daemon is another holder. */
struct KeyHolder {
    DaemonId daemon;
    std::uint64_t incarnation = 0; ///< start time of the process in microseconds since 1970

    auto operator<=>(const KeyHolder&) const = default;
};

/** \brief One attempt to run the action of a key; its holder is the only one who may run it. */
struct KeyAttempt {
    std::string key; ///< canonical text of the CallerKey
    std::uint32_t number = 1; ///< the next attempt is allowed once this one is released
    KeyHolder holder;

    auto operator<=>(const KeyAttempt&) const = default;
};

/** \brief What a service answered to an action. */
struct StoredOutcome {
    std::uint32_t status = 0; ///< HTTP status
    std::string contentType;
    std::string body;
    bool bodyDropped = false; ///< the body was larger than the log should carry

    auto operator<=>(const StoredOutcome&) const = default;
};

/** \returns the outcome, without its body when that is larger than \a maximumBodyBytes bytes */
StoredOutcome dropLargeBody(StoredOutcome outcome, std::size_t maximumBodyBytes);

/** \brief Asks for the right to run an attempt; the first claim in log order has it. */
struct ClaimRecord {
    KeyAttempt attempt;
    std::string digest; ///< \sa requestDigest
    WallTime startDeadline; ///< the holder starts nothing after this

    auto operator<=>(const ClaimRecord&) const = default;
};

/** \brief The attempt did not run and never will. */
struct ReleaseRecord {
    KeyAttempt attempt;

    auto operator<=>(const ReleaseRecord&) const = default;
};

/** \brief The attempt ran, with this outcome. */
struct OutcomeRecord {
    KeyAttempt attempt;
    StoredOutcome outcome;

    auto operator<=>(const OutcomeRecord&) const = default;
};

/** \brief The attempt was sent, and nobody will learn whether it ran. */
struct UnknownRecord {
    KeyAttempt attempt;

    auto operator<=>(const UnknownRecord&) const = default;
};

/** \brief A record that this release can't read, written by a newer one about a key. */
struct UnsupportedRecord {
    std::string key;

    auto operator<=>(const UnsupportedRecord&) const = default;
};

/** \brief Says nothing of a key: a quiet log needs records that show how far back it reaches. */
struct MarkerRecord {
    auto operator<=>(const MarkerRecord&) const = default;
};

using KeyRecordBody = std::variant<ClaimRecord, ReleaseRecord, OutcomeRecord, UnknownRecord, UnsupportedRecord, MarkerRecord>;

/** \brief A record of the log's stream "actions". */
struct KeyRecord {
    WallTime createdAt; ///< when the record was made, by its writer's clock; the log may get it much later
    LogOffset readUpTo = 0; ///< the writer had read all records before this offset by then
    KeyRecordBody body;

    auto operator<=>(const KeyRecord&) const = default;
};

/** \returns the text of the key that the record is about, or null */
const std::string* keyOf(const KeyRecord&);

/** \returns the record as JSON text for the log */
std::string encodeKeyRecord(const KeyRecord&);

/** \brief Reads a record from the log.
 *
 * A newer version's record is an UnsupportedRecord when it names its key.
 *
 * \returns the record, ErrorCode::MalformedRecord or ErrorCode::UnsupportedVersion
 */
Result<KeyRecord> decodeKeyRecord(const std::string& payload);

}

#endif
