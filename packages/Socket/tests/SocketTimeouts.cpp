// Reads the time-outs of TCP sockets back from the kernel.
#include <filbertspoke/Socket>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

const std::vector<ConnectionKind> kinds { ConnectionKind::Caller, ConnectionKind::Endpoint, ConnectionKind::EngineReport, ConnectionKind::Store, ConnectionKind::Peer, ConnectionKind::PeerFrames, ConnectionKind::Handover, ConnectionKind::Operator };

struct SocketFixture {
    SocketFixture()
        : socket(this->context, tcp::v4())
    {
    }

    boost::asio::io_context context;
    tcp::socket socket;
};

}

BOOST_FIXTURE_TEST_CASE(optionsOfEachKindAreReadBack, SocketFixture)
{
    for (const ConnectionKind kind : kinds) {
        BOOST_TEST(!setSocketTimeouts(this->socket.native_handle(), socketTimeoutsFor(kind)));
        const Result<SocketTimeouts> read = readSocketTimeouts(this->socket.native_handle());
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST((*read == socketTimeoutsFor(kind)));
    }
}

BOOST_FIXTURE_TEST_CASE(socketWithoutTimeoutsReadsAsZero, SocketFixture)
{
    const Result<SocketTimeouts> read = readSocketTimeouts(this->socket.native_handle());
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((*read == SocketTimeouts()));
}

BOOST_FIXTURE_TEST_CASE(refusedOptionIsAnError, SocketFixture)
{
    BOOST_TEST((setSocketTimeouts(this->socket.native_handle(), { 1s, 0s, 1s }) == std::errc::invalid_argument));
    this->socket.close();
    BOOST_TEST((setSocketTimeouts(-1, socketTimeoutsFor(ConnectionKind::Caller)) == std::errc::bad_file_descriptor));
    BOOST_TEST((readSocketTimeouts(-1).error() == std::errc::bad_file_descriptor));
}

// The user time-out replaces the number of probes as the limit, whichever of both is shorter.
BOOST_AUTO_TEST_CASE(userTimeoutDecidesWhenProbesGiveUp)
{
    BOOST_TEST((silenceLimit({ 5s, 3s, 1s }) == 5s));
    BOOST_TEST((silenceLimit({ 2s, 3s, 1s }) == 4s));
    BOOST_TEST((silenceLimit({ 4500ms, 3s, 1s }) == 5s));
    BOOST_TEST((silenceLimit({ 9s, 2s, 2s }) == 10s));
}

BOOST_AUTO_TEST_CASE(connectionsOfEveryKindEndWithinSeconds)
{
    for (const ConnectionKind kind : kinds) {
        BOOST_TEST((silenceLimit(socketTimeoutsFor(kind)) >= 2s));
        BOOST_TEST((silenceLimit(socketTimeoutsFor(kind)) <= 5s));
    }
}
