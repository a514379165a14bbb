// Reads the time-outs of the connections over which engines' reports, orders and probes go back from the kernel.
#include <filbertspoke/ProcessTesting>
#include <filbertspoke/Proxy>

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>

#include <unistd.h>

using namespace filbertspoke;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

// Without time-outs of their own, these connections would outlast the engine's host.
BOOST_AUTO_TEST_CASE(reportConnectionHasTheTimeoutsOfEngineReports)
{
    boost::asio::io_context context;
    tcp::acceptor listener(context, { boost::asio::ip::make_address(ownLoopbackAddress(1)), 0 });
    const HttpAddress address { listener.local_endpoint().address().to_string(), listener.local_endpoint().port() };
    HttpConnection connection(context, address, endpointLimits(1s));
    std::optional<HttpOutcome> outcome;
    connection.exchange(HttpRequest {}, 30s, [&outcome](HttpOutcome result) { outcome = std::move(result); });
    const bool found = runUntil(context, [&] {
        const std::vector<ProcessSocket> sockets = connectedSockets(::getpid());
        return std::ranges::any_of(sockets, [&](const ProcessSocket& socket) {
            return socket.remote == address && socket.timeouts == socketTimeoutsFor(ConnectionKind::EngineReport);
        });
    });
    BOOST_TEST(found);
}
