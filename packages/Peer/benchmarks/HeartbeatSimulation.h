// Simulates daemons that exchange heartbeats in virtual time, in frames as the peer link encodes them.
#ifndef FILBERTSPOKE_HEARTBEAT_SIMULATION_H
#define FILBERTSPOKE_HEARTBEAT_SIMULATION_H

#include <filbertspoke/Membership>
#include <filbertspoke/Peer>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <variant>
#include <vector>

namespace filbertspoke::benchmarks {

using namespace std::chrono_literals;

constexpr std::size_t datagramHeaderBytes = 28; // IPv4 and UDP headers
constexpr Duration oneWayDelay = 500us;
constexpr unsigned failureDomains = 7;

inline ListedDaemon daemonNumber(unsigned number)
{
    return { DaemonId("entry-" + std::to_string(number)), FailureDomainId("domain-" + std::to_string(number % failureDomains)),
        "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1), 7000 };
}

/** \brief Daemons that exchange heartbeats over a lossless network with a fixed delay, in virtual time. */
class Simulation {
public:
    explicit Simulation(unsigned size, PeerDirectorySettings settings = {})
        : settings(settings)
        , revisions(size, 0)
    {
        for (unsigned number = 0; number < size; ++number)
            this->listed.push_back({ daemonNumber(number), false });
        for (unsigned number = 0; number < size; ++number) {
            this->nodes.push_back(this->makeNode(number));
            this->events.push({ this->now + Duration(this->random() % 1'000'000), number, std::nullopt, 0 });
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
        this->events.push({ this->now, number, std::nullopt, 0 });
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

    /** \brief Gives one daemon a new configuration; a daemon that receives a newer revision fetches it from the sender.
     * \param announces whether a daemon announces it to a few peers at once instead of waiting for its next heartbeats */
    void publish(unsigned number, LogOffset revision, bool announces)
    {
        this->announcing = announces;
        this->adoptRevision(number, revision);
    }
    std::size_t countAt(LogOffset revision) const
    {
        return static_cast<std::size_t>(std::count(this->revisions.begin(), this->revisions.end(), revision));
    }

    std::size_t messages = 0;
    std::size_t bytes = 0;

private:
    struct Event {
        TimePoint when;
        unsigned node = 0;
        std::optional<PeerMessage> message; ///< nothing for a tick
        LogOffset fetchedRevision = 0; ///< configuration revision that arrives from a peer; 0 for none

        bool operator<(const Event& other) const { return this->when > other.when; }
    };

    std::unique_ptr<PeerDirectory> makeNode(unsigned number)
    {
        const auto incarnation = static_cast<std::uint64_t>(1'700'000'000'000'000 + this->now.time_since_epoch().count());
        auto node = std::make_unique<PeerDirectory>(daemonNumber(number), incarnation, this->settings);
        node->listed(this->listed, this->now);
        node->setLoad(this->revisions[number], requestsInProgress);
        return node;
    }

    void take(const Event& event)
    {
        PeerDirectory* node = this->nodes[event.node].get();
        if (!node)
            return;
        if (event.fetchedRevision > 0) {
            this->adoptRevision(event.node, event.fetchedRevision);
        } else if (!event.message) {
            this->send(node->tick(this->now, this->random));
            this->events.push({ std::max(node->nextWake(), this->now + 1ms), event.node, std::nullopt, 0 });
        } else {
            std::visit(Overloaded {
                           [&](const PeerProbe& message) { this->receive(event.node, message); },
                           [&](const PeerProbeRequest& message) { this->receive(event.node, message); },
                           [&](const PeerProbeAnswer& message) { this->receive(event.node, message); },
                           [](const auto&) {} },
                *event.message);
        }
        node->takeChanges();
    }

    template <typename Heartbeat>
    void receive(unsigned number, const Heartbeat& heartbeat)
    {
        this->send(this->nodes[number]->received(heartbeat, this->now, this->random));
        if (heartbeat.status.configurationRevision > this->revisions[number])
            this->events.push({ this->now + 2 * oneWayDelay, number, std::nullopt, heartbeat.status.configurationRevision });
    }

    void adoptRevision(unsigned number, LogOffset revision)
    {
        if (revision <= this->revisions[number])
            return;
        this->revisions[number] = revision;
        this->nodes[number]->setLoad(revision, requestsInProgress);
        if (this->announcing)
            this->send(this->nodes[number]->announce(this->now, this->random));
    }

    void send(const PeerEnvelopes& envelopes)
    {
        for (const PeerEnvelope& envelope : envelopes) {
            ++this->messages;
            this->bytes += encodePeerFrame({ envelope.peer.id, envelope.message }).size() + datagramHeaderBytes;
            const auto node = static_cast<unsigned>(std::stoul(envelope.peer.id.str().substr(6)));
            this->events.push({ this->now + oneWayDelay, node, envelope.message, 0 });
        }
    }

    static constexpr std::uint32_t requestsInProgress = 60;

    PeerDirectorySettings settings;
    std::vector<LogOffset> revisions; ///< configuration revision of each daemon
    bool announcing = false;
    TimePoint now { 1h };
    Random random { 1 };
    std::vector<ListedHost> listed;
    std::vector<std::unique_ptr<PeerDirectory>> nodes;
    std::priority_queue<Event> events;
};

}

#endif
