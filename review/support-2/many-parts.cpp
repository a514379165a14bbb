// Case: clients whose prompts have very many parts are served by an engine that crashes. The gateway has to go on answering.
#include "scene.h"

using namespace review;

namespace {

// Fewer than the slots of an engine.
constexpr int inFlight = 160;
constexpr std::size_t headBytes = 15000; ///< of 16,384 that the configuration allows
// StableWindowMs: so long may no ready machine take no new channel, while seven clients or more try.
constexpr Ms longestSilence { 3000 };
constexpr Ms watchTime { 40000 };

struct World {
    Scene& scene;
    bool over = false;
    int open = 0;
    int sent = 0;
    int answered = 0;
    Clock::time_point lastAnswer = Clock::now();
    Ms longest {};
    int triedInLongest = 0;
    int tried = 0; ///< since the last answer
};

awaitable<void> generation(World& world, int index)
{
    Scene& scene = world.scene;
    const std::string id = scene.nextId();
    std::string parts = "Prompt-Prefix: ";
    const auto size = scene.trouble ? headBytes : std::size_t { 60 };
    for (int part = 0; parts.size() < size; ++part) {
        std::ostringstream text;
        text << std::hex << index * 10000 + part << ":1,";
        parts += text.str();
    }
    const std::string text = "POST /chat/z HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: 20000\r\nKey: key-2\r\nModel: m0\r\nToken-Count: 30,40\r\n" + parts + "f" + std::to_string(index) + ":1\r\nContent-Length: 4\r\n\r\nbody";
    scene.record.note("sent " + id + " /chat/z by an uncontrolled client, " + std::to_string(text.size()) + " bytes");
    const Answer answer = co_await scene.call(scene.gateways[0].front, text, Ms(20000));
    scene.record.note("answered " + id + " status " + std::to_string(answer.status) + (answer.complete ? " complete" : " incomplete"));
}

/** \brief One of the ordinary clients of the first gateway. */
awaitable<void> ordinary(World& world)
{
    ++world.open;
    ++world.sent;
    ++world.tried;
    const std::string id = world.scene.nextId();
    world.scene.record.note("sent " + id + " /stock/x");
    const Answer answer = co_await world.scene.call(world.scene.gateways[0].front, world.scene.requestText("/stock/x", id, 1500), Ms(1500));
    world.scene.record.note("answered " + id + " status " + std::to_string(answer.status));
    --world.open;
    if (answer.status == 0)
        co_return;
    ++world.answered;
    const auto now = Clock::now();
    const auto silence = std::chrono::duration_cast<Ms>(now - world.lastAnswer);
    if (silence > world.longest) {
        world.longest = silence;
        world.triedInLongest = world.tried;
    }
    world.lastAnswer = now;
    world.tried = 0;
}

awaitable<void> traffic(World& world)
{
    while (!world.over) {
        asio::co_spawn(world.scene.context, ordinary(world), asio::detached);
        co_await pauseFor(Ms(100));
    }
}

awaitable<int> play(Scene& scene)
{
    World world { scene };
    const std::vector<std::string> zones { "zone-a", "zone-b", "zone-c" };
    scene.store->put("keyed.op", "config", scene.configuration(1));
    for (const std::string& zone : zones) {
        scene.addReplica("app-" + zone, zone, false);
        for (const std::string part : { "1", "2" }) {
            Replica& engine = scene.addReplica("engine-" + part + "-" + zone, zone, true, part == "1" ? 0 : 40, part == "1" ? 40 : 80);
            // An engine that reads many prompts at once begins to answer them after a while.
            engine.firstMs = 1000;
            engine.events = 100;
            engine.eventMs = 40;
        }
    }
    for (const std::string& zone : zones)
        scene.addGateway(zone);
    for (Gateway& gateway : scene.gateways)
        scene.launch(gateway);
    if (!co_await scene.awaitReady())
        co_return 2;
    co_await pauseFor(Ms(3000));
    world.lastAnswer = Clock::now();
    asio::co_spawn(scene.context, traffic(world), asio::detached);
    co_await pauseFor(Ms(2000));
    for (int index = 0; index < inFlight; ++index) {
        asio::co_spawn(scene.context, generation(world, index), asio::detached);
        if (index % 10 == 9)
            co_await pauseFor(Ms(10));
    }
    co_await pauseFor(Ms(500));
    scene.record.note("one of six engines crashes; " + std::to_string(world.answered) + " of " + std::to_string(world.sent) + " ordinary requests answered so far, longest silence " + std::to_string(world.longest.count()) + " ms");
    if (world.answered < 10 || world.longest > longestSilence)
        co_return 2;
    scene.replicas.at("engine-1-zone-a")->crash();
    // The store removes the entry after three check-ins that did not come.
    co_await pauseFor(Ms(3600));
    scene.store->put("keyed.servers", "engine-1-zone-a", std::nullopt);
    co_await pauseFor(watchTime - Ms(3600));
    world.over = true;
    while (world.open > 0)
        co_await pauseFor(Ms(50));
    const auto last = std::chrono::duration_cast<Ms>(Clock::now() - world.lastAnswer);
    if (last > world.longest) {
        world.longest = last;
        world.triedInLongest = world.tried;
    }
    scene.record.note("ordinary requests: " + std::to_string(world.answered) + " of " + std::to_string(world.sent) + " answered");
    scene.record.note("longest time without any answer: " + std::to_string(world.longest.count()) + " ms, requests tried meanwhile: " + std::to_string(world.triedInLongest));
    co_return world.longest > longestSilence && world.triedInLongest >= 7 ? 1 : 0;
}

}

int main(int argc, char** argv)
{
    if (argc != 2)
        return 2;
    Scene scene(argv[1]);
    return scene.run(play);
}
