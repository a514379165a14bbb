// Tests UpstreamConnection against a listener in the same process.
#include <filbertspoke/ProcessTesting>
#include <filbertspoke/Proxy>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <exception>
#include <memory>
#include <string>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr int receiveBufferBytes = 4096;
// Fits into the sender's socket buffer, but not into the receiver's.
constexpr std::size_t bodyBytes = 200 * 1024;
// Fits into the sender's socket buffer in one write, but not into the receiver's.
constexpr std::size_t shortBodyBytes = 32 * 1024;
// Exceeds what the sockets of both sides keep.
constexpr std::size_t longBodyBytes = 8 * 1024 * 1024;

/** \brief When an endpoint resets a connection. */
enum class Reset {
    WhileWriting, ///< while the request is being written
    BehindEnd, ///< after the request was written and the endpoint has ended its side
};

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

    /** \brief Reads the head of the last of the responses, all of which arrive together. */
    asio::awaitable<void> checkHead(std::string responses, ResponseHead expected)
    {
        const std::error_code connected = co_await this->connection->connect(1s);
        BOOST_TEST(!connected);
        tcp::socket endpoint = co_await this->listener.async_accept(asio::use_awaitable);
        asio::write(endpoint, asio::buffer(responses));
        const auto head = co_await this->connection->readHead(1s);
        BOOST_TEST((head && *head == expected));
        BOOST_TEST(this->connection->reusable());
    }

    /** \brief Reads a sound response and, on the same connection, a malformed one. */
    asio::awaitable<void> checkMalformed(std::string sound, std::string malformed, std::size_t segmentBytes)
    {
        const auto address = this->listener.local_endpoint();
        UpstreamConnection kept(this->context, SocketAddress { address.address().to_string(), address.port() });
        const std::error_code connected = co_await kept.connect(1s);
        BOOST_TEST(!connected);
        const auto endpoint = std::make_shared<tcp::socket>(co_await this->listener.async_accept(asio::use_awaitable));
        asio::write(*endpoint, asio::buffer(sound));
        const auto first = co_await kept.readHead(1s);
        const std::error_code skipped = co_await kept.skipBody(1s);
        BOOST_TEST(!skipped);
        BOOST_TEST(kept.reusable());
        asio::co_spawn(this->context, writeSegments(endpoint, std::move(malformed), segmentBytes), asio::detached);
        const auto second = co_await kept.readHead(1s);
        BOOST_TEST((first && first->status == 200));
        BOOST_TEST(!second);
        BOOST_TEST((!second && isMalformedResponse(second.error())));
        BOOST_TEST(!kept.reusable());
    }

    /** \brief Sends a request to an endpoint that responds to its first bytes and resets the connection, and reads the response.
     * \param whole whether the response should count as whole; its body is "body" in either case */
    asio::awaitable<void> checkReset(Reset reset, std::string response, bool whole)
    {
        const bool interrupted = reset == Reset::WhileWriting;
        const auto address = this->listener.local_endpoint();
        UpstreamConnection broken(this->context, SocketAddress { address.address().to_string(), address.port() });
        const std::error_code connected = co_await broken.connect(1s);
        BOOST_TEST(!connected);
        asio::co_spawn(this->context, respondAndReset(co_await this->listener.async_accept(asio::use_awaitable), response, reset), asio::detached);
        const HttpRequest request { "POST", "/book/x", {}, std::string(interrupted ? longBodyBytes : shortBodyBytes, 'x') };
        const std::error_code sent = co_await broken.send(request, 5s);
        BOOST_TEST(static_cast<bool>(sent) == interrupted);
        const auto head = co_await broken.readHead(1s);
        BOOST_TEST((head && head->status == 200));
        std::string body;
        Result<BodyProgress> progress = BodyProgress::More;
        while (progress && *progress == BodyProgress::More)
            progress = co_await broken.readBody(body, 1s);
        BOOST_TEST(progress.has_value() == whole);
        BOOST_TEST(body == "body");
        BOOST_TEST(!broken.reusable());
    }

    static asio::awaitable<void> respondAndReset(tcp::socket endpoint, std::string response, Reset reset)
    {
        co_await endpoint.async_wait(tcp::socket::wait_read, asio::use_awaitable);
        asio::write(endpoint, asio::buffer(response));
        if (reset == Reset::BehindEnd)
            endpoint.shutdown(tcp::socket::shutdown_send);
        endpoint.set_option(asio::socket_base::linger(true, 0));
        endpoint.close();
    }

    static asio::awaitable<void> writeSegments(std::shared_ptr<tcp::socket> socket, std::string text, std::size_t segmentBytes)
    {
        socket->set_option(tcp::no_delay(true));
        for (std::size_t at = 0; at < text.size(); at += segmentBytes) {
            const std::string segment = text.substr(at, segmentBytes);
            const auto [error, written] = co_await asio::async_write(*socket, asio::buffer(segment), asTuple);
            if (error)
                co_return;
            // Lets the reader take the segment.
            co_await asio::post(asio::use_awaitable);
        }
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

// Guards against answers of endpoints and of other gateways that were taken for sound ones, in whatever segments they arrive.
BOOST_FIXTURE_TEST_CASE(malformedHeadFailsTheReadAndEndsTheUseOfTheConnection, Fixture)
{
    const std::string sound = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    const std::vector<std::string> malformed {
        "HTTP/1.1 200 OK\r\nX-Mark: 7\r\n Content-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nX-Mark: 7\r\n\tTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        "HTTP/1.1 000 Status\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 600 Status\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX Mark: 7\r\n\r\nbody",
    };
    for (const std::string& response : malformed) {
        for (const std::size_t segmentBytes : { response.size(), std::size_t(1) }) {
            BOOST_TEST_CONTEXT(response << "\nin segments of " << segmentBytes)
            this->run(this->checkMalformed(sound, response, segmentBytes));
        }
    }
}

// Guards against an interim response of another gateway that went to the caller as the final one.
BOOST_FIXTURE_TEST_CASE(interimResponsesAreSkipped, Fixture)
{
    this->run(this->checkHead("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", { 200, { { "Content-Length", "0" } } }));
}

// Guards against a part of a response that was taken for a whole one: the failed write had taken the error of the reset connection, so that the read found an ordinary end.
BOOST_FIXTURE_TEST_CASE(responseToAnInterruptedRequestDoesNotEndWithItsConnection, Fixture)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    this->run(this->checkReset(Reset::WhileWriting, head + "\r\nbody", false));
    this->run(this->checkReset(Reset::WhileWriting, head + "Content-Length: 5\r\n\r\nbody", false));
    this->run(this->checkReset(Reset::WhileWriting, head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", false));
    this->run(this->checkReset(Reset::WhileWriting, head + "Content-Length: 4\r\n\r\nbody", true));
    this->run(this->checkReset(Reset::WhileWriting, head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true));
}

// Guards against a part of a response that was taken for a whole one: the connection was reset behind its end, with a part of the request unread.
BOOST_FIXTURE_TEST_CASE(responseDoesNotEndWithAConnectionThatIsResetBehindItsEnd, Fixture)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    this->run(this->checkReset(Reset::BehindEnd, head + "\r\nbody", false));
    this->run(this->checkReset(Reset::BehindEnd, head + "Content-Length: 4\r\n\r\nbody", true));
    this->run(this->checkReset(Reset::BehindEnd, head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true));
}
