#include <filbertspoke/Http>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

using namespace filbertspoke;
using boost::asio::ip::tcp;

namespace {

/** \brief A connection and a server that writes what the test tells it to. */
struct ConnectionFixture {
    ConnectionFixture()
        : acceptor(this->io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , connection(this->io, HttpAddress { "127.0.0.1", this->acceptor.local_endpoint().port() }, HttpLimits {})
    {
    }

    void exchange()
    {
        this->connection.exchange(HttpRequest {}, std::chrono::seconds(5), [this](HttpOutcome outcome) { this->outcome = std::move(outcome); });
    }

    /** \brief Takes the connection's next connect, and its request whole. */
    tcp::socket accept()
    {
        tcp::socket socket(this->io);
        bool accepted = false;
        this->acceptor.async_accept(socket, [&](boost::system::error_code) { accepted = true; });
        while (!accepted)
            this->io.run_one();
        std::string request;
        char byte = 0;
        while (!request.ends_with("\r\n\r\n")) {
            this->io.poll();
            if (socket.available() > 0 && socket.read_some(boost::asio::buffer(&byte, 1)) == 1)
                request.push_back(byte);
        }
        return socket;
    }

    boost::asio::io_context io;
    tcp::acceptor acceptor;
    HttpConnection connection;
    std::optional<HttpOutcome> outcome;
};

}

// A large response over a busy link took longer than the timeout, again and again.
BOOST_FIXTURE_TEST_CASE(responseThatKeepsArrivingMayTakeLongerThanItsTimeout, ConnectionFixture)
{
    constexpr int parts = 8;
    constexpr std::chrono::milliseconds pause(100);
    for (const Duration transferAllowance : { Duration::zero(), Duration(std::chrono::seconds(5)) }) {
        HttpLimits limits;
        limits.transferAllowance = transferAllowance;
        HttpConnection arriving(this->io, HttpAddress { "127.0.0.1", this->acceptor.local_endpoint().port() }, limits);
        this->outcome.reset();
        this->io.restart();
        arriving.exchange(HttpRequest {}, pause * 3, [this](HttpOutcome result) { this->outcome = std::move(result); });
        tcp::socket server = this->accept();
        boost::asio::write(server, boost::asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(parts) + "\r\n\r\n"));
        for (int part = 0; part < parts && !this->outcome; ++part) {
            this->io.restart();
            this->io.run_for(pause);
            boost::system::error_code ignored;
            boost::asio::write(server, boost::asio::buffer("x", 1), ignored);
        }
        this->io.restart();
        this->io.run_for(pause);
        BOOST_REQUIRE(this->outcome.has_value());
        BOOST_TEST(std::holds_alternative<HttpResponse>(*this->outcome) == (transferAllowance > Duration::zero()));
    }
}

BOOST_FIXTURE_TEST_CASE(newExchangeStartsWhileTheClosedOneStillReads, ConnectionFixture)
{
    this->exchange();
    tcp::socket first = this->accept();
    this->io.poll();
    const std::string part = "HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n" + std::string(4000, 'x');
    boost::asio::write(first, boost::asio::buffer(part));
    while (this->io.poll_one() == 0) { }
    // A part of the response is taken in by now; its next part is on its way through the queue.
    this->connection.close();
    this->exchange();
    tcp::socket second = this->accept();
    boost::asio::write(second, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext")));
    while (!this->outcome)
        this->io.run_one();
    BOOST_TEST(std::get<HttpResponse>(*this->outcome).body == "next");
}
