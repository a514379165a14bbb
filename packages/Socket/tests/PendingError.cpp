// Takes pending errors of TCP sockets whose other side is in the test.
#include <filbertspoke/Socket>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <string>

using namespace filbertspoke;
using boost::asio::ip::tcp;

namespace {

struct ConnectionFixture {
    ConnectionFixture()
        : acceptor(this->context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , socket(this->context)
        , other(this->context)
    {
        this->socket.connect(this->acceptor.local_endpoint());
        this->acceptor.accept(this->other);
    }

    /** \returns the error with which reading ends */
    boost::system::error_code readToEnd()
    {
        boost::system::error_code error;
        std::string text(16, ' ');
        while (!error)
            this->socket.read_some(boost::asio::buffer(text), error);
        return error;
    }

    boost::asio::io_context context;
    tcp::acceptor acceptor;
    tcp::socket socket;
    tcp::socket other;
};

}

BOOST_FIXTURE_TEST_CASE(closedConnectionHasNoPendingError, ConnectionFixture)
{
    boost::asio::write(this->other, boost::asio::buffer("text", 4));
    this->other.close();
    BOOST_TEST((this->readToEnd() == boost::asio::error::eof));
    BOOST_TEST(!takePendingError(this->socket.native_handle()));
}

BOOST_FIXTURE_TEST_CASE(connectionThatIsClosedAndResetHasAPendingErrorOnce, ConnectionFixture)
{
    boost::asio::write(this->socket, boost::asio::buffer("request", 7));
    boost::asio::write(this->other, boost::asio::buffer("text", 4));
    this->other.shutdown(tcp::socket::shutdown_send);
    this->other.close();
    BOOST_TEST((this->readToEnd() == boost::asio::error::eof));
    BOOST_TEST(static_cast<bool>(takePendingError(this->socket.native_handle())));
    BOOST_TEST(!takePendingError(this->socket.native_handle()));
}

BOOST_AUTO_TEST_CASE(queryThatFailsIsAnError)
{
    BOOST_TEST((takePendingError(-1) == std::errc::bad_file_descriptor));
}
