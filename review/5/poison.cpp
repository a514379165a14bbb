// BUDGET: a part of a prompt crashes each engine that begins to write an answer on it, after the answer's first event.
#include "../support/Harness.h"

using namespace review;

namespace {

constexpr int engines = 8;
constexpr auto downTime = 3s; // "the replica is back after some seconds"
constexpr auto stableWindow = 3000ms; // StableWindowMs of the site
// share 0.03 for 20 s, as in the letter's day
constexpr auto soundInterval = 25ms;
constexpr auto poisonInterval = 850ms;
constexpr auto firstPoison = 2s;
constexpr auto lastPoison = 22s;
constexpr auto runTime = 24s;
const std::string poisonPart = "bad0bad0";

std::mutex mutex;
std::map<std::string, Link*> links;
std::set<std::string> down; ///< ids of the engines that have crashed and aren't back yet
std::vector<Clock::time_point> crashes;
std::vector<Clock::time_point> poisonArrivals;
Heartbeats* heartbeats = nullptr;

void crash(Replica& replica)
{
    const std::string id = replica.id();
    Link& link = *links.at(id);
    {
        // Another request may have crashed it just before.
        const std::lock_guard lock(mutex);
        if (!down.insert(id).second)
            return;
        crashes.push_back(Clock::now());
    }
    replica.log("crashes");
    heartbeats->pause(id);
    link.cut();
    std::thread([id, &link, &replica] {
        std::this_thread::sleep_for(downTime);
        link.heal();
        {
            const std::lock_guard lock(mutex);
            down.erase(id);
        }
        heartbeats->resume(id);
        replica.log("is back");
    }).detach();
}

void answer(Replica& replica, Connection& connection, const Message& request)
{
    if (request.path() == "/filbertspoke/report") {
        connection.send(idleReport(0, 8));
        return;
    }
    if (request.path().starts_with("/filbertspoke/")) {
        connection.send(response(200, ""));
        return;
    }
    const bool poison = request.header("Prompt-Prefix").find(poisonPart) != std::string::npos;
    if (poison) {
        const std::lock_guard lock(mutex);
        poisonArrivals.push_back(Clock::now());
        replica.log("gets " + request.header("Attempt-Id") + " with the part");
    }
    const int first = std::atoi(request.header("Last-Event-Id").c_str()) + 1;
    bool open = connection.send(streamHead(request));
    for (int number = first; open && number <= 10; ++number) {
        std::this_thread::sleep_for(10ms);
        open = !connection.closedByPeer() && connection.send(chunk(event(number)));
        if (poison) {
            std::this_thread::sleep_for(5ms);
            crash(replica);
            connection.close();
            return;
        }
    }
    if (!open || !connection.send("0\r\n\r\n"))
        connection.close();
}

bool run(Record& record, const std::string& folder)
{
    Store& store = keep<Store>();
    heartbeats = &keep<Heartbeats>(store);
    for (int number = 1; number <= engines; ++number) {
        Replica& engine = keep<Replica>(record, "engine-" + std::to_string(number), answer);
        Link& link = keep<Link>(engine.port());
        links[engine.id()] = &link;
        heartbeats->engineBehind(engine, link, "zone-a", 0, 8);
    }
    heartbeats->start();
    Routes routes;
    routes.resumable = true;
    store.put("keyed.op", "config", configuration(1, routes));
    Gateway gateway(folder, "gateway-1", store.port(), {});
    gateway.awaitReady();

    std::atomic<int> served { 0 };
    std::atomic<int> sent { 0 };
    std::vector<std::thread> threads;
    const auto begin = Clock::now();
    auto nextPoison = begin + firstPoison;
    int number = 0;
    for (auto at = begin; at < begin + runTime; at += soundInterval) {
        std::this_thread::sleep_until(at);
        const bool poison = troubled() && at >= nextPoison && at < begin + lastPoison;
        if (poison)
            nextPoison += poisonInterval;
        const std::string id = (poison ? "poison-" : "sound-") + std::to_string(++number);
        threads.emplace_back([&, id, poison] {
            const auto connection = connectTo(gateway.port());
            if (!connection)
                return;
            std::string text = clientRequest("POST", "/chat/1", id, 20000, "body");
            if (poison)
                text.insert(text.find("5c1e07a2:40,") + 12, poisonPart + ":50,");
            connection->send(text);
            const StreamAnswer got = readStream(*connection, 20s);
            record.write("client: " + id + ": status " + std::to_string(got.status) + ", events " + listed(got.events));
            if (!poison) {
                ++sent;
                served += got.complete && got.status == 200 ? 1 : 0;
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    const std::lock_guard lock(mutex);
    int late = 0;
    if (crashes.size() >= 5) {
        for (const auto& at : poisonArrivals)
            late += at > crashes[4] + stableWindow ? 1 : 0;
    }
    record.write("crashes: " + std::to_string(crashes.size()) + ", requests with the part that reached engines later than StableWindowMs after the fifth crash: " + std::to_string(late) + "; sound requests served: " + std::to_string(served) + " of " + std::to_string(sent));
    return late <= 3;
}

}

int main(int argc, char** argv)
{
    return runCase(argc, argv, run);
}
