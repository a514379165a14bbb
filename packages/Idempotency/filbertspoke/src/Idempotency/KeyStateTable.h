#ifndef FILBERTSPOKE_KEY_STATE_TABLE_H
#define FILBERTSPOKE_KEY_STATE_TABLE_H

#include "KeyRecord.h"

#include <filbertspoke/Core>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace filbertspoke {

/** \brief What the log says of a key's latest attempt. */
enum class KeyStatus {
    Claimed, ///< the holder may have sent it, may send it still, or may be gone
    Done,
    Unknown, ///< it may have run; nobody runs it again
    Released, ///< it did not run; the next attempt may be claimed
};

/** \brief A key as the log tells it. */
struct KeyState {
    KeyAttempt attempt;
    std::string digest;
    WallTime startDeadline; ///< the holder starts nothing after this
    KeyStatus status = KeyStatus::Claimed;
    std::optional<StoredOutcome> outcome; ///< when done

    bool operator==(const KeyState&) const = default;
};

/** \brief The state of every key as a fold over the log's stream "actions".
 *
 * A claim counts only as the first of its attempt, and only when the attempt before it is
 * released; any other record counts only from the attempt's holder and only once. So every
 * daemon that read the same records holds the same states.
 */
class KeyStateTable {
public:
    /** \brief Takes the next record of the log.
     *
     * \returns the record, or why it was skipped
     */
    Result<KeyRecord> apply(const std::string& payload);

    /** \returns the key's state, or null when the log doesn't name the key */
    const KeyState* find(const std::string& key) const;

    /** \returns whether a younger process of the holder's daemon has written to the log */
    bool isSuperseded(const KeyHolder&) const;

    /** \brief Forgets the keys whose text orders before \a key; version 7 orders by time. */
    void forgetBefore(const std::string& key);

    std::size_t size() const { return this->states.size(); }
    /** \returns how many records could not be read */
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
