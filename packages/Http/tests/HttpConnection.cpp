#include <filbertspoke/Http>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace filbertspoke;
using boost::asio::ip::tcp;

namespace {

/** \brief A connection to a listening socket whose accepted side the test writes to directly. */
struct ConnectionFixture {
    ConnectionFixture()
        : acceptor(this->io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , connection(this->io, HttpAddress { "127.0.0.1", this->acceptor.local_endpoint().port() }, HttpLimits {})
    {
    }

    void exchange(HttpRequest request = {})
    {
        this->outcome.reset();
        this->io.restart();
        this->connection.exchange(std::move(request), std::chrono::seconds(5), [this](HttpOutcome outcome) { this->outcome = std::move(outcome); });
    }

    /** \brief Accepts the next connection and reads a whole request header from it. */
    tcp::socket accept()
    {
        tcp::socket socket(this->io);
        bool accepted = false;
        this->acceptor.async_accept(socket, [&](boost::system::error_code) { accepted = true; });
        while (!accepted && !this->outcome)
            this->io.run_one();
        BOOST_TEST_REQUIRE(accepted);
        this->readRequest(socket);
        return socket;
    }

    void readRequest(tcp::socket& socket)
    {
        std::string request;
        char byte = 0;
        while (!request.ends_with("\r\n\r\n")) {
            this->io.poll();
            if (socket.available() > 0 && socket.read_some(boost::asio::buffer(&byte, 1)) == 1)
                request.push_back(byte);
        }
    }

    /** \returns the outcome of the exchange in progress */
    HttpOutcome await()
    {
        while (!this->outcome)
            this->io.run_one();
        return *this->outcome;
    }

    /** \brief Starts an exchange, which has to open a connection, and answers it there.
     * \returns the accepted side */
    tcp::socket answerOnNewConnection(const std::string& response)
    {
        this->exchange();
        tcp::socket server = this->accept();
        boost::asio::write(server, boost::asio::buffer(response));
        return server;
    }

    /** \brief Resets the accepted side, and checks that the exchange fails although the server may have run its request. */
    void checkReset(tcp::socket& server)
    {
        server.set_option(boost::asio::socket_base::linger(true, 0));
        server.close();
        const HttpOutcome result = this->await();
        BOOST_TEST_REQUIRE(std::holds_alternative<HttpFailure>(result));
        BOOST_TEST(std::get<HttpFailure>(result).sent);
    }

    boost::asio::io_context io;
    tcp::acceptor acceptor;
    HttpConnection connection;
    std::optional<HttpOutcome> outcome;
};

}

// Guards against repeated timeouts of a large response over a congested link, whose data keeps arriving for longer than the timeout.
BOOST_FIXTURE_TEST_CASE(responseMayExceedTimeoutWithinTransferAllowance, ConnectionFixture)
{
    constexpr int parts = 8;
    constexpr std::chrono::milliseconds pause(100);
    for (const Duration transferAllowance : { Duration::zero(), Duration(std::chrono::seconds(5)) }) {
        HttpLimits limits;
        limits.transferAllowance = transferAllowance;
        HttpConnection slowConnection(this->io, HttpAddress { "127.0.0.1", this->acceptor.local_endpoint().port() }, limits);
        this->outcome.reset();
        this->io.restart();
        slowConnection.exchange(HttpRequest {}, pause * 3, [this](HttpOutcome result) { this->outcome = std::move(result); });
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

BOOST_FIXTURE_TEST_CASE(newExchangeIsUnaffectedByPendingReadOfClosedExchange, ConnectionFixture)
{
    this->exchange();
    tcp::socket first = this->accept();
    this->io.poll();
    const std::string part = "HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n" + std::string(4000, 'x');
    boost::asio::write(first, boost::asio::buffer(part));
    while (this->io.poll_one() == 0) { }
    // A part of the response has been parsed, and the handler that reads the next part is queued.
    this->connection.close();
    this->exchange();
    tcp::socket second = this->accept();
    boost::asio::write(second, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext")));
    while (!this->outcome)
        this->io.run_one();
    BOOST_TEST(std::get<HttpResponse>(*this->outcome).body == "next");
}

// Guards against answers of the store, of peers and of engines that were taken for sound ones.
BOOST_FIXTURE_TEST_CASE(malformedResponseFailsItsExchangeAndTheNextOneUsesANewConnection, ConnectionFixture)
{
    const std::vector<std::string> malformed {
        "HTTP/1.1 200 OK\r\nStore-Era: 7\r\n Content-Length: 4\r\n\r\nbody",
        "HTTP/1.1 000 Status\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 600 Status\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nStore Era: 7\r\nContent-Length: 4\r\n\r\nbody",
    };
    const std::string sound = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext";
    for (const std::string& response : malformed) {
        BOOST_TEST_CONTEXT(response)
        {
            tcp::socket server = this->answerOnNewConnection(sound);
            BOOST_TEST(std::get<HttpResponse>(this->await()).body == "next");
            this->exchange();
            this->readRequest(server);
            boost::asio::write(server, boost::asio::buffer(response));
            const HttpOutcome outcome = this->await();
            BOOST_TEST_REQUIRE(std::holds_alternative<HttpFailure>(outcome));
            BOOST_TEST(isMalformedResponse(std::get<HttpFailure>(outcome).error));
            BOOST_TEST(std::get<HttpFailure>(outcome).sent);
        }
    }
}

// Guards against a layer order whose answer was the second copy of the engine's report.
BOOST_FIXTURE_TEST_CASE(bytesBehindAResponseDoNotAnswerTheNextExchange, ConnectionFixture)
{
    const std::string sound = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
    std::vector<tcp::socket> kept; // by the server, which does not close them
    for (const std::string& extra : { sound + "copy", std::string("HTTP/1.1 200 OK\r\n"), std::string("x") }) {
        BOOST_TEST_CONTEXT(extra)
        {
            kept.push_back(this->answerOnNewConnection(sound + "body" + extra));
            BOOST_TEST(std::get<HttpResponse>(this->await()).body == "body");
        }
    }
    kept.push_back(this->answerOnNewConnection(sound + "next"));
    BOOST_TEST(std::get<HttpResponse>(this->await()).body == "next");
}

// Guards against interim responses of which the final one behind them answered the next exchange.
BOOST_FIXTURE_TEST_CASE(interimResponsesAreSkipped, ConnectionFixture)
{
    const tcp::socket server = this->answerOnNewConnection("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
    const HttpOutcome outcome = this->await();
    BOOST_TEST_REQUIRE(std::holds_alternative<HttpResponse>(outcome));
    BOOST_TEST((std::get<HttpResponse>(outcome) == HttpResponse { 200, { { "Content-Length", "4" } }, "body" }));
}

BOOST_FIXTURE_TEST_CASE(interimResponsesWithoutEndFailTheExchange, ConnectionFixture)
{
    std::string interim;
    for (int response = 0; response < 1000; ++response)
        interim += "HTTP/1.1 100 Continue\r\n\r\n";
    const tcp::socket server = this->answerOnNewConnection(interim);
    const HttpOutcome outcome = this->await();
    BOOST_TEST_REQUIRE(std::holds_alternative<HttpFailure>(outcome));
    BOOST_TEST(std::get<HttpFailure>(outcome).error == make_error_code(ErrorCode::MalformedMessage));
}

// Guards against a part of a response of the store, a peer or an engine that is taken for a whole one.
BOOST_FIXTURE_TEST_CASE(responseToAnInterruptedRequestDoesNotEndWithItsConnection, ConnectionFixture)
{
    constexpr std::size_t bodyBytes = 8 * 1024 * 1024; // exceeds what the sockets of both sides keep
    this->exchange({ "POST", "/x", {}, std::string(bodyBytes, 'x') });
    tcp::socket server = this->accept();
    boost::asio::write(server, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\nbody")));
    this->checkReset(server);
}

BOOST_FIXTURE_TEST_CASE(responseDoesNotEndWithAConnectionThatIsReset, ConnectionFixture)
{
    tcp::socket server = this->answerOnNewConnection("HTTP/1.1 200 OK\r\n\r\nbody");
    this->checkReset(server);
}

// Guards against a part of a response that was taken for a whole one: the connection was reset behind its end, with a part of the request unread.
BOOST_FIXTURE_TEST_CASE(responseDoesNotEndWithAConnectionThatIsResetBehindItsEnd, ConnectionFixture)
{
    this->exchange({ "POST", "/x", {}, "body" });
    tcp::socket server = this->accept();
    this->io.poll();
    boost::asio::write(server, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\nbody")));
    server.shutdown(tcp::socket::shutdown_send);
    this->checkReset(server);
}
