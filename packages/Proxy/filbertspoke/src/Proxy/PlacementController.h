#ifndef FILBERTSPOKE_PLACEMENT_CONTROLLER_H
#define FILBERTSPOKE_PLACEMENT_CONTROLLER_H

#include "GatewayContext.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace filbertspoke {

/** \brief Assigns model layers to engines while this daemon holds the placement lease.
 *
 * The store grants the lease to one daemon at a time. Each order carries the lease generation as fencing token and the number
 * of orders that the engine has accepted before, so that an engine rejects an order based on outdated state when two daemons
 * both assume that they hold the lease.
 */
class PlacementController {
public:
    explicit PlacementController(GatewayContext& context);

    /** \brief Starts to claim the lease and to place layers. */
    void start();
    /** \brief Stops placing layers and renewing the lease, which then expires. */
    void stop() { this->stopped = true; }

private:
    /** \brief A layer order that the engine's registry entry does not show as carried out yet. */
    struct PendingOrder {
        LayerRange layers;
        TimePoint expires;
    };

    /** \brief Results of the probes of a suspected engine. */
    struct ProbeState {
        bool inFlight = false;
        unsigned missedReports = 0; ///< consecutive probes without a response
        std::uint64_t heartbeat = 0; ///< heartbeat in the engine's registry entry at the last probe
    };

    boost::asio::awaitable<void> run();
    /** \brief Gives the lease up when the store's era has changed. */
    void followEra();
    boost::asio::awaitable<HttpOutcome> callStore(HttpConnection&, HttpRequest);
    void noteSignals(const EndpointId&, const HttpOutcome&);
    boost::asio::awaitable<void> claimLease(HttpConnection&);
    boost::asio::awaitable<void> assignLayers();
    boost::asio::awaitable<void> sendOrder(RegisteredEndpoint, LayerRange, Duration loadTime);
    std::vector<PlaceableEngine> engines(const ForwardedService&);
    void probeSuspectedEngines();
    boost::asio::awaitable<void> probe(RegisteredEndpoint);
    bool hasFailed(const RegisteredEndpoint&) const;
    bool enginesSettled(const std::vector<PlaceableEngine>&);
    bool holdsLease() const { return this->lease.held(bootNow()); }

    GatewayContext& context;
    const std::string member; ///< identifies this run of the daemon to the store
    LeaseTracker lease;
    bool leaseSetUp = false;
    bool stopped = false;
    std::map<EndpointId, PendingOrder> pending;
    std::map<EndpointId, ProbeState> probes;
    std::size_t enginesSeen = 0; ///< number of engines when it last changed, at enginesSeenAt
    TimePoint enginesSeenAt;
};

}

#endif
