#include <filbertspoke/Peer>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(wordComesBackAsItWasSent)
{
    GatewayWord word;
    word.daemon = DaemonId("d1");
    word.address = { "10.0.0.1", 8229 };
    word.configurationVersion = 7;
    word.work = { { EndpointId("e1"), { 2, 1500.5 } } };
    word.avoided = { { EndpointId("e2"), 400ms } };
    word.peers = { { "10.0.0.2", 8229 } };
    word.siteSize = RosterSize { 34, 2s };
    word.failureDomain = FailureDomainId("a");
    word.sum = true;
    word.endpointsRevision = 8;
    word.knownRevision = 6;
    word.followsStore = true;
    word.wantsEndpoints = true;
    word.configuration = ConfigurationDocument { "config", std::string("{\0}", 3) };
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
    word.endpoints = std::vector<RegisteredEndpoint> { endpoint };

    const auto read = decodeGossipMessage(encodeGossipMessage(word));

    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((*read == word));
}

BOOST_AUTO_TEST_CASE(bytesThatAreNoWordAreRefused)
{
    BOOST_TEST((decodeGossipMessage("nonsense").error() == ErrorCode::MalformedMessage));
    BOOST_TEST((decodeGossipMessage("").error() == ErrorCode::MalformedMessage));
    BOOST_TEST((decodeGossipMessage(encodeGossipMessage(GatewayWord {}) + "x").error() == ErrorCode::MalformedMessage));
}
