#ifndef FILBERTSPOKE_STORED_QUARANTINE_H
#define FILBERTSPOKE_STORED_QUARANTINE_H

#include "RequestQuarantine.h"

#include <compare>
#include <set>
#include <vector>

namespace filbertspoke {

/** \brief Differences between the traits that are quarantined and those that the store keeps. */
struct QuarantineChanges {
    std::vector<RequestTraitEvidence> added;
    std::vector<RequestTraitId> removed;

    bool empty() const { return this->added.empty() && this->removed.empty(); }
    auto operator<=>(const QuarantineChanges&) const = default;
};

/** \brief Decides which quarantined traits are to be written to the platform's store, so that they outlast the daemons.
 *
 * Load pattern: all daemons are killed while a request comes that crashes each endpoint which begins to run it. Those that start then would
 * let it crash three more endpoints, after every such loss.
 *
 * The hub of each failure domain writes. Hubs may write the same trait at the same time, which changes nothing.
 */
class StoredQuarantine {
public:
    /** \brief Replaces what is known of the store's contents. */
    void noteRead(std::set<RequestTraitId> traits) { this->stored = std::move(traits); }
    /** \returns what has to be written, given the evidence for all traits that are quarantined. Only as many traits are kept as the store is
     * meant to hold */
    QuarantineChanges changes(const std::vector<RequestTraitEvidence>& quarantined) const;
    /** \brief Records that the changes were written. */
    void noteWritten(const QuarantineChanges&);

private:
    std::set<RequestTraitId> stored;
};

}

#endif
