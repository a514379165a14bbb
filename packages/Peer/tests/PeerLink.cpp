#include <filbertspoke/Peer>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using boost::asio::ip::udp;

namespace {

/** Links of two daemons on loopback addresses in one process. */
struct TwoLinks {
    TwoLinks()
    {
        BOOST_REQUIRE(!this->linkA.start());
        BOOST_REQUIRE(!this->linkB.start());
    }

    ListedDaemon daemonA() const { return { DaemonId("a"), FailureDomainId("riga-a"), "127.0.0.11", this->linkA.port() }; }
    ListedDaemon daemonB() const { return { DaemonId("b"), FailureDomainId("riga-b"), "127.0.0.12", this->linkB.port() }; }
    PeerStatus statusOfA() const { return { DaemonId("a"), 1, 2, 3, false }; }

    /** Runs until the condition holds or, so that a test can't hang, 20 s have passed. \returns whether it holds */
    bool runUntil(const std::function<bool()>& condition)
    {
        const auto limit = std::chrono::steady_clock::now() + 20s;
        while (!condition() && std::chrono::steady_clock::now() < limit)
            this->context.run_one_for(100ms);
        return condition();
    }

    boost::asio::io_context context;
    std::vector<Event> atA;
    std::vector<Event> atB;
    PeerLink linkA { this->context, { DaemonId("a"), "127.0.0.11" }, [this](Event event) { this->atA.push_back(std::move(event)); } };
    PeerLink linkB { this->context, { DaemonId("b"), "127.0.0.12" }, [this](Event event) { this->atB.push_back(std::move(event)); } };
};

}

BOOST_FIXTURE_TEST_CASE(statusIsExchangedBothWays, TwoLinks)
{
    this->linkA.send({ this->daemonB(), this->statusOfA() });
    BOOST_REQUIRE(this->runUntil([this] { return this->atB.size() == 1; }));
    BOOST_TEST((this->atB.front() == Event(PeerMessageReceived { DaemonId("a"), this->statusOfA() })));

    const PeerStatus answer { DaemonId("b"), 5, 6, 7, true };
    this->linkB.send({ this->daemonA(), answer });
    BOOST_REQUIRE(this->runUntil([this] { return this->atA.size() == 1; }));
    BOOST_TEST((this->atA.front() == Event(PeerMessageReceived { DaemonId("b"), answer })));
}

BOOST_FIXTURE_TEST_CASE(framesOfAConnectionKeepTheirOrder, TwoLinks)
{
    constexpr std::uint32_t count = 500;
    for (std::uint32_t index = 0; index < count; ++index)
        this->linkA.send({ this->daemonB(), PeerStatus { DaemonId("a"), 1, index, 0, false } });
    BOOST_REQUIRE(this->runUntil([this] { return this->atB.size() == count; }));
    for (std::uint32_t index = 0; index < count; ++index) {
        const auto& received = std::get<PeerMessageReceived>(this->atB[index]);
        BOOST_REQUIRE(std::get<PeerStatus>(received.message).configurationRevision == index);
    }
}

BOOST_FIXTURE_TEST_CASE(shortHeartbeatsUseUdpAndLongOnesTcp, TwoLinks)
{
    PeerProbe probe { this->statusOfA(), this->daemonA(), 1, {} };
    this->linkA.send({ this->daemonB(), probe });
    for (int index = 0; index < 100; ++index)
        probe.gossip.daemons.push_back({ this->daemonA(), 1, MemberState::Alive });
    this->linkA.send({ this->daemonB(), probe });
    BOOST_REQUIRE(this->runUntil([this] { return this->atB.size() == 2; }));
    BOOST_TEST(this->linkB.counters().malformedFrames == 0U);
}

BOOST_FIXTURE_TEST_CASE(refusedConnectionIsReported, TwoLinks)
{
    const ListedDaemon target = this->daemonB();
    this->linkB.stop();
    this->linkA.send({ target, this->statusOfA() });
    BOOST_TEST(this->atA.empty());
    BOOST_REQUIRE(this->runUntil([this] { return !this->atA.empty(); }));
    BOOST_TEST((this->atA.front() == Event(PeerSendFailed { target.id })));
}

BOOST_FIXTURE_TEST_CASE(invalidAddressIsReportedAsAFailure, TwoLinks)
{
    this->linkA.send({ { DaemonId("x"), FailureDomainId("riga-a"), "no address", 1 }, this->statusOfA() });
    BOOST_REQUIRE(this->runUntil([this] { return !this->atA.empty(); }));
    BOOST_TEST((this->atA.front() == Event(PeerSendFailed { DaemonId("x") })));
}

BOOST_FIXTURE_TEST_CASE(closeByThePeerIsReportedAsAFailure, TwoLinks)
{
    this->linkA.send({ this->daemonB(), this->statusOfA() });
    BOOST_REQUIRE(this->runUntil([this] { return this->atB.size() == 1; }));
    this->linkB.stop();
    BOOST_REQUIRE(this->runUntil([this] { return !this->atA.empty(); }));
    BOOST_TEST((this->atA.front() == Event(PeerSendFailed { DaemonId("b") })));
}

BOOST_FIXTURE_TEST_CASE(malformedFramesAreCountedAndDropped, TwoLinks)
{
    const std::string garbageFrame("\0\0\0\3xyz", 7);
    const std::string tooLong("\x7f\0\0\0", 4);
    std::vector<tcp::socket> sockets;
    for (const std::string& bytes : { garbageFrame, tooLong }) {
        sockets.emplace_back(this->context);
        sockets.back().connect(tcp::endpoint(boost::asio::ip::make_address("127.0.0.12"), this->linkB.port()));
        boost::asio::write(sockets.back(), boost::asio::buffer(bytes));
    }
    udp::socket datagram(this->context, udp::v4());
    datagram.send_to(boost::asio::buffer(garbageFrame), udp::endpoint(boost::asio::ip::make_address("127.0.0.12"), this->linkB.port()));

    BOOST_REQUIRE(this->runUntil([this] { return this->linkB.counters().malformedFrames == 3; }));
    this->linkA.send({ this->daemonB(), this->statusOfA() });
    BOOST_REQUIRE(this->runUntil([this] { return this->atB.size() == 1; }));
}

BOOST_AUTO_TEST_CASE(startFailsWhenThePortIsInUse)
{
    boost::asio::io_context context;
    PeerLink first(context, { DaemonId("a"), "127.0.0.13" }, [](const Event&) {});
    BOOST_REQUIRE(!first.start());
    PeerLink second(context, { DaemonId("b"), "127.0.0.13", first.port() }, [](const Event&) {});
    BOOST_TEST((second.start() == std::errc::address_in_use));
}
