#ifndef FILBERTSPOKE_STORE_ERA_TRACKER_H
#define FILBERTSPOKE_STORE_ERA_TRACKER_H

#include <compare>
#include <cstdint>
#include <optional>

namespace filbertspoke {

/** \brief Number that the store raises each time it restarts from an older copy of its data.
 *
 * Writes of the last seconds are then lost, and offsets are assigned again. Offsets, pages and leases of different eras must not be
 * combined.
 */
using StoreEra = std::uint64_t;

/** \brief Relation of an answer's era to the highest era known so far. */
enum class EraRelation {
    Current, ///< the same era, or an answer without one
    Newer, ///< the store has restarted; the era is now the current one
    Outdated, ///< the answer was sent before the last restart of the store and must not be used
};

/** \brief Highest era of the store that this daemon knows, from answers of the store and messages of other daemons.
 *
 * Answers arrive over several connections, so that one of an older era may follow one of a newer era.
 */
class StoreEraTracker {
public:
    /** \brief Takes note of an answer's era.
     * \returns its relation to the highest era known before */
    EraRelation note(std::optional<StoreEra>);

    /** \returns the highest known era, or nothing while no answer has named one */
    std::optional<StoreEra> current() const { return this->highest; }

private:
    std::optional<StoreEra> highest;
};

}

#endif
