#ifndef FILBERTSPOKE_PEER_EXCHANGE_H
#define FILBERTSPOKE_PEER_EXCHANGE_H

#include "GatewayContext.h"
#include "StoreFollower.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <optional>

namespace filbertspoke {

/** \brief Exchanges words with the other gateways: work in progress at endpoints, and for those that can't reach the
 * store the configuration and the endpoints. */
class PeerExchange {
public:
    /** \throws boost::system::system_error when the address can't be bound */
    PeerExchange(GatewayContext&, const StoreFollower&);

    void start();

private:
    struct Peer {
        std::uint64_t configurationVersion = 0; ///< in force there, as last heard
        bool wantsEndpoints = false;
        bool reachable = true;
    };

    boost::asio::awaitable<std::optional<HttpResponse>> answer(HttpRequest);
    boost::asio::awaitable<void> converse(SocketAddress);
    boost::asio::awaitable<bool> exchangeWords(HttpConnection&, const SocketAddress&);
    GatewayWord wordFor(const SocketAddress&) const;
    void take(GatewayWord);
    void meet(const SocketAddress&);
    void noteReachable(const SocketAddress&, bool reachable);
    Duration pause() const;

    GatewayContext& context;
    const StoreFollower& follower;
    std::map<SocketAddress, Peer> peers;
    HttpServer server;
};

}

#endif
