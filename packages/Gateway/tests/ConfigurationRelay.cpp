// Load pattern: a configuration of 1,400 routes changes in quick succession on a site with 118 gateways in five failure domains.
#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const SocketAddress peer { "10.0.0.2", 80 };

struct Fixture {
    ConfigurationRelay relay;
    TimePoint now { 100s };
};

}

BOOST_FIXTURE_TEST_CASE(documentGoesToAPeerThatAsksForIt, Fixture)
{
    BOOST_TEST(!this->relay.mustSend(peer, 4, this->now));
    this->relay.notePeer(peer, 3, true, this->now);
    BOOST_TEST(this->relay.mustSend(peer, 4, this->now));
}

BOOST_FIXTURE_TEST_CASE(documentIsNotSentAgainBeforeThePeerCanHaveTakenIt, Fixture)
{
    this->relay.notePeer(peer, 3, true, this->now);
    BOOST_TEST(this->relay.mustSend(peer, 4, this->now));
    this->now += 200ms;
    this->relay.notePeer(peer, 3, true, this->now);
    BOOST_TEST(!this->relay.mustSend(peer, 4, this->now));
    this->now += 300ms;
    BOOST_TEST(this->relay.mustSend(peer, 4, this->now));
}

BOOST_FIXTURE_TEST_CASE(newerDocumentIsSentAtOnce, Fixture)
{
    this->relay.notePeer(peer, 3, true, this->now);
    BOOST_TEST(this->relay.mustSend(peer, 4, this->now));
    BOOST_TEST(this->relay.mustSend(peer, 5, this->now + 100ms));
}

BOOST_FIXTURE_TEST_CASE(peerWithTheSameOrANewerVersionGetsNone, Fixture)
{
    this->relay.notePeer(peer, 4, true, this->now);
    BOOST_TEST(!this->relay.mustSend(peer, 4, this->now + 10s));
    BOOST_TEST(!this->relay.mustSend(peer, 3, this->now + 10s));
}

// A peer that reads the store itself has each version at the same time; sending it as well would multiply the traffic between domains.
BOOST_FIXTURE_TEST_CASE(peerThatKeepsUpByItselfGetsNoDocuments, Fixture)
{
    for (std::uint64_t version = 2; version < 40; ++version) {
        this->relay.notePeer(peer, version - 1, false, this->now);
        BOOST_TEST(!this->relay.mustSend(peer, version, this->now));
        this->now += 300ms;
        this->relay.notePeer(peer, version, false, this->now);
        BOOST_TEST(!this->relay.mustSend(peer, version, this->now));
        this->now += 700ms;
    }
}

// Its connection to the store may be silent without it knowing.
BOOST_FIXTURE_TEST_CASE(peerThatStaysBehindGetsTheDocument, Fixture)
{
    this->relay.notePeer(peer, 3, false, this->now);
    BOOST_TEST(!this->relay.mustSend(peer, 4, this->now));
    this->now += 600ms;
    this->relay.notePeer(peer, 3, false, this->now);
    BOOST_TEST(this->relay.mustSend(peer, 4, this->now));
}

BOOST_FIXTURE_TEST_CASE(restartedPeerGetsTheDocumentAtOnce, Fixture)
{
    this->relay.notePeer(peer, 3, true, this->now);
    BOOST_TEST(this->relay.mustSend(peer, 4, this->now));
    this->relay.notePeer(peer, 0, true, this->now + 100ms);
    BOOST_TEST(this->relay.mustSend(peer, 4, this->now + 100ms));
}
