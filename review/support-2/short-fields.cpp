// Case: clients whose heads stay inside the limit of bytes, but are made of very many short fields, and whose bodies are slow. The gateways have to
// stay within the memory of their machines.
#include "scene.h"

using namespace review;

namespace {

constexpr Ms callLimit { 4000 };
constexpr Ms restartDelay { 1000 };
constexpr std::size_t headBytes = 16000; ///< of 16,384 that the configuration allows
constexpr int crowd = 1600; ///< channels at each gateway
constexpr Ms crowdTime { 2500 }; ///< less than the time that the configuration gives a client for its request
constexpr int rounds = 8;
// The machines of the site: memory in MB, by zone.
const std::map<std::string, long> memoryMb { { "zone-a", 390 }, { "zone-c", 260 } };
// The rule "Fault": more ends than this without a disturbance, memory over the limit counted, at this many machines.
constexpr int allowedEnds = 2;
constexpr int machines = 2;

struct World {
    Scene& scene;
    int sent = 0;
    int answered = 0;
    int open = 0;
    bool over = false;
    std::map<std::string, int> ends; ///< by gateway
    std::map<std::string, long> peakMb;
};

long residentMb(pid_t process)
{
    std::ifstream statm("/proc/" + std::to_string(process) + "/statm");
    long size = 0;
    long resident = 0;
    statm >> size >> resident;
    return resident * ::sysconf(_SC_PAGESIZE) / 1048576;
}

/** \brief Plays the platform: a process that exceeds the memory of its machine is killed, and one that ended starts again. */
awaitable<void> watch(World& world)
{
    while (!world.over) {
        for (Gateway& gateway : world.scene.gateways) {
            const long limit = memoryMb.at(gateway.zone);
            const long used = residentMb(gateway.process);
            world.peakMb[gateway.name] = std::max(world.peakMb[gateway.name], used);
            if (used > limit) {
                world.scene.record.note("gateway " + gateway.name + " uses " + std::to_string(used) + " MB of " + std::to_string(limit) + ": the platform kills it");
                world.scene.stop(gateway, SIGKILL);
            } else if (world.scene.running(gateway)) {
                continue;
            }
            ++world.ends[gateway.name];
            co_await pauseFor(restartDelay);
            world.scene.launch(gateway);
        }
        co_await pauseFor(Ms(20));
    }
}

awaitable<void> ordinary(World& world, std::size_t index, std::string path)
{
    ++world.open;
    ++world.sent;
    const Gateway& gateway = world.scene.gateways[index];
    const std::string id = world.scene.nextId();
    world.scene.record.note("sent " + id + " " + path + " to " + gateway.name);
    const Answer answer = co_await world.scene.call(gateway.front, world.scene.requestText(path, id, static_cast<int>(callLimit.count())), callLimit);
    world.scene.record.note("answered " + id + " status " + std::to_string(answer.status) + (answer.complete ? " complete" : " none or incomplete"));
    world.answered += answer.status != 0 && answer.complete ? 1 : 0;
    --world.open;
}

awaitable<void> traffic(World& world)
{
    const std::vector<std::string> paths { "/chat/x", "/stock/x", "/book/x" };
    for (std::size_t round = 0; !world.over; ++round) {
        asio::co_spawn(world.scene.context, ordinary(world, round % world.scene.gateways.size(), paths[round % paths.size()]), asio::detached);
        co_await pauseFor(Ms(100));
    }
}

/** \brief One client of the crowd: a whole head, and a body that does not come. */
awaitable<void> slow(World& world, const std::string address)
{
    std::string head = "POST /book/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + world.scene.nextId() + "\r\nDeadline-Ms: 4000\r\nKey: key-1\r\nContent-Length: 4\r\n";
    // Without the disruption, the head has the same length and one field.
    if (!world.scene.trouble)
        head += "a:" + std::string(headBytes - head.size(), 'x') + "\r\n";
    while (head.size() < headBytes)
        head += "a:\r\n";
    tcp::socket socket(world.scene.context);
    const auto [error] = co_await socket.async_connect(Scene::endpoint(address), asTuple);
    if (!error && co_await writeText(socket, head + "\r\n"))
        co_await pauseFor(crowdTime);
}

awaitable<int> play(Scene& scene)
{
    rlimit own {};
    ::getrlimit(RLIMIT_NOFILE, &own);
    own.rlim_cur = own.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &own);
    if (own.rlim_cur < crowd * memoryMb.size() + 500)
        co_return 2;
    World world { scene };
    scene.store->put("keyed.op", "config", scene.configuration(1));
    for (const auto& [zone, memory] : memoryMb) {
        scene.addReplica("app-" + zone, zone, false);
        scene.addReplica("engine-1-" + zone, zone, true, 0, 40);
        scene.addReplica("engine-2-" + zone, zone, true, 40, 80);
    }
    for (const auto& [zone, memory] : memoryMb)
        scene.addGateway(zone);
    for (Gateway& gateway : scene.gateways)
        scene.launch(gateway);
    if (!co_await scene.awaitReady())
        co_return 2;
    co_await pauseFor(Ms(2000));
    asio::co_spawn(scene.context, watch(world), asio::detached);
    asio::co_spawn(scene.context, traffic(world), asio::detached);
    co_await pauseFor(Ms(3000));
    if (world.answered == 0 || !world.ends.empty())
        co_return 2;
    int reached = 0;
    for (int round = 0; round < rounds && reached < machines; ++round) {
        for (int channel = 0; channel < crowd; ++channel) {
            for (const Gateway& gateway : scene.gateways)
                asio::co_spawn(scene.context, slow(world, gateway.front), asio::detached);
            if (channel % 100 == 99)
                co_await pauseFor(Ms(20));
        }
        co_await pauseFor(crowdTime + Ms(4000));
        reached = static_cast<int>(std::count_if(world.ends.begin(), world.ends.end(), [](const auto& entry) { return entry.second > allowedEnds; }));
    }
    world.over = true;
    while (world.open > 0)
        co_await pauseFor(Ms(50));
    for (const auto& [gateway, peak] : world.peakMb)
        scene.record.note("gateway " + gateway + ": peak " + std::to_string(peak) + " MB, ended " + std::to_string(world.ends[gateway]) + " times");
    scene.record.note("ordinary requests: " + std::to_string(world.answered) + " of " + std::to_string(world.sent) + " have a whole answer");
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
