#ifndef FILBERTSPOKE_REACHABILITY_PROBER_H
#define FILBERTSPOKE_REACHABILITY_PROBER_H

#include "GatewayContext.h"

#include <boost/asio/awaitable.hpp>

namespace filbertspoke {

/** \brief Tries a new connection to the endpoint, and records whether it is accepted.
 * \returns whether it is */
boost::asio::awaitable<bool> probeEndpoint(GatewayContext&, EndpointId, SocketAddress);

/** \brief Tries connections to endpoints of services from which this daemon seems to be cut off. */
class ReachabilityProber {
public:
    explicit ReachabilityProber(GatewayContext& context)
        : context(context)
    {
    }

    /** \brief Starts to probe when it is due. */
    void start();

private:
    boost::asio::awaitable<void> run();
    void startProbes(const ServiceId&, std::size_t count);

    GatewayContext& context;
};

}

#endif
