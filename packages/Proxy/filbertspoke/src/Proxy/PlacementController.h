#ifndef FILBERTSPOKE_LAYER_ORDERER_H
#define FILBERTSPOKE_LAYER_ORDERER_H

#include "GatewayContext.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace filbertspoke {

/** \brief Orders engines to hold layers, as long as this daemon has the duty to do so.
 *
 * One daemon at a time has the duty, by the store's word. Every order also names the number of orders that the engine
 * has accepted before, so that two daemons that both think they have it do no harm.
 */
class PlacementController {
public:
    explicit PlacementController(GatewayContext& context);

    void start();
    /** \brief Stops claiming the duty. */
    void stop() { this->stopped = true; }

private:
    struct PendingOrder {
        LayerRange layers;
        TimePoint expires;
    };

    /** \brief What asking a suspected engine gave. */
    struct Probes {
        bool asking = false;
        unsigned silences = 0; ///< questions in a row without an answer
        std::uint64_t heartbeat = 0; ///< of the engine's entry at the last question
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> claim(HttpConnection&);
    boost::asio::awaitable<void> place();
    boost::asio::awaitable<void> order(RegisteredEndpoint, LayerRange, Duration loadTime);
    std::vector<PlaceableEngine> engines(const ForwardedService&);
    void probeSuspects();
    boost::asio::awaitable<void> probe(RegisteredEndpoint);
    bool isLost(const RegisteredEndpoint&) const;
    bool settled(const std::vector<PlaceableEngine>&);
    bool holdsDuty() const { return this->held && bootNow() < this->heldUntil; }

    GatewayContext& context;
    const std::string member; ///< this run of the daemon
    std::uint64_t generation = 0;
    bool setUp = false;
    bool held = false;
    bool stopped = false;
    TimePoint heldUntil;
    std::map<EndpointId, PendingOrder> pending;
    std::map<EndpointId, Probes> probes;
    std::size_t enginesSeen = 0;
    TimePoint enginesSeenAt;
};

}

#endif
