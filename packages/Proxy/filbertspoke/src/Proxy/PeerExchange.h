#ifndef FILBERTSPOKE_PEER_EXCHANGE_H
#define FILBERTSPOKE_PEER_EXCHANGE_H

#include "GatewayContext.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <optional>

namespace filbertspoke {

/** \brief Gossips with the other gateways: exchanges the load of endpoints and the endpoints to avoid, and passes the
 * configuration and the endpoint list on to gateways that don't read the store themselves. */
class PeerExchange {
public:
    /** \throws boost::system::system_error when the address for peers can't be bound */
    explicit PeerExchange(GatewayContext&);

    /** \brief Starts to exchange messages with the peers, beginning with the configured seeds. */
    void start();

private:
    /** \brief Contents of a peer's last message. */
    struct PeerState {
        std::uint64_t peersDigest = 0; ///< of the peer's list of gateways that this daemon last received
        std::uint64_t knownPeersDigest = 0; ///< of this daemon's list of gateways that the peer last received
        std::uint64_t knownRevision = 0; ///< revision of this daemon's endpoint list that the peer has
        std::uint64_t endpointsRevision = 0; ///< revision of the peer's endpoint list that this daemon has
        bool wantsEndpoints = false; ///< the peer asks for the endpoint list
        DaemonId daemon;
    };

    boost::asio::awaitable<std::optional<HttpResponse>> handleRequest(HttpRequest);
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> exchangeWith(SocketAddress);
    GossipMessage messageFor(const SocketAddress&);
    void addWork(GossipMessage&, const SocketAddress&) const;
    void addPeers(GossipMessage&, const SocketAddress&) const;
    void addDocuments(GossipMessage&, const SocketAddress&);
    void handleMessage(GossipMessage);
    void applyWork(GossipMessage&, TimePoint now);
    void applyEndpoints(const GossipMessage&, PeerState&);
    bool isOwnHub(const SocketAddress&) const;
    /** \returns whether this daemon reads the store itself and its endpoint list is up to date */
    bool hasCurrentEndpoints() const;
    /** \returns whether this daemon is a hub that passes on the state of a gateway which reads the store */
    bool relaysStore() const;
    /** \brief Records whether the message shows that this daemon has all that its sender has read from the store. */
    void noteRelayed(const GossipMessage&, const PeerState&, TimePoint now);
    void recordExchange(const SocketAddress&, bool answered, const std::string& reason);
    void updateRole();

    GatewayContext& context;
    std::map<SocketAddress, PeerState> peerStates;
    ConfigurationRelay configurationRelay;
    std::map<SocketAddress, std::unique_ptr<HttpConnection>> connections;
    const std::uint64_t revisionOffset; ///< random per run, so that endpoint list revisions of different runs don't collide
    bool wasHub = true;
    std::optional<TimePoint> relayedAt; ///< when this daemon last had all that another one had read from the store
    HttpServer server;
};

}

#endif
