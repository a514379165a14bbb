// Reads the time-outs of every connection of running daemons back from the kernel.
#include <filbertspoke/ClusterTesting>
#include <filbertspoke/PlatformTesting>

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace filbertspoke;
using boost::asio::ip::tcp;

namespace {

/** \brief Names the kind of a connection by its two addresses; nothing for one that the test doesn't know. */
using KindOf = std::function<std::optional<ConnectionKind>(const ProcessSocket&)>;

/** \brief Checks all connections of a process at one time.
 * \param seen gets the kinds among them
 * \returns whether each connection has the time-outs of its kind; it gets them at once after it is accepted or opened */
bool haveTheirTimeouts(pid_t process, const KindOf& kindOf, std::set<ConnectionKind>& seen)
{
    std::set<ConnectionKind> kinds;
    for (const ProcessSocket& socket : connectedSockets(process)) {
        const auto kind = kindOf(socket);
        if (!kind || socket.timeouts != socketTimeoutsFor(*kind))
            return false;
        kinds.insert(*kind);
    }
    seen.insert(kinds.begin(), kinds.end());
    return true;
}

std::string describe(pid_t process, const KindOf& kindOf)
{
    std::string text;
    for (const ProcessSocket& socket : connectedSockets(process)) {
        const auto kind = kindOf(socket);
        text += "\n" + socket.local.address + ":" + std::to_string(socket.local.port) + " to " + socket.remote.address + ":" + std::to_string(socket.remote.port)
            + " kind " + (kind ? std::to_string(static_cast<int>(*kind)) : "unknown")
            + " unacknowledged " + std::to_string(socket.timeouts.unacknowledged.count()) + " idle " + std::to_string(socket.timeouts.idle.count()) + " interval " + std::to_string(socket.timeouts.interval.count());
    }
    return text;
}

/** \brief A connection on which nothing is sent. */
class OpenConnection {
public:
    OpenConnection(boost::asio::io_context& context, const HttpAddress& address)
        : socket(context)
    {
        this->socket.connect({ boost::asio::ip::make_address(address.address), address.port });
    }

private:
    tcp::socket socket;
};

struct GatewayFixture : GatewayScene {
    GatewayFixture()
    {
        this->start();
        this->startSecond("zone-a", this->store.address());
        this->firstPeers = this->started.at("gateway-1").peers;
        this->firstHandover = *this->started.at("gateway-1").handover;
        this->otherPeers = this->started.at("gateway-2").peers;
    }

    std::optional<ConnectionKind> kindOf(const ProcessSocket& socket) const
    {
        if (socket.local == this->callers)
            return ConnectionKind::Caller;
        if (socket.local == this->readiness)
            return ConnectionKind::Operator;
        if (socket.local == this->firstPeers || socket.remote == this->firstPeers || socket.remote == this->otherPeers)
            return ConnectionKind::Peer;
        if (socket.local == this->firstHandover)
            return ConnectionKind::Handover;
        if (socket.remote == this->store.address())
            return ConnectionKind::Store;
        for (const auto& [id, replica] : this->replicas) {
            if (socket.remote == replica->address())
                return socket.timeouts == socketTimeoutsFor(ConnectionKind::EngineReport) ? ConnectionKind::EngineReport : ConnectionKind::Endpoint;
        }
        return std::nullopt;
    }

    HttpAddress firstPeers;
    HttpAddress firstHandover;
    HttpAddress otherPeers;
};

}

BOOST_FIXTURE_TEST_CASE(connectionsOfAGatewayHaveTheirTimeouts, GatewayFixture)
{
    const OpenConnection caller(this->context, this->callers);
    const OpenConnection operators(this->context, this->readiness);
    const OpenConnection handover(this->context, this->firstHandover);
    const std::set<ConnectionKind> expected { ConnectionKind::Caller, ConnectionKind::Operator, ConnectionKind::Handover, ConnectionKind::Store, ConnectionKind::Peer, ConnectionKind::Endpoint };
    std::set<ConnectionKind> seen;
    const KindOf kind = [this](const ProcessSocket& socket) { return this->kindOf(socket); };
    // Idle connections to endpoints are closed after seconds, so each round opens one.
    const bool found = this->await([&] {
        this->answer(*this->call("POST", "/book/x"), "served");
        return haveTheirTimeouts(this->gateway->id(), kind, seen) && seen == expected;
    });
    BOOST_TEST(found, seen.size() << " kinds of " << expected.size() << ", connections:" << describe(this->gateway->id(), kind));
}

BOOST_AUTO_TEST_CASE(connectionsOfADaemonHaveTheirTimeouts)
{
    Cluster cluster({ .daemons = 2, .stages = 2, .replicas = 1 });
    const auto kind = [&cluster](const ProcessSocket& socket) -> std::optional<ConnectionKind> {
        if (socket.local == cluster.daemon(0).callers)
            return ConnectionKind::Caller;
        if (socket.local == cluster.daemon(0).operators)
            return ConnectionKind::Operator;
        if (socket.local == cluster.daemon(0).peers || socket.remote == cluster.daemon(1).peers)
            return ConnectionKind::PeerFrames;
        if (socket.remote == cluster.logAddress())
            return ConnectionKind::Store;
        for (const HttpAddress& endpoint : { cluster.engine(0, 0).address, cluster.engine(1, 0).address, cluster.service(0).address }) {
            if (socket.remote == endpoint)
                return ConnectionKind::Endpoint;
        }
        return std::nullopt;
    };
    boost::asio::io_context context;
    const OpenConnection caller(context, cluster.daemon(0).callers);
    const OpenConnection operators(context, cluster.daemon(0).operators);
    const OpenConnection peer(context, cluster.daemon(0).peers);
    const std::set<ConnectionKind> expected { ConnectionKind::Caller, ConnectionKind::Operator, ConnectionKind::PeerFrames, ConnectionKind::Store, ConnectionKind::Endpoint };
    std::set<ConnectionKind> seen;
    const bool found = cluster.await([&] { return haveTheirTimeouts(cluster.daemon(0).process.id(), kind, seen) && seen == expected; });
    BOOST_TEST(found, seen.size() << " kinds of " << expected.size() << ", connections:" << describe(cluster.daemon(0).process.id(), kind));
}
