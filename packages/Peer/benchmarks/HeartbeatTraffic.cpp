// Measures what the heartbeats between daemons cost, in virtual time: messages and bytes a second
// for each daemon, processor time, and how long the death of a daemon takes to be known.
#include <filbertspoke/Membership>
#include <filbertspoke/Peer>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <queue>
#include <variant>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t datagramHeaderBytes = 28; // IPv4 and UDP
constexpr Duration oneWayDelay = 500us;
constexpr unsigned failureDomains = 7;

ListedDaemon daemonNumber(unsigned number)
{
    return { DaemonId("entry-" + std::to_string(number)), FailureDomainId("domain-" + std::to_string(number % failureDomains)),
        "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1), 7000 };
}

class Simulation {
public:
    explicit Simulation(unsigned size)
    {
        for (unsigned number = 0; number < size; ++number)
            this->listed.push_back({ daemonNumber(number), false });
        for (unsigned number = 0; number < size; ++number) {
            this->nodes.push_back(this->makeNode(number));
            this->events.push({ this->now + Duration(this->random() % 1'000'000), number, std::nullopt });
        }
    }

    void run(Duration duration)
    {
        const TimePoint end = this->now + duration;
        while (!this->events.empty() && this->events.top().when <= end) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.when;
            this->take(event);
        }
        this->now = end;
    }

    void kill(unsigned number) { this->nodes[number].reset(); }
    void restart(unsigned number)
    {
        this->nodes[number] = this->makeNode(number);
        this->events.push({ this->now, number, std::nullopt });
    }
    std::size_t countSeeing(unsigned number, MemberState state) const
    {
        return static_cast<std::size_t>(std::count_if(this->nodes.begin(), this->nodes.end(), [&](const auto& node) {
            return node && node->state(daemonNumber(number).id) == state;
        }));
    }
    std::size_t size() const { return this->nodes.size(); }
    unsigned draw() { return static_cast<unsigned>(this->random() % this->nodes.size()); }
    void resetCounts() { this->messages = this->bytes = 0; }

    std::size_t messages = 0;
    std::size_t bytes = 0;

private:
    struct Event {
        TimePoint when;
        unsigned node = 0;
        std::optional<PeerMessage> message; ///< nothing for a tick

        bool operator<(const Event& other) const { return this->when > other.when; }
    };

    std::unique_ptr<PeerDirectory> makeNode(unsigned number)
    {
        const auto incarnation = static_cast<std::uint64_t>(1'700'000'000'000'000 + this->now.time_since_epoch().count());
        auto node = std::make_unique<PeerDirectory>(daemonNumber(number), incarnation);
        node->listed(this->listed, this->now);
        node->setLoad(4'711, 60);
        return node;
    }

    void take(const Event& event)
    {
        PeerDirectory* node = this->nodes[event.node].get();
        if (!node)
            return;
        if (!event.message) {
            this->send(node->tick(this->now, this->random));
            this->events.push({ std::max(node->nextWake(), this->now + 1ms), event.node, std::nullopt });
        } else {
            std::visit(Overloaded {
                           [&](const PeerProbe& message) { this->send(node->received(message, this->now, this->random)); },
                           [&](const PeerProbeRequest& message) { this->send(node->received(message, this->now, this->random)); },
                           [&](const PeerProbeAnswer& message) { this->send(node->received(message, this->now, this->random)); },
                           [](const auto&) {} },
                *event.message);
        }
        node->takeChanges();
    }

    void send(const PeerEnvelopes& envelopes)
    {
        for (const PeerEnvelope& envelope : envelopes) {
            ++this->messages;
            this->bytes += encodePeerFrame({ envelope.peer.id, envelope.message }).size() + datagramHeaderBytes;
            const auto node = static_cast<unsigned>(std::stoul(envelope.peer.id.str().substr(6)));
            this->events.push({ this->now + oneWayDelay, node, envelope.message });
        }
    }

    TimePoint now { 1h };
    Random random { 1 };
    std::vector<ListedHost> listed;
    std::vector<std::unique_ptr<PeerDirectory>> nodes;
    std::priority_queue<Event> events;
};

struct Cost {
    double messagesPerSecond = 0;
    double bytesPerSecond = 0;
    double microsecondsPerSecond = 0; ///< of one core, the simulation itself included
};

/** \param restartInterval time between two restarts in the whole fleet; zero for none */
Cost measure(Simulation& simulation, Duration duration, Duration restartInterval)
{
    simulation.resetCounts();
    const auto started = std::clock();
    if (restartInterval == Duration::zero()) {
        simulation.run(duration);
    } else {
        for (Duration passed {}; passed < duration; passed += restartInterval) {
            simulation.restart(simulation.draw());
            simulation.run(restartInterval);
        }
    }
    const double processor = 1e6 * static_cast<double>(std::clock() - started) / CLOCKS_PER_SEC;
    const double share = static_cast<double>(simulation.size()) * std::chrono::duration<double>(duration).count();
    return { static_cast<double>(simulation.messages) / share, static_cast<double>(simulation.bytes) / share, processor / share };
}

/** \returns seconds until the share of the others, in percent, sees the daemon in the state */
double secondsUntil(Simulation& simulation, unsigned number, MemberState state, std::size_t percent)
{
    constexpr Duration step = 100ms;
    constexpr Duration limit = 120s;
    Duration passed {};
    while (passed < limit && 100 * simulation.countSeeing(number, state) < percent * (simulation.size() - 1)) {
        simulation.run(step);
        passed += step;
    }
    return std::chrono::duration<double>(passed).count();
}

void report(unsigned size)
{
    constexpr Duration settling = 150s;
    constexpr Duration window = 60s;
    // 4600 restarts and 190 failures a day, taken for one fleet of daemons alone.
    constexpr Duration restartInterval = 18s;
    Simulation simulation(size);
    simulation.run(settling);
    const Cost quiet = measure(simulation, window, Duration::zero());
    const Cost churn = measure(simulation, 5 * restartInterval, restartInterval);
    simulation.run(settling);
    simulation.kill(0);
    const double first = secondsUntil(simulation, 0, MemberState::Gone, 1);
    const double last = first + secondsUntil(simulation, 0, MemberState::Gone, 100);
    std::printf("%8u %10.2f %10.0f %10.0f %10.0f %10.0f %12.1f %12.1f\n", size, quiet.messagesPerSecond, quiet.bytesPerSecond,
        churn.bytesPerSecond, quiet.microsecondsPerSecond, churn.microsecondsPerSecond, first, last);
    std::printf("{\"benchmark\":\"heartbeat-traffic\",\"daemons\":%u,\"messagesPerSecond\":%.3f,\"bytesPerSecond\":%.1f,"
                "\"bytesPerSecondRestarting\":%.1f,\"microsecondsPerSecond\":%.1f,\"goneFirstSeconds\":%.1f,\"goneLastSeconds\":%.1f}\n",
        size, quiet.messagesPerSecond, quiet.bytesPerSecond, churn.bytesPerSecond, quiet.microsecondsPerSecond, first, last);
}

}

int main()
{
    std::printf("%8s %10s %10s %10s %10s %10s %12s %12s\n", "daemons", "messages/s", "bytes/s", "restarting", "us/s", "restarting",
        "gone first s", "gone last s");
    for (const unsigned size : { 4U, 40U, 200U, 1400U })
        report(size);
}
