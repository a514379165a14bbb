#ifndef FILBERTSPOKE_PEER_EXCHANGE_H
#define FILBERTSPOKE_PEER_EXCHANGE_H

#include "GatewayContext.h"
#include "StoreFollower.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <optional>

namespace filbertspoke {

/** \brief Exchanges words with the other gateways: work in progress at endpoints, endpoints to avoid, and for those
 * that don't follow the store the configuration and the endpoints. */
class PeerExchange {
public:
    /** \throws boost::system::system_error when the address can't be bound */
    PeerExchange(GatewayContext&, const StoreFollower&);

    void start();

private:
    /** \brief What a peer said last. */
    struct Heard {
        std::uint64_t configurationVersion = 0; ///< in force there
        std::uint64_t knownRevision = 0; ///< of this daemon's endpoints, as the peer has them
        std::uint64_t endpointsRevision = 0; ///< of the peer's endpoints, as this daemon has them
        bool wantsEndpoints = false;
        DaemonId daemon;
    };

    boost::asio::awaitable<std::optional<HttpResponse>> answer(HttpRequest);
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> ask(SocketAddress);
    GossipMessage wordFor(const SocketAddress&) const;
    void addWork(GossipMessage&, const SocketAddress&) const;
    void addDocuments(GossipMessage&, const SocketAddress&) const;
    void take(GossipMessage);
    void takeWork(GossipMessage&, TimePoint now);
    void takeEndpoints(const GossipMessage&, Heard&, TimePoint now);
    bool isMyHub(const SocketAddress&) const;
    bool hasCurrentEndpoints() const;
    void noteAnswer(const SocketAddress&, bool answered);
    void noteRole();

    GatewayContext& context;
    const StoreFollower& follower;
    std::map<SocketAddress, Heard> heard;
    std::map<SocketAddress, std::unique_ptr<HttpConnection>> connections;
    const std::uint64_t revisionOffset; ///< tells the revisions of this run from those of the one before
    bool wasHub = true;
    HttpServer server;
};

}

#endif
