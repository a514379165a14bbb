// Daemons as real processes that watch each other.
#include <filbertspoke/ClusterTesting>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace filbertspoke;

namespace {

bool seesEveryPeerAlive(Cluster& cluster, std::uint32_t daemon, std::size_t peerCount)
{
    const boost::json::value status = cluster.status(daemon);
    const boost::json::array& peers = status.at("peers").as_array();
    const auto alive = std::count_if(peers.begin(), peers.end(), [](const boost::json::value& peer) { return peer.at("state") == "alive"; });
    return static_cast<std::size_t>(alive) == peerCount;
}

}

// Each daemon listens on a free port, which it must tell its peers in place of the 0 in its settings.
BOOST_FIXTURE_TEST_CASE(daemonsOnFreePortsSeeEachOtherAlive, Cluster)
{
    BOOST_TEST(this->await([this] { return seesEveryPeerAlive(*this, 0, 1) && seesEveryPeerAlive(*this, 1, 1); }));
}
