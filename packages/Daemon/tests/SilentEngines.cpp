// Runs a gateway with engines that fall silent for a moment and go on.
#include <filbertspoke/PlatformTesting>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

constexpr Duration silence = 1700ms;
constexpr Duration answerDelay = 100ms;
// Streams that an engine runs at once, by the configuration of the scene.
constexpr std::size_t slots = 8;
const std::string endOfStream = "0\r\n\r\n";

/** \returns a stream that occupies its engine until after the silence of another one, or the rest of a stream that was begun there */
ReplicaScript occupy(const HttpRequest& request)
{
    if (request.target.starts_with("/filbertspoke/"))
        return emptyReport();
    if (readForwarded(request).lastEvent > 0)
        return { { streamHead(request) + eventChunk(2), lastChunk() }, silence, ReplicaScript::End::Keep };
    return { { streamHead(request) + eventChunk(1), lastChunk() }, silence * 2, ReplicaScript::End::Keep };
}

/** \returns a stream that pauses after its first event, or the lack of a report meanwhile */
ReplicaScript fallSilent(const HttpRequest& request)
{
    if (request.target.starts_with("/filbertspoke/"))
        return { {}, 5ms, ReplicaScript::End::Silence };
    return { { streamHead(request) + eventChunk(1), eventChunk(2) + lastChunk() }, silence, ReplicaScript::End::Keep };
}

/** \returns the same from an engine that has no room for streams which were begun elsewhere */
ReplicaScript fallSilentWhenFull(const HttpRequest& request)
{
    if (readForwarded(request).lastEvent > 0)
        return { { fullAnswer() }, 5ms, ReplicaScript::End::Keep };
    return fallSilent(request);
}

/** \returns a stream whose engine sends nothing after its first event, or the lack of a report */
ReplicaScript fallSilentForever(const HttpRequest& request)
{
    if (request.target.starts_with("/filbertspoke/"))
        return { {}, 5ms, ReplicaScript::End::Silence };
    return { { streamHead(request) + eventChunk(1) }, 5ms, ReplicaScript::End::Silence };
}

/** \returns the rest of a stream that was begun elsewhere, after a while */
ReplicaScript resumeLater(const HttpRequest& request)
{
    if (request.target.starts_with("/filbertspoke/"))
        return emptyReport();
    return { { "", streamHead(request) + eventChunk(2) + lastChunk() }, answerDelay, ReplicaScript::End::Keep };
}

/** \returns a stream that goes on without a pause and lasts longer than the silence of another process */
ReplicaScript sendSteadily(const HttpRequest& request)
{
    constexpr int events = 25;
    if (request.target.starts_with("/filbertspoke/"))
        return emptyReport();
    if (readForwarded(request).lastEvent > 0)
        return { { fullAnswer() }, 5ms, ReplicaScript::End::Keep };
    ReplicaScript script { { streamHead(request) }, 100ms, ReplicaScript::End::Keep };
    for (int event = 1; event <= events; ++event)
        script.pieces.push_back(eventChunk(event) + (event == events ? lastChunk() : ""));
    return script;
}

/** \returns the rest of a stream, which begins only after the silence of another engine */
ReplicaScript beginLate(const HttpRequest& request)
{
    if (request.target.starts_with("/filbertspoke/"))
        return emptyReport();
    return { { "", streamHead(request) + eventChunk(2) + lastChunk() }, silence / 2, ReplicaScript::End::Keep };
}

/** \brief Two gateways and engines that hold the whole model, fall silent together, and refuse streams that were begun elsewhere. */
struct SilentScene : GatewayScene {
    static constexpr std::size_t streamsPerEngine = 2;
    // The scene has chosen ports at its own address that its gateways have not bound yet.
    static constexpr std::uint32_t engineAddress = 4;

    SilentScene()
    {
        for (const char* id : { "engine-a1", "engine-a2", "engine-b1", "engine-b2" })
            this->putEndpoint(id, "draining");
        for (const std::string& id : this->engines) {
            this->replicas.emplace(id, std::make_unique<ReplicaStandIn>(this->context, ownLoopbackAddress(engineAddress), fallSilentWhenFull));
            this->putEngine(id, { 0, 8 });
        }
    }

    void startBoth()
    {
        this->start();
        this->startSecond("zone-b", this->secondStore.address());
    }

    void callAll()
    {
        for (std::size_t call = 0; call < streamsPerEngine * this->engines.size(); ++call)
            this->streams.push_back(this->call("POST", "/chat/x"));
    }

