#ifndef FILBERTSPOKE_STORE_READER_POLICY_H
#define FILBERTSPOKE_STORE_READER_POLICY_H

#include <filbertspoke/Core>

#include <cstddef>
#include <optional>

namespace filbertspoke {

/** \brief How a hub keeps its view of the store up to date. */
enum class HubSource {
    Store, ///< it reads the store itself
    Relay, ///< it gets the state from a gateway that reads the store
    None, ///< its view may be out of date
};

/** \brief Decides whether a gateway reads the store itself, and how often it tries again after a failure.
 *
 * Load pattern: the store fails, for all gateways or only for some, on a site with more than a hundred gateways. If every gateway then
 * read the store itself, thousands of calls a second would meet the store when it returns. The hub and two standbys of each failure
 * domain try again quickly; the hub passes on what any gateway can still read. Each other gateway tries for itself, later and less
 * often, because it may be the only one that the store serves.
 */
class StoreReaderPolicy {
public:
    /** \param spread number in [0, 1), random for each gateway, by which gateways try at different times */
    StoreReaderPolicy(double spread, TimePoint now)
        : spread(spread)
        , lastReportAt(now)
    {
    }

    /** \brief Records a report of the hub. */
    void noteHub(HubSource, TimePoint now);
    /** \brief Records the result of a call of this gateway to the store. */
    void noteCall(bool succeeded) { this->lastCallSucceeded = succeeded; }
    /** \brief Records that this gateway has stopped to read the store. */
    void noteStopped() { this->lastCallSucceeded = false; }

    /** \returns whether this gateway must read the store itself
     * \param rank number of reachable gateways of the failure domain with lower addresses; 0 for the hub */
    bool mustRead(std::size_t rank, TimePoint now) const;
    /** \returns whether the last call to the store succeeded, and this gateway has not stopped to read since */
    bool reads() const { return this->lastCallSucceeded; }
    /** \returns the time until the next call after \a failures consecutive ones */
    Duration retryDelay(std::size_t rank, unsigned failures) const;

private:
    double spread;
    bool lastCallSucceeded = false;
    std::optional<HubSource> hubSource;
    TimePoint lastReportAt; ///< last report of an up-to-date hub, or the start of this gateway
};

}

#endif
