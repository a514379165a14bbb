// Case: faulty replicas that send some of their answers twice, the second time at the point where the next answer is expected. Bookings have to run once.
#include "scene.h"

#include <random>

using namespace review;

namespace {

constexpr Ms callLimit { 1500 };
constexpr Ms trafficTime { 64000 };
constexpr int callersAtATime = 24;
// A replica of a plain service of the site: slots, and requests that wait for one.
constexpr int slots = 6;
constexpr int queue = 2;
constexpr Ms work { 40 };
// The largest dose of "garble" with "extra late" at the site: share 0.6 of the replicas, 0.03 of their answers.
constexpr double doubledShare = 0.03;
// It lasts five seconds at a time, and comes more than once.
constexpr Ms faultyTime { 5000 };
constexpr Ms faultyPeriod { 8000 };

struct World {
    Scene& scene;
    std::mt19937 random { 53 };
    std::map<std::string, int> busy; ///< requests in progress, by replica
    std::map<const tcp::socket*, std::string> second; ///< the second copy of the last answer, by channel
    std::map<std::string, int> statuses; ///< by Attempt-Id, of the answer that the client got
    int doubled = 0;
    int doubledRefusals = 0;
    int open = 0;
    Clock::time_point start = Clock::now();

    bool faultyNow() const { return (Clock::now() - this->start) % faultyPeriod < faultyTime; }
};

awaitable<bool> send(World& world, bool faulty, std::shared_ptr<tcp::socket> socket, std::string answer, bool refusal)
{
    if (faulty && world.faultyNow() && std::uniform_real_distribution<double>(0, 1)(world.random) < doubledShare) {
        world.second[socket.get()] = answer;
        ++world.doubled;
        world.doubledRefusals += refusal ? 1 : 0;
    }
    co_return co_await writeText(*socket, answer);
}

/** \brief A replica that rejects requests when it is full, in the words of the platform's example of a server that sheds. */
awaitable<bool> serve(World& world, Replica& replica, bool faulty, std::shared_ptr<tcp::socket> socket, const Message request)
{
    const std::string attempt = request.header("Attempt-Id");
    const std::string expected = request.header("Expect-Instance");
    if (attempt.empty() || (!expected.empty() && expected != replica.id))
        co_return false;
    const auto late = world.second.find(socket.get());
    if (late != world.second.end()) {
        const std::string copy = late->second;
        world.second.erase(late);
        world.scene.record.note("second copy of the last answer at " + replica.id + " before the answer to " + attempt + ": " + copy.substr(0, copy.find('\r')));
        co_await writeText(*socket, copy);
    }
    int& busy = world.busy[replica.id];
    if (busy >= slots + queue) {
        world.scene.record.note("rejected " + attempt + " at " + replica.id);
        co_return co_await send(world, faulty, socket, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", true);
    }
    ++busy;
    world.scene.runs[attempt].push_back(replica.id);
    world.scene.record.note("run " + attempt + " at " + replica.id);
    co_await pauseFor(work);
    --busy;
    co_return co_await send(world, faulty, socket, answerText(200, "Attempt-Id: " + attempt + "\r\nServer-Seal: seal-" + attempt + "\r\nReplica-Load: " + std::to_string(busy) + ",0,6\r\n", "served " + attempt), false);
}

awaitable<void> book(World& world, std::size_t index)
{
    ++world.open;
    const auto until = Clock::now() + trafficTime;
    for (std::size_t round = index; Clock::now() < until; ++round) {
        const Gateway& gateway = world.scene.gateways[round % world.scene.gateways.size()];
        const std::string id = world.scene.nextId();
        world.scene.record.note("sent " + id + " to " + gateway.name);
        const Answer answer = co_await world.scene.call(gateway.front, world.scene.requestText("/book/x", id, static_cast<int>(callLimit.count())), callLimit);
        world.statuses[id] = answer.complete ? answer.status : 0;
        world.scene.record.note("answered " + id + " status " + std::to_string(answer.status));
        co_await pauseFor(Ms(5 + static_cast<int>(world.random() % 40)));
    }
    --world.open;
}

awaitable<int> play(Scene& scene)
{
    World world { scene };
    const std::vector<std::string> zones { "zone-a", "zone-b", "zone-c" };
    scene.store->put("keyed.op", "config", scene.configuration(1));
    for (const std::string& zone : zones) {
        Replica& replica = scene.addReplica("app-" + zone, zone, false);
        const bool faulty = scene.trouble && zone != "zone-c";
        replica.special = [&world, &replica, faulty](std::shared_ptr<tcp::socket> socket, const Message& request) { return serve(world, replica, faulty, std::move(socket), request); };
    }
    for (const std::string& zone : zones)
        scene.addGateway(zone);
    for (Gateway& gateway : scene.gateways)
        scene.launch(gateway);
    if (!co_await scene.awaitReady())
        co_return 2;
    co_await pauseFor(Ms(2000));
    for (std::size_t caller = 0; caller < callersAtATime; ++caller)
        asio::co_spawn(scene.context, book(world, caller), asio::detached);
    do
        co_await pauseFor(Ms(100));
    while (world.open > 0);
    int twice = 0;
    int refused = 0;
    int served = 0;
    for (const auto& [id, status] : world.statuses) {
        const auto runs = scene.runs.find(id);
        const std::size_t count = runs == scene.runs.end() ? 0 : runs->second.size();
        served += status == 200 ? 1 : 0;
        if (count > 1) {
            ++twice;
            scene.record.note("TWICE " + id + " ran " + std::to_string(count) + " times, answered " + std::to_string(status));
        }
        if (count > 0 && (status == 503 || status == 429)) {
            ++refused;
            scene.record.note("REFUSED " + id + " ran and was answered " + std::to_string(status));
        }
    }
    scene.record.note("bookings: " + std::to_string(world.statuses.size()) + " sent, " + std::to_string(served) + " served; answers sent twice: " + std::to_string(world.doubled) + ", of them rejections: " + std::to_string(world.doubledRefusals));
    scene.record.note("ran more than once: " + std::to_string(twice) + "; refused although it ran: " + std::to_string(refused));
    if (served < 100)
        co_return 2;
    co_return twice > 0 || refused > 0 ? 1 : 0;
}

}

int main(int argc, char** argv)
{
    if (argc != 2)
        return 2;
    Scene scene(argv[1]);
    return scene.run(play);
}
