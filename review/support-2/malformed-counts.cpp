// Case: a client that names no numbers in Token-Count, and leaves before it has an answer. The gateways have to live on and to answer ordinary clients.
#include "scene.h"

using namespace review;

namespace {

struct Count {
    int sent = 0;
    int answered = 0;
};

constexpr Ms callLimit { 4000 };
// The platform starts a process that ended again after a short delay.
constexpr Ms restartDelay { 1000 };
// The rule "Fault": this many ends without a disturbance, at this many machines.
constexpr int allowedEnds = 2;
constexpr int machines = 2;
constexpr int rounds = 14;
constexpr int requestsOfARound = 8; ///< of the uncontrolled client at each gateway

struct World {
    Scene& scene;
    Count ordinary;
    int open = 0;
    bool over = false;
    std::map<std::string, int> ends; ///< by gateway
};

awaitable<void> ordinary(World& world, std::size_t index, std::string path)
{
    ++world.open;
    ++world.ordinary.sent;
    const Gateway& gateway = world.scene.gateways[index];
    const std::string id = world.scene.nextId();
    world.scene.record.note("sent " + id + " " + path + " to " + gateway.name);
    const Answer answer = co_await world.scene.call(gateway.front, world.scene.requestText(path, id, static_cast<int>(callLimit.count())), callLimit);
    world.scene.record.note("answered " + id + " status " + std::to_string(answer.status) + (answer.complete ? " complete" : " incomplete"));
    world.ordinary.answered += answer.status != 0 && answer.complete ? 1 : 0;
    --world.open;
}

awaitable<void> traffic(World& world)
{
    const std::vector<std::string> paths { "/chat/x", "/stock/x", "/chat/y", "/book/x" };
    for (std::size_t round = 0; !world.over; ++round) {
        asio::co_spawn(world.scene.context, ordinary(world, round % world.scene.gateways.size(), paths[round % paths.size()]), asio::detached);
        co_await pauseFor(Ms(50));
    }
}

/** \brief Starts gateways that ended by themselves again. */
awaitable<void> watch(World& world)
{
    while (!world.over) {
        for (Gateway& gateway : world.scene.gateways) {
            if (world.scene.running(gateway))
                continue;
            ++world.ends[gateway.name];
            co_await pauseFor(restartDelay);
            world.scene.launch(gateway);
        }
        co_await pauseFor(Ms(50));
    }
}

/** \brief One request of the client that nobody controls, which leaves after a while without an answer. */
awaitable<void> uncontrolled(World& world, const Gateway gateway)
{
    Scene& scene = world.scene;
    const std::string id = scene.nextId();
    const std::string tokens = scene.trouble ? "nan,40" : "800,40";
    scene.record.note("sent " + id + " /chat/z to " + gateway.name + " by the uncontrolled client, Token-Count " + tokens);
    const Answer answer = co_await scene.call(gateway.front, scene.requestText("/chat/z", id, 20000, tokens), Ms(1000));
    scene.record.note("answered " + id + " status " + std::to_string(answer.status));
}

awaitable<int> play(Scene& scene)
{
    const std::vector<std::string> zones { "zone-a", "zone-b", "zone-c" };
    scene.store->put("keyed.op", "config", scene.configuration(1));
    for (const std::string& zone : zones) {
        scene.addReplica("app-" + zone, zone, false);
        scene.addReplica("engine-1-" + zone, zone, true, 0, 40);
        scene.addReplica("engine-2-" + zone, zone, true, 40, 80);
    }
    for (const std::string& zone : zones)
        scene.addGateway(zone);
    for (Gateway& gateway : scene.gateways)
        scene.launch(gateway);
    if (!co_await scene.awaitReady())
        co_return 2;
    co_await pauseFor(Ms(3000));
    World world { scene, {}, 0, false, {} };
    asio::co_spawn(scene.context, traffic(world), asio::detached);
    asio::co_spawn(scene.context, watch(world), asio::detached);
    co_await pauseFor(Ms(3000));
    if (world.ordinary.answered == 0 || !world.ends.empty())
        co_return 2;
    int reached = 0;
    for (int round = 0; round < rounds && reached < machines; ++round) {
        for (const Gateway& gateway : scene.gateways) {
            if (!co_await scene.isReady(gateway.ready))
                continue;
            for (int request = 0; request < requestsOfARound; ++request)
                asio::co_spawn(scene.context, uncontrolled(world, gateway), asio::detached);
        }
        co_await pauseFor(Ms(5000));
        reached = static_cast<int>(std::count_if(world.ends.begin(), world.ends.end(), [](const auto& entry) { return entry.second > allowedEnds; }));
    }
    world.over = true;
    co_await pauseFor(callLimit + restartDelay);
    for (const auto& [gateway, ends] : world.ends)
        scene.record.note("gateway " + gateway + " ended by itself " + std::to_string(ends) + " times");
    scene.record.note("ordinary requests: " + std::to_string(world.ordinary.answered) + " of " + std::to_string(world.ordinary.sent) + " have a whole answer");
    scene.record.note("machines whose process ended by itself three times: " + std::to_string(reached));
    co_return reached >= machines ? 1 : 0;
}

}

int main(int argc, char** argv)
{
    if (argc != 2)
        return 2;
    Scene scene(argv[1]);
    return scene.run(play);
}
