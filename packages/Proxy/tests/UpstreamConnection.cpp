// Tests UpstreamConnection against a listener in the same process.
#include <filbertspoke/ProcessTesting>
#include <filbertspoke/Proxy>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/test/unit_test.hpp>

#include <exception>
#include <memory>
#include <string>

using namespace filbertspoke;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr int receiveBufferBytes = 4096;
// Fits into the sender's socket buffer, but not into the receiver's.
constexpr std::size_t bodyBytes = 200 * 1024;

struct Fixture {
    Fixture()
        : listener(this->context)
    {
        this->listener.open(tcp::v4());
        this->listener.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
        this->listener.bind({ asio::ip::make_address(ownLoopbackAddress(1)), 0 });
        this->listener.listen();
        const auto address = this->listener.local_endpoint();
        this->connection = std::make_unique<UpstreamConnection>(this->context, SocketAddress { address.address().to_string(), address.port() });
    }

    void run(asio::awaitable<void> work)
    {
        bool done = false;
        asio::co_spawn(this->context, std::move(work), [&done](std::exception_ptr) { done = true; });
        BOOST_REQUIRE(runUntil(this->context, [&done] { return done; }));
    }

    asio::awaitable<void> connectAndSend()
    {
        const std::error_code connected = co_await this->connection->connect(1s);
        BOOST_TEST(!connected);
        const HttpRequest request { "POST", "/book/x", {}, std::string(bodyBytes, 'x') };
        const std::error_code sent = co_await this->connection->send(request, 1s);
        BOOST_TEST(!sent);
    }

    asio::io_context context;
    tcp::acceptor listener;
    std::unique_ptr<UpstreamConnection> connection;
};

}

// Bytes in the send buffer of a closed connection are delivered when a broken link recovers, unless close() discards them: the
// endpoint would execute a request that the gateway has already abandoned.
BOOST_FIXTURE_TEST_CASE(abandonedRequestIsNotDeliveredLater, Fixture)
{
    this->run(this->connectAndSend());
    this->connection->close();
    tcp::socket endpoint = this->listener.accept();
    std::string received;
    boost::system::error_code error;
    asio::read(endpoint, asio::dynamic_buffer(received), error);
    BOOST_TEST(received.size() < bodyBytes);
    BOOST_TEST((error == asio::error::connection_reset));
}
