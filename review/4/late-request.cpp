// LOST: gateways, each the only one of its zone, get SIGTERM in turn, still take requests that are sent later than 3 s after it, and break them
// off when they end.
#include "../support/Harness.h"

using namespace review;

namespace {

// Streams as long as the longest of the site: 221 events.
constexpr int events = 221;
constexpr auto eventGap = 24ms;
constexpr auto requestInterval = 5ms;
// Requests are sent in this span after the SIGTERM.
constexpr auto firstRequest = 2800ms;
constexpr auto lastRequest = 3200ms;
constexpr int gatewayCount = 4;
constexpr auto stopInterval = 1300ms; // gap_s of the site's roll_term
// "sent no later than 3 s after the SIGTERM", and some time for its delivery.
constexpr auto lastExcused = 3002ms;
constexpr auto graceTime = 8s; // GraceS of the site

std::mutex mutex;
std::set<std::string> running; ///< ids of the requests that the engine runs or has run

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
    const std::string id = request.header("Attempt-Id");
    {
        const std::lock_guard lock(mutex);
        running.insert(id);
    }
    replica.log("runs " + id);
    bool open = connection.send(streamHead(request));
    for (int number = 1; open && number <= events; ++number) {
        std::this_thread::sleep_for(eventGap);
        open = !connection.closedByPeer() && connection.send(chunk(event(number)));
    }
    open = open && connection.send("0\r\n\r\n");
    replica.log(open ? "has sent the whole answer to " + id : "the gateway has closed the channel of " + id);
    if (!open)
        connection.close();
}

bool run(Record& record, const std::string& folder)
{
    Store& store = keep<Store>();
    Replica& engine = keep<Replica>(record, "engine-1", answer);
    Heartbeats& heartbeats = keep<Heartbeats>(store);
    heartbeats.engine(engine, "zone-a", 0, 8);
    heartbeats.start();
    Routes routes;
    routes.resumable = true;
    store.put("keyed.op", "config", configuration(1, routes));
    std::vector<int> peers;
    for (int number = 0; number < gatewayCount; ++number)
        peers.push_back(freePort());
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int number = 0; number < gatewayCount; ++number) {
        Gateway::Options options;
        options.zone = "zone-" + std::string(1, static_cast<char>('a' + number));
        options.peers = peers[static_cast<std::size_t>(number)];
        options.seeds = { peers[0], peers[1], peers[2] };
        gateways.push_back(std::make_unique<Gateway>(folder, "gateway-" + std::to_string(number + 1), store.port(), options));
    }
    for (const auto& gateway : gateways)
        gateway->awaitReady();

    std::atomic<int> lost { 0 };
    std::atomic<int> late { 0 };
    const auto send = [&](Gateway& gateway, const std::string& id, Clock::time_point termAt) {
        const auto connection = connectTo(gateway.port());
        const auto sentAfter = std::chrono::duration<double, std::milli>(Clock::now() - termAt);
        if (!connection || !connection->send(clientRequest("POST", "/chat/1", id, 20000, "body"))) {
            record.write("client: no channel for " + id + " " + std::to_string(sentAfter.count()) + " ms after the SIGTERM");
            return;
        }
        const StreamAnswer got = readStream(*connection, 15s);
        const std::lock_guard lock(mutex);
        const bool ran = running.contains(id);
        record.write("client: " + id + ", sent " + std::to_string(sentAfter.count()) + " ms after the SIGTERM: status " + std::to_string(got.status) + ", " + std::to_string(got.events.size()) + " events, " + (got.complete ? "complete" : "the channel was closed") + (ran ? ", ran" : ", not passed on"));
        if (!ran || sentAfter <= lastExcused || sentAfter >= graceTime)
            return;
        ++late;
        lost += got.complete ? 0 : 1;
    };
    std::vector<std::thread> stops;
    const auto begin = Clock::now();
    for (int number = 0; number < gatewayCount; ++number) {
        stops.emplace_back([&, number] {
            Gateway& gateway = *gateways[static_cast<std::size_t>(number)];
            std::this_thread::sleep_until(begin + number * stopInterval);
            const auto termAt = Clock::now();
            if (troubled()) {
                record.write("SIGTERM to gateway-" + std::to_string(number + 1));
                gateway.signal(SIGTERM);
            }
            std::vector<std::thread> clients;
            int call = 0;
            for (auto at = termAt + firstRequest; at < termAt + lastRequest; at += requestInterval) {
                std::this_thread::sleep_until(at);
                clients.emplace_back([&, termAt, id = "stream-" + std::to_string(number + 1) + "-" + std::to_string(++call)] { send(gateway, id, termAt); });
            }
            for (std::thread& client : clients)
                client.join();
        });
    }
    for (std::thread& stop : stops)
        stop.join();
    record.write("requests that were sent later than 3 s after the SIGTERM and passed on: " + std::to_string(late) + ", of which ended without a complete answer: " + std::to_string(lost));
    return lost == 0;
}

}

int main(int argc, char** argv)
{
    return runCase(argc, argv, run);
}
