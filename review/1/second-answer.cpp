// TWICE: the first engine of a chain sends few of its refusals a second time, late, on the channel on which the gateway has sent the same
// request again by another chain.
#include "../support/Harness.h"

using namespace review;

namespace {

constexpr int streams = 300;
constexpr int clientsAtOnce = 4;
constexpr int events = 10;
// Of the answers of engine-a, one of three engines, at most one in this many is sent twice: x = 0.02 at share = 0.34.
constexpr int answersForEachExtra = 50;
constexpr auto extraDelay = 25ms;

std::mutex mutex;
std::map<std::string, int> runs; ///< how often a request has run, by its attempt id
int answersOfFirst = 0;
int refusals = 0;
int extraAnswers = 0;
int answersAtLastExtra = 0; ///< answersOfFirst when the last answer was sent twice
int shortAddress = 0; ///< of the later engine that is short of memory at times

void answer(Replica& replica, Connection& connection, const Message& request)
{
    const bool first = replica.id() == "engine-a";
    if (request.path() == "/filbertspoke/report") {
        connection.send(idleReport(first ? 0 : 4, first ? 4 : 8));
        return;
    }
    if (request.path().starts_with("/filbertspoke/")) {
        connection.send(response(200, ""));
        return;
    }
    const std::string id = request.header("Attempt-Id");
    const std::string path = request.header("Hop-Count");
    bool refuse = false;
    bool extra = false;
    {
        const std::lock_guard lock(mutex);
        ++answersOfFirst;
        // Every 30th request finds the later engine short of memory, as when a long prompt fills it.
        refuse = answersOfFirst % 30 == 0 && path.find(addressText(shortAddress)) != std::string::npos;
        refusals += refuse ? 1 : 0;
        extra = refuse && troubled() && answersOfFirst - answersAtLastExtra >= answersForEachExtra;
        if (extra) {
            ++extraAnswers;
            answersAtLastExtra = answersOfFirst;
        }
        runs[id] += refuse ? 0 : 1;
    }
    if (refuse) {
        const std::string refusal = response(503, "", "Attempt-Id: " + id + "\r\nNot-Executed: 1\r\nAt-Server: " + addressText(shortAddress) + "\r\n");
        replica.log("refuses " + id + ", whose path is " + path + (extra ? ", and sends the answer twice" : ""));
        connection.send(refusal);
        if (extra) {
            std::this_thread::sleep_for(extraDelay);
            connection.send(refusal);
        }
        return;
    }
    replica.log("runs " + id + " by " + path);
    bool open = connection.send(streamHead(request));
    for (int number = 1; open && number <= events; ++number) {
        std::this_thread::sleep_for(5ms);
        open = !connection.closedByPeer() && connection.send(chunk(event(number)));
    }
    open = open && connection.send("0\r\n\r\n");
    if (!open)
        connection.close();
}

bool run(Record& record, const std::string& folder)
{
    Store& store = keep<Store>();
    Replica& first = keep<Replica>(record, "engine-a", answer);
    Replica& one = keep<Replica>(record, "engine-b", answer);
    Replica& two = keep<Replica>(record, "engine-c", answer);
    shortAddress = one.port();
    Heartbeats& heartbeats = keep<Heartbeats>(store);
    heartbeats.engine(first, "zone-a", 0, 4);
    heartbeats.engine(one, "zone-a", 4, 8);
    heartbeats.engine(two, "zone-a", 4, 8);
    heartbeats.start();
    Routes routes;
    routes.attempts = 2;
    store.put("keyed.op", "config", configuration(1, routes));
    Gateway gateway(folder, "gateway-1", store.port(), {});
    gateway.awaitReady();

    std::atomic<int> next { 0 };
    std::atomic<int> served { 0 };
    std::vector<std::thread> clients;
    for (int client = 0; client < clientsAtOnce; ++client) {
        clients.emplace_back([&] {
            for (int number = ++next; number <= streams; number = ++next) {
                const std::string id = "stream-" + std::to_string(number);
                const auto connection = connectTo(gateway.port());
                if (!connection)
                    continue;
                connection->send(clientRequest("POST", "/chat/1", id, 20000, "body"));
                const StreamAnswer got = readStream(*connection, 20s);
                served += got.status == 200 && got.complete ? 1 : 0;
                record.write("client: " + id + ": status " + std::to_string(got.status) + (got.complete ? ", complete" : ", broken off") + ", events " + listed(got.events));
            }
        });
    }
    for (std::thread& client : clients)
        client.join();
    std::this_thread::sleep_for(1s);
    const std::lock_guard lock(mutex);
    int twice = 0;
    for (const auto& [id, count] : runs) {
        if (count > 1) {
            ++twice;
            record.write(id + " has run " + std::to_string(count) + " times, on a route without StreamResume");
        }
    }
    record.write("complete streams: " + std::to_string(served) + ", refusals: " + std::to_string(refusals) + ", answers of engine-a: " + std::to_string(answersOfFirst) + ", sent twice: " + std::to_string(extraAnswers) + ", requests that ran more than once: " + std::to_string(twice));
    if (served < streams / 2)
        throw CannotRun { "fewer than half of the streams were served" };
    return twice == 0;
}

}

int main(int argc, char** argv)
{
    return runCase(argc, argv, run);
}
