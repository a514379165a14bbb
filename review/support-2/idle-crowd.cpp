// Case: clients that open channels and send nothing, more of them than a machine has descriptors. Ordinary clients have to get answers meanwhile.
#include "scene.h"

#include <filesystem>

using namespace review;

namespace {

constexpr Ms callLimit { 4000 };
// The smallest machine of the site.
constexpr rlim_t descriptorsOfAMachine = 4200;
// The crowd: at each of two gateways more channels than the machine has descriptors and its listener's queue holds.
constexpr int crowdProcesses = 18;
constexpr int channelsOfAProcess = 900;
constexpr Ms crowdTime { 25000 };

struct Count {
    int sent = 0;
    int answered = 0;
    int served = 0;
};

/** \returns the open descriptors of a process */
long descriptors(pid_t process)
{
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(process) + "/fd", error);
    return error ? 0 : std::distance(begin(entries), end(entries));
}

/** \returns the processor time that a process has used */
long ticks(pid_t process)
{
    std::ifstream stat("/proc/" + std::to_string(process) + "/stat");
    std::string field;
    long used = 0;
    for (int index = 1; stat >> field && index <= 15; ++index)
        used += index >= 14 ? std::atol(field.c_str()) : 0;
    return used;
}

struct World {
    Scene& scene;
    int open = 0;
};

/** \brief One client of the crowd, which opens its channel again when the gateway closes it. */
awaitable<void> idle(asio::io_context& context, const std::string address)
{
    while (true) {
        tcp::socket socket(context);
        const auto [error] = co_await socket.async_connect(Scene::endpoint(address), asTuple);
        char byte = 0;
        if (!error)
            co_await socket.async_read_some(asio::buffer(&byte, 1), asTuple);
        co_await pauseFor(Ms(100));
    }
}

awaitable<void> openChannels(asio::io_context& context, const std::vector<std::string> addresses)
{
    for (int channel = 0; channel < channelsOfAProcess; ++channel) {
        asio::co_spawn(context, idle(context, addresses[static_cast<std::size_t>(channel) % addresses.size()]), asio::detached);
        if (channel % 50 == 49)
            co_await pauseFor(Ms(250));
    }
}

/** \brief A part of the crowd in a process of its own, so that the usual limit of descriptors holds it. */
pid_t startCrowd(const std::vector<std::string>& addresses)
{
    const pid_t process = ::fork();
    if (process != 0)
        return process;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    for (int descriptor = 3; descriptor < 1024; ++descriptor)
        ::close(descriptor);
    {
        asio::io_context context;
        asio::co_spawn(context, openChannels(context, addresses), asio::detached);
        context.run_for(crowdTime + Ms(30000));
    }
    ::_exit(0);
}

/** \brief An ordinary request, which is tried at each gateway in turn until it has an answer. */
awaitable<void> ordinary(World& world, std::string path, Count& count)
{
    ++world.open;
    ++count.sent;
    bool answered = false;
    bool served = false;
    for (const Gateway& gateway : world.scene.gateways) {
        const std::string id = world.scene.nextId();
        world.scene.record.note("sent " + id + " " + path + " to " + gateway.name);
        const Answer answer = co_await world.scene.call(gateway.front, world.scene.requestText(path, id, static_cast<int>(callLimit.count()), "800,40", "Connection: close\r\n"), callLimit);
        world.scene.record.note("answered " + id + " status " + std::to_string(answer.status) + (answer.complete ? " complete" : " none or incomplete"));
        answered = answered || (answer.status != 0 && answer.complete);
        served = answer.status == 200 && answer.complete;
        if (served)
            break;
    }
    count.answered += answered ? 1 : 0;
    count.served += served ? 1 : 0;
    --world.open;
}

awaitable<Count> traffic(World& world, Ms duration)
{
    Count count;
    const int before = world.open;
    const auto until = Clock::now() + duration;
    const std::vector<std::string> paths { "/chat/x", "/stock/x", "/book/x" };
    for (std::size_t round = 0; Clock::now() < until; ++round) {
        asio::co_spawn(world.scene.context, ordinary(world, paths[round % paths.size()], count), asio::detached);
        co_await pauseFor(Ms(100));
    }
    while (world.open > before)
        co_await pauseFor(Ms(20));
    co_return count;
}

awaitable<int> play(Scene& scene)
{
    const std::vector<std::string> zones { "zone-a", "zone-b" };
    scene.store->put("keyed.op", "config", scene.configuration(1));
    for (const std::string& zone : zones) {
        scene.addReplica("app-" + zone, zone, false);
        scene.addReplica("engine-1-" + zone, zone, true, 0, 40);
        scene.addReplica("engine-2-" + zone, zone, true, 40, 80);
    }
    for (const std::string& zone : zones)
        scene.addGateway(zone);
    for (Gateway& gateway : scene.gateways)
        scene.launch(gateway, descriptorsOfAMachine);
    if (!co_await scene.awaitReady())
        co_return 2;
    co_await pauseFor(Ms(3000));
    World world { scene };
    const Count before = co_await traffic(world, Ms(4000));
    if (before.served < before.sent)
        co_return 2;
    std::vector<pid_t> crowd;
    for (int part = 0; scene.trouble && part < crowdProcesses; ++part)
        crowd.push_back(startCrowd({ scene.gateways[0].front, scene.gateways[1].front }));
    co_await pauseFor(Ms(7000));
    std::map<std::string, long> processorTicks;
    for (const Gateway& gateway : scene.gateways) {
        scene.record.note("gateway " + gateway.name + " has " + std::to_string(descriptors(gateway.process)) + " descriptors of " + std::to_string(descriptorsOfAMachine));
        processorTicks[gateway.name] = ticks(gateway.process);
    }
    const Count during = co_await traffic(world, crowdTime);
    for (const Gateway& gateway : scene.gateways)
        scene.record.note("gateway " + gateway.name + ": " + std::to_string(ticks(gateway.process) - processorTicks[gateway.name]) + " ticks of the processor meanwhile");
    for (const pid_t process : crowd) {
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
    }
    scene.record.note("ordinary requests meanwhile: " + std::to_string(during.sent) + " sent, " + std::to_string(during.answered) + " answered, " + std::to_string(during.served) + " served");
    bool running = true;
    for (Gateway& gateway : scene.gateways)
        running = scene.running(gateway) && running;
    co_return during.answered < during.sent / 2 || !running ? 1 : 0;
}

}

int main(int argc, char** argv)
{
    if (argc != 2)
        return 2;
    Scene scene(argv[1]);
    return scene.run(play);
}
