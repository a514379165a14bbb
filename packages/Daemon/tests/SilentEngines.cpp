// Runs a gateway with engines that fall silent for a moment and go on.
#include <filbertspoke/PlatformTesting>

#include <boost/test/unit_test.hpp>

#include <string>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

constexpr Duration silence = 1700ms;
const std::string endOfStream = "0\r\n\r\n";

/** \returns a stream that pauses after its first event, or the lack of a report meanwhile */
ReplicaScript fallSilent(const HttpRequest& request)
{
    if (request.target.starts_with("/filbertspoke/"))
        return { {}, 5ms, ReplicaScript::End::Silence };
    return { { streamHead(request) + eventChunk(1), eventChunk(2) + lastChunk() }, silence, ReplicaScript::End::Keep };
}

}

// Guards against streams that were cut at a silent engine although no other chain could serve the rest.
BOOST_AUTO_TEST_CASE(streamStaysAtASilentEngineWhileThereIsNoOtherChain)
{
    GatewayScene scene;
    scene.putEndpoint("engine-b1", "draining");
    scene.start();
    scene.replicas.at("engine-a1")->setAnswer(fallSilent);
    const auto caller = scene.call("POST", "/chat/x");
    const std::string received = scene.answer(*caller, endOfStream);
    BOOST_TEST(eventIds(received) == "1 2 ");
    BOOST_TEST(received.ends_with(endOfStream));
    BOOST_TEST(scene.replicas.at("engine-a1")->requests().size() == 1U);
}

// Guards against a silent engine that keeps its streams while other engines could serve them.
BOOST_AUTO_TEST_CASE(streamLeavesASilentEngineAsSoonAsThereIsAnotherChain)
{
    GatewayScene scene;
    scene.putEndpoint("engine-b1", "draining");
    scene.start();
    scene.replicas.at("engine-a1")->setAnswer([](const HttpRequest& request) {
        if (request.target.starts_with("/filbertspoke/"))
            return ReplicaScript { {}, 5ms, ReplicaScript::End::Silence };
        return ReplicaScript { { streamHead(request) + eventChunk(1) }, 5ms, ReplicaScript::End::Silence };
    });
    const auto caller = scene.call("POST", "/chat/x");
    BOOST_TEST_REQUIRE(scene.await([&] { return !eventIds(caller->received()).empty(); }));
    scene.restartEndpoint("engine-b1");
    const std::string received = scene.answer(*caller, endOfStream);
    BOOST_TEST(eventIds(received) == "1 2 3 4 5 6 ");
    BOOST_TEST(scene.replicas.at("engine-b1")->requests().size() == 1U);
}
