// Kills, pauses and stops daemons, as real processes. Checks the state that the other daemons report for them.
#include <filbertspoke/ClusterTesting>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/array.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <cstdint>
#include <string>

using namespace filbertspoke;

namespace {

struct FourDaemons : Cluster {
    FourDaemons()
        : Cluster({ .daemons = 4, .stages = 2, .replicas = 1 })
    {
    }

    /** \returns the state that daemon \a viewer reports for daemon \a other, empty if it does not know it */
    std::string stateOf(std::uint32_t viewer, std::uint32_t other)
    {
        const boost::json::value status = this->status(viewer);
        if (!status.is_object())
            return {};
        for (const boost::json::value& peer : status.at("peers").as_array()) {
            if (peer.at("id").as_string() == "daemon-" + std::to_string(other))
                return std::string(peer.at("state").as_string());
        }
        return {};
    }

    bool othersReport(std::uint32_t daemon, const std::string& state)
    {
        for (std::uint32_t viewer = 0; viewer < 4; ++viewer) {
            if (viewer != daemon && this->stateOf(viewer, daemon) != state)
                return false;
        }
        return true;
    }

    bool allAreAlive()
    {
        for (std::uint32_t daemon = 0; daemon < 4; ++daemon) {
            if (!this->othersReport(daemon, "alive"))
                return false;
        }
        return true;
    }
};

}

BOOST_FIXTURE_TEST_CASE(killedDaemonIsGoneUntilItsRestart, FourDaemons)
{
    BOOST_TEST_REQUIRE(this->await([this] { return this->allAreAlive(); }));
    this->daemon(2).process.kill();
    BOOST_TEST_REQUIRE(this->await([this] { return this->othersReport(2, "gone"); }));
    this->restartDaemon(2);
    BOOST_TEST(this->await([this] { return this->allAreAlive(); }));
}

// Another program's outgoing connection uses the port of a killed daemon as its local port. The restarted daemon must still be able to
// bind that port.
BOOST_FIXTURE_TEST_CASE(restartedDaemonBindsAPortUsedByAnOutgoingConnection, FourDaemons)
{
    using boost::asio::ip::tcp;
    BOOST_TEST_REQUIRE(this->await([this] { return this->allAreAlive(); }));
    this->daemon(2).process.kill();
    boost::asio::io_context io;
    tcp::acceptor other(io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    tcp::socket connected(io, { boost::asio::ip::make_address("127.0.0.1"), this->daemon(2).callers.port });
    connected.connect(other.local_endpoint());
    this->restartDaemon(2);
    BOOST_TEST(this->await([this] { return this->allAreAlive(); }));
}

BOOST_FIXTURE_TEST_CASE(pausedDaemonIsGoneUntilItResumes, FourDaemons)
{
    BOOST_TEST_REQUIRE(this->await([this] { return this->allAreAlive(); }));
    this->daemon(1).process.signal(SIGSTOP);
    BOOST_TEST_REQUIRE(this->await([this] { return this->othersReport(1, "gone"); }));
    this->daemon(1).process.signal(SIGCONT);
    BOOST_TEST(this->await([this] { return this->allAreAlive(); }));
}

BOOST_FIXTURE_TEST_CASE(stoppingDaemonIsLeavingWhileItsStreamFinishes, FourDaemons)
{
    BOOST_TEST_REQUIRE(this->await([this] { return this->allAreAlive(); }));
    const auto completion = this->complete(3, Cluster::maximumTokens);
    BOOST_TEST_REQUIRE(this->await([this] { return !this->runs(this->engine(1, 0).address).empty(); }));
    this->daemon(3).process.signal(SIGTERM);
    BOOST_TEST_REQUIRE(this->await([this] { return this->othersReport(3, "leaving"); }));
    BOOST_TEST_REQUIRE(this->await([&] { return completion->done(); }));
    BOOST_TEST(readStream(completion->body()).whole);
    BOOST_TEST(this->daemon(3).process.wait() == 0);
}
