// LOST: streams that are under way when their gateway gets SIGTERM, at an engine that falls silent for a moment and goes on.
#include "../support/Harness.h"

using namespace review;

namespace {

constexpr int streams = 8;
constexpr int events = 40;
constexpr auto eventGap = 50ms;
// "A sound replica may fall silent for a second or so and go on".
constexpr auto silence = 1400ms;

std::atomic<Clock::rep> silentUntil { 0 };

void awaitEndOfSilence()
{
    while (Clock::now().time_since_epoch().count() < silentUntil)
        std::this_thread::sleep_for(2ms);
}

void answer(Replica& replica, Connection& connection, const Message& request)
{
    const bool plain = request.header("Hop-Count").empty() && !request.path().starts_with("/filbertspoke/");
    if (plain) {
        connection.send(response(200, "served", sealedHead(request)));
        return;
    }
    awaitEndOfSilence();
    if (request.path() == "/filbertspoke/report") {
        connection.send(idleReport(0, 8));
        return;
    }
    if (request.path().starts_with("/filbertspoke/")) {
        connection.send(response(200, ""));
        return;
    }
    const std::string id = request.header("Attempt-Id");
    const int first = std::atoi(request.header("Last-Event-Id").c_str()) + 1;
    replica.log("runs " + id + " from event " + std::to_string(first));
    bool open = connection.send(streamHead(request));
    for (int number = first; open && number <= events; ++number) {
        std::this_thread::sleep_for(eventGap);
        awaitEndOfSilence();
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
    Replica& app = keep<Replica>(record, "app-1", answer);
    Heartbeats& heartbeats = keep<Heartbeats>(store);
    heartbeats.engine(engine, "zone-a", 0, 8);
    heartbeats.plain(app, "app", "zone-a");
    heartbeats.start();
    Routes routes;
    routes.resumable = true;
    store.put("keyed.op", "config", configuration(1, routes));
    Gateway gateway(folder, "gateway-1", store.port(), {});
    gateway.awaitReady();

    std::atomic<int> cut { 0 };
    std::vector<std::thread> clients;
    for (int number = 1; number <= streams; ++number) {
        clients.emplace_back([&, number] {
            auto connection = connectTo(gateway.port());
            if (!connection)
                return;
            // A channel that has served a request before, and that the gateway keeps open, is a kept one.
            connection->send(clientRequest("GET", "/stock/1", "call-" + std::to_string(number), 1500, ""));
            const auto served = connection->read(2s);
            if (!served || served->header("Connection") == "close")
                connection = connectTo(gateway.port());
            if (!connection)
                return;
            connection->send(clientRequest("POST", "/chat/1", "stream-" + std::to_string(number), 20000, "body"));
            record.write("client " + std::to_string(number) + ": sent stream-" + std::to_string(number));
            const StreamAnswer answer = readStream(*connection, 20s);
            record.write("client " + std::to_string(number) + ": status " + std::to_string(answer.status) + ", " + std::to_string(answer.events.size()) + " events, " + (answer.complete ? "complete" : connection->ended ? "the channel was closed"
                                                                                                                                                                                                                          : "no end"));
            // A failure that is answered whole, such as 502, is a complete answer.
            if (!answer.complete)
                ++cut;
        });
    }
    std::this_thread::sleep_for(600ms);
    record.write("SIGTERM to the gateway");
    gateway.signal(SIGTERM);
    std::this_thread::sleep_for(300ms);
    if (troubled()) {
        record.write("engine-1 falls silent for " + std::to_string(silence.count()) + " ms");
        silentUntil = (Clock::now() + silence).time_since_epoch().count();
    }
    for (std::thread& client : clients)
        client.join();
    record.write("streams that ended without a complete answer: " + std::to_string(cut) + " of " + std::to_string(streams));
    return cut == 0;
}

}

int main(int argc, char** argv)
{
    return runCase(argc, argv, run);
}
