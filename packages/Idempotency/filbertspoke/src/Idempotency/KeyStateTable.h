#ifndef FILBERTSPOKE_KEY_STATE_TABLE_H
#define FILBERTSPOKE_KEY_STATE_TABLE_H

#include "KeyRecord.h"

#include <filbertspoke/Core>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace filbertspoke {

/** \brief State of the latest attempt of a key, as recorded in the log. */
enum class KeyStatus {
    Claimed, ///< the holder may have sent the action, may still send it, or may have ended
    Done, ///< the action ran and its outcome is known
    Unknown, ///< the action may have run; it is never run again
    Released, ///< the action did not run; the next attempt may be claimed
};

/** \brief State of a key, as recorded in the log. */
struct KeyState {
    KeyAttempt attempt;
    std::string digest;
    WallTime startDeadline; ///< the holder does not send the action after this time, by its clock
    KeyStatus status = KeyStatus::Claimed;
    std::optional<StoredOutcome> outcome; ///< set when the status is Done

    bool operator==(const KeyState&) const = default;
};

/** \brief Table of key states, computed by replaying the log's stream "actions".
 *
 * A claim is effective only if it is the first of its attempt and the previous attempt was
 * released. A result is effective only if the holder of the currently claimed attempt wrote it; it
 * ends the attempt. An UnsupportedRecord makes its key Unknown unless the key is Done. Daemons that
 * have read the same records therefore have the same states.
 */
class KeyStateTable {
public:
    /** \brief Applies the next record of the log.
     *
     * \returns the decoded record, or the error for which it was skipped
     */
    Result<KeyRecord> apply(const std::string& payload);

    /** \returns the state of the key, or null if no record of the key is effective */
    const KeyState* find(const std::string& key) const;

    /** \returns whether a later process of the holder's daemon has written a claim to the log */
    bool isSuperseded(const KeyHolder&) const;

    /** \brief Deletes the keys whose text sorts before \a key. UUIDs of version 7 sort by creation time. */
    void eraseBefore(const std::string& key);

    /** \returns the number of keys in the table */
    std::size_t size() const { return this->states.size(); }
    /** \returns the number of records that could not be decoded */
    std::uint64_t skipped() const { return this->skippedCount; }

private:
    void recordIncarnation(const KeyHolder&);
    void apply(const ClaimRecord&);
    void apply(const ReleaseRecord&);
    void apply(const OutcomeRecord&);
    void apply(const UnknownRecord&);
    void apply(const UnsupportedRecord&);
    void apply(const MarkerRecord&);
    KeyState* findClaimed(const KeyAttempt&);

    std::map<std::string, KeyState> states;
    std::map<DaemonId, std::uint64_t> newestIncarnations;
    std::uint64_t skippedCount = 0;
};

}

#endif
