#include <filbertspoke/Peer>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(decodingRestoresTheEncodedMessage)
{
    GossipMessage gossip;
    gossip.daemon = DaemonId("d1");
    gossip.address = { "10.0.0.1", 8229 };
    gossip.configurationVersion = 7;
    gossip.work = { { EndpointId("e1"), { 2, 1500.5, 0 } }, { EndpointId("e2"), { 0, 0, 2.5 } } };
    gossip.rateLimits = { { { EndpointId("e2"), 1700000000003 }, 17.8, 120ms }, { { EndpointId("e3"), 1700000000004 }, {}, 2s } };
    gossip.avoided = { { EndpointId("e2"), 400ms } };
    gossip.storeEra = 3;
    gossip.handover = SocketAddress { "10.0.0.1", 7341 };
    gossip.unreachableServices = { ServiceId("s1"), ServiceId("s2") };
    gossip.leaving = { { EndpointId("e3"), 1700000000001 } };
    gossip.refusing = { { { EndpointId("e5"), 1700000000005 }, 3s } };
    gossip.requestTraits = { { RequestTraitId("p1"), { { { EndpointId("e4"), 1700000000002 }, 250ms, 90ms } }, 900ms, true }, { RequestTraitId("p2"), {}, {}, false } };
    gossip.peers = { { { "10.0.0.2", 8229 }, FailureDomainId("b") } };
    gossip.peersDigest = 0x8000000000000001;
    gossip.knownPeersDigest = 11;
    gossip.siteSize = SiteSize { 34, 2s };
    gossip.failureDomain = FailureDomainId("a");
    gossip.sum = true;
    gossip.endpointsRevision = 8;
    gossip.knownRevision = 6;
    gossip.followsStore = true;
    gossip.relaysStore = true;
    gossip.wantsEndpoints = true;
    gossip.configuration = ConfigurationDocument { "config", std::string("{\0}", 3) };
    RegisteredEndpoint endpoint;
    endpoint.id = EndpointId("e1");
    endpoint.service = ServiceId("s");
    endpoint.address = { "10.0.0.9", 80 };
    endpoint.failureDomain = FailureDomainId("a");
    endpoint.draining = true;
    endpoint.slots = 6;
    endpoint.accelerator = AcceleratorId("l4");
    endpoint.layers = LayerRange(3, 9);
    endpoint.heartbeat = 12;
    endpoint.startedAtMs = 1700000000000;
    gossip.endpoints = std::vector<RegisteredEndpoint> { endpoint };

    const auto decoded = decodeGossipMessage(encodeGossipMessage(gossip));

    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == gossip));
}

BOOST_AUTO_TEST_CASE(malformedBytesAreRejected)
{
    BOOST_TEST((decodeGossipMessage("nonsense").error() == ErrorCode::MalformedMessage));
    BOOST_TEST((decodeGossipMessage("").error() == ErrorCode::MalformedMessage));
    BOOST_TEST((decodeGossipMessage(encodeGossipMessage(GossipMessage {}) + "x").error() == ErrorCode::MalformedMessage));
}
