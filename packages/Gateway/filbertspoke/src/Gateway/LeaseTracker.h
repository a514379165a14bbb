#ifndef FILBERTSPOKE_LEASE_TRACKER_H
#define FILBERTSPOKE_LEASE_TRACKER_H

#include "StoreEraTracker.h"

#include <filbertspoke/Core>

#include <compare>
#include <cstdint>
#include <optional>

namespace filbertspoke {

/** \brief A daemon's view of the lease that permits it to place layers on engines. */
struct PlacementLease {
    std::uint64_t generation = 0; ///< increases with each change of the store's group members, within one era of the store
    bool held = false; ///< whether this daemon holds the lease

    auto operator<=>(const PlacementLease&) const = default;
};

/** \brief This daemon's placement lease.
 *
 * The store grants the lease to one member of a group at a time. When the store restarts from an older copy of its data, the
 * generation goes back and the lease may be granted again, so that a lease counts only within the era in which it was granted.
 */
class LeaseTracker {
public:
    /** \param lifetime of the lease without renewal */
    explicit LeaseTracker(Duration lifetime)
        : lifetime(lifetime)
    {
    }

    /** \brief Gives the lease up when the era differs from the one in which it was granted.
     * \returns whether the group has to be set up again, because the store may have lost it */
    bool noteEra(std::optional<StoreEra>);
    /** \brief Takes the store's answer to a claim.
     * \param claimedAt when the claim was sent; the lease counts from then */
    void noteClaim(const PlacementLease&, TimePoint claimedAt);

    /** \returns whether this daemon holds the lease */
    bool held(TimePoint now) const { return this->granted && now < this->expiresAt; }
    /** \returns the last known generation of the current era, 0 for none */
    std::uint64_t generation() const { return this->lastGeneration; }
    /** \returns the token that orders carry. It increases with the era first, so that an engine that has seen an order of an earlier
     * era does not refuse the orders of the current holder */
    std::uint64_t fencingToken() const;

private:
    Duration lifetime;
    std::optional<StoreEra> era;
    std::uint64_t lastGeneration = 0;
    bool granted = false;
    TimePoint expiresAt {};
};

}

#endif