    /** \returns how many streams reach their callers completely */
    std::size_t complete()
    {
        return static_cast<std::size_t>(std::count_if(this->streams.begin(), this->streams.end(), [this](const auto& caller) { return this->answer(*caller, endOfStream).ends_with(endOfStream); }));
    }

    const std::vector<std::string> engines { "engine-c1", "engine-c2", "engine-c3", "engine-c4", "engine-c5", "engine-c6" };
    std::vector<std::unique_ptr<RawCaller>> streams;
};

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
    scene.replicas.at("engine-a1")->setAnswer(fallSilentForever);
    const auto caller = scene.call("POST", "/chat/x");
    BOOST_TEST_REQUIRE(scene.await([&] { return !eventIds(caller->received()).empty(); }));
    scene.restartEndpoint("engine-b1");
    const std::string received = scene.answer(*caller, endOfStream);
    BOOST_TEST(eventIds(received) == "1 2 3 4 5 6 ");
    BOOST_TEST(scene.replicas.at("engine-b1")->requests().size() == 1U);
}

// Guards against streams that were cut at silent engines to be handed over to another gateway, which could not serve them either.
BOOST_AUTO_TEST_CASE(streamsStayAtSilentEnginesWhileOtherGatewaysFindNoChain)
{
    const std::vector<std::string> firstEngines { "engine-a1", "engine-b1" };
    GatewayScene scene;
    scene.start();
    scene.startSecond("zone-b", scene.secondStore.address());
    for (const std::string& id : firstEngines)
        scene.replicas.at(id)->setAnswer(fallSilent);
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (std::size_t call = 0; call < slots * firstEngines.size(); ++call)
        callers.push_back(scene.call("POST", "/chat/x"));
    std::size_t complete = 0;
    for (const auto& caller : callers)
        complete += scene.answer(*caller, endOfStream).ends_with(endOfStream) ? 1 : 0;
    BOOST_TEST(complete == callers.size());
    for (const std::string& id : firstEngines)
        BOOST_TEST(scene.replicas.at(id)->requests().size() == slots);
}

// Guards against streams that left a silent engine together for a chain with room for a few of them.
BOOST_AUTO_TEST_CASE(asManyStreamsLeaveASilentEngineAsAnotherChainHasRoomFor)
{
    constexpr std::size_t occupied = slots - 2;
    // Calls are refused until the gateway has read the entry of the second engine.
    constexpr std::size_t maximumCalls = 1000;
    GatewayScene scene;
    scene.putEndpoint("engine-b1", "draining");
    scene.start();
    scene.replicas.at("engine-a1")->setAnswer(fallSilent);
    scene.replicas.at("engine-b1")->setAnswer(occupy);
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (std::size_t call = 0; call < slots; ++call)
        callers.push_back(scene.call("POST", "/chat/x"));
    BOOST_TEST_REQUIRE(scene.await([&] { return !eventIds(callers.back()->received()).empty(); }));
    scene.restartEndpoint("engine-b1");
    std::vector<std::unique_ptr<RawCaller>> occupying;
    while (scene.replicas.at("engine-b1")->requests().size() < occupied) {
        BOOST_TEST_REQUIRE(occupying.size() < maximumCalls);
        occupying.push_back(scene.call("POST", "/chat/occupying"));
        BOOST_TEST_REQUIRE(scene.await([&] { return !occupying.back()->received().empty(); }));
    }
    std::size_t complete = 0;
    for (const auto& caller : callers)
        complete += scene.answer(*caller, endOfStream).ends_with(endOfStream) ? 1 : 0;
    BOOST_TEST(complete == callers.size());
    BOOST_TEST(scene.replicas.at("engine-b1")->requests().size() <= slots);
}

// Guards against streams that left silent engines for others, which refused them.
BOOST_FIXTURE_TEST_CASE(streamsStayAtSilentEnginesWhileOthersRefuseThem, SilentScene)
{
    this->startBoth();
    this->callAll();
    BOOST_TEST(this->complete() == this->streams.size());
}

// Guards against a gateway that takes itself to be cut off because all engines are silent for a moment.
BOOST_FIXTURE_TEST_CASE(gatewayIsNotCutOffFromEnginesThatAreAllSilent, SilentScene)
{
    this->startBoth();
    this->callAll();
    this->complete();
    this->gateway->kill();
    while (const auto line = this->gateway->readLine())
        BOOST_TEST(line->find("\"cut-off\"") == std::string::npos, *line);
}

// Guards against streams that a gateway without paths to engines cut before another one had taken them over.
BOOST_FIXTURE_TEST_CASE(streamsStayAtSilentEnginesUntilAnotherGatewayHasTakenThemOver, SilentScene)
{
    this->startBoth();
    this->callAll();
    BOOST_TEST_REQUIRE(this->await([&] { return !eventIds(this->streams.back()->received()).empty(); }));
    for (const std::string& id : this->engines)
        this->replicas.at(id)->setListening(false);
    BOOST_TEST(this->complete() == this->streams.size());
}

// Guards against events that reach the caller twice when an engine goes on while the rest of its stream is requested elsewhere.
BOOST_AUTO_TEST_CASE(eventsOfAnEngineThatGoesOnReachTheCallerOnce)
{
    GatewayScene scene;
    scene.putEndpoint("engine-b1", "draining");
    scene.start();
    scene.replicas.at("engine-a1")->setAnswer(fallSilent);
    scene.replicas.at("engine-b1")->setAnswer(beginLate);
    const auto caller = scene.call("POST", "/chat/x");
    BOOST_TEST_REQUIRE(scene.await([&] { return !eventIds(caller->received()).empty(); }));
    scene.restartEndpoint("engine-b1");
    const std::string received = scene.answer(*caller, endOfStream);
    BOOST_TEST(eventIds(received) == "1 2 ");
    BOOST_TEST(received.ends_with(endOfStream));
    BOOST_TEST(scene.replicas.at("engine-b1")->requests().size() == 1U);
    BOOST_TEST(scene.await([&] { return scene.replicas.at("engine-b1")->abandoned() == 1; }));
}

// Guards against streams that a gateway cuts because it was held up itself and takes all engines to be silent.
BOOST_FIXTURE_TEST_CASE(streamsStayWhenTheGatewayWasHeldUp, SilentScene)
{
    for (const std::string& id : this->engines)
        this->replicas.at(id)->setAnswer(sendSteadily);
    this->startBoth();
    this->callAll();
    BOOST_TEST_REQUIRE(this->await([&] { return !eventIds(this->streams.back()->received()).empty(); }));
    this->gateway->signal(SIGSTOP);
    const auto heldUpUntil = std::chrono::steady_clock::now() + silence;
    this->await([&] { return std::chrono::steady_clock::now() >= heldUpUntil; });
    this->gateway->signal(SIGCONT);
    BOOST_TEST(this->complete() == this->streams.size());
    for (const std::string& id : this->engines)
        BOOST_TEST(this->replicas.at(id)->requests().size() == streamsPerEngine);
}

// Guards against a stream that is requested from a third engine while it leaves the first one for the second, so that it runs on more than its route permits.
BOOST_AUTO_TEST_CASE(streamsThatLeaveTogetherReachOneOtherEngineEach)
{
    // The retry budget has to permit more than one move of each.
    constexpr std::size_t streams = slots / 2;
    GatewayScene scene;
    scene.putEndpoint("engine-b1", "draining");
    scene.start();
    scene.replicas.at("engine-a1")->setAnswer(fallSilentForever);
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (std::size_t call = 0; call < streams; ++call)
        callers.push_back(scene.call("POST", "/chat/x"));
    BOOST_TEST_REQUIRE(scene.await([&] { return std::all_of(callers.begin(), callers.end(), [](const auto& caller) { return !eventIds(caller->received()).empty(); }); }));
    const std::vector<std::string> others { "engine-c1", "engine-c2", "engine-c3" };
    for (const std::string& id : others) {
        scene.replicas.emplace(id, std::make_unique<ReplicaStandIn>(scene.context, ownLoopbackAddress(SilentScene::engineAddress), resumeLater));
        scene.putEngine(id, { 0, 8 });
    }
    const auto resumed = [&] { return std::accumulate(others.begin(), others.end(), std::size_t(0), [&](std::size_t sum, const std::string& id) { return sum + scene.replicas.at(id)->requests().size(); }); };
    BOOST_TEST_REQUIRE(scene.await([&] { return resumed() == callers.size(); }));
    // The gateway reads all answers at once.
    scene.gateway->signal(SIGSTOP);
    const auto stoppedUntil = std::chrono::steady_clock::now() + answerDelay * 3;
    scene.await([&] { return std::chrono::steady_clock::now() >= stoppedUntil; });
    scene.gateway->signal(SIGCONT);
    for (const auto& caller : callers)
        BOOST_TEST(eventIds(scene.answer(*caller, endOfStream)) == "1 2 ");
    BOOST_TEST(resumed() == callers.size());
}
