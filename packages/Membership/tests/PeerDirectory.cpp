#include <filbertspoke/Membership>
#include <filbertspoke/Testing>

#include <algorithm>
#include <memory>
#include <set>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

constexpr Duration tickInterval = 100ms;
constexpr Duration settlingTime = 60s;

ListedDaemon daemonNumber(unsigned number)
{
    return { DaemonId("daemon-" + std::to_string(number)), FailureDomainId(number % 2 ? "riga-a" : "riga-b"),
        "127.0.0." + std::to_string(number + 1), 7000 };
}

/** Daemons that exchange heartbeats in virtual time over a network that loses, duplicates and reorders messages. */
class Cluster {
public:
    explicit Cluster(unsigned size)
        : nodes(size)
    {
        for (unsigned number = 0; number < size; ++number)
            this->start(number, 1'000'000 + number);
    }

    void start(unsigned number, std::uint64_t incarnation)
    {
        Node& node = this->nodes[number];
        node.directory = std::make_unique<PeerDirectory>(daemonNumber(number), incarnation);
        node.leaving = false;
        node.pausedUntil = this->now;
        this->list(number, ~0U);
    }
    /** Restarts the daemon with a correct clock or one far behind. */
    void restart(unsigned number, bool clockBehind)
    {
        this->start(number, clockBehind ? 1 : 2'000'000 + static_cast<std::uint64_t>(this->now.time_since_epoch().count()));
    }
    void kill(unsigned number) { this->nodes[number].directory.reset(); }
    void pause(unsigned number, Duration duration) { this->nodes[number].pausedUntil = this->now + duration; }
    void leave(unsigned number)
    {
        if (!this->runs(number))
            return;
        this->nodes[number].leaving = true;
        this->nodes[number].directory->startLeaving();
        this->send(number, this->nodes[number].directory->announce(this->now, this->random));
    }
    void cut(unsigned side) { this->cutSide = side; }
    /** Applies a host list with the daemons whose bit is set in \a mask, dead ones included. */
    void list(unsigned number, unsigned mask)
    {
        std::vector<ListedHost> hosts;
        for (unsigned other = 0; other < this->nodes.size(); ++other) {
            if (mask & 1U << other)
                hosts.push_back({ daemonNumber(other), false });
        }
        if (!this->runs(number))
            return;
        const auto gone = this->directory(number).peersIn(MemberState::Gone);
        this->directory(number).listed(hosts, this->now);
        RC_ASSERT(this->directory(number).peersIn(MemberState::Gone) == gone);
    }
    void setLoss(unsigned percent) { this->lossPercent = percent; }

    void run(Duration duration)
    {
        for (const TimePoint end = this->now + duration; this->now < end; this->now += tickInterval)
            this->step();
    }

    bool runs(unsigned number) const { return this->nodes[number].directory != nullptr; }
    PeerDirectory& directory(unsigned number) { return *this->nodes[number].directory; }
    unsigned size() const { return static_cast<unsigned>(this->nodes.size()); }
    std::size_t messages() const { return this->sentMessages; }

    MemberState truth(unsigned number) const
    {
        if (!this->runs(number))
            return MemberState::Gone;
        return this->nodes[number].leaving ? MemberState::Leaving : MemberState::Alive;
    }
    bool allViewsMatchTheTruth()
    {
        for (unsigned viewer = 0; viewer < this->size(); ++viewer) {
            for (unsigned other = 0; other < this->size(); ++other) {
                if (viewer != other && this->runs(viewer)
                    && this->directory(viewer).state(daemonNumber(other).id) != this->truth(other))
                    return false;
            }
        }
        return true;
    }

private:
    struct Node {
        std::unique_ptr<PeerDirectory> directory;
        bool leaving = false;
        TimePoint pausedUntil {};
    };
    struct Packet {
        TimePoint arrival;
        unsigned to = 0;
        PeerMessage message;
    };

    bool paused(unsigned number) const { return this->now < this->nodes[number].pausedUntil; }
    bool connected(unsigned a, unsigned b) const { return ((this->cutSide >> a ^ this->cutSide >> b) & 1U) == 0; }
    bool chance(unsigned percent) { return this->random() % 100 < percent; }

    void send(unsigned from, const PeerEnvelopes& messages)
    {
        for (const PeerEnvelope& envelope : messages) {
            ++this->sentMessages;
            const unsigned to = static_cast<unsigned>(std::stoul(envelope.peer.id.str().substr(7)));
            if (!this->connected(from, to) || this->chance(this->lossPercent))
                continue;
            for (unsigned copies = this->chance(this->lossPercent) ? 2 : 1; copies > 0; --copies)
                this->packets.push_back({ this->now + Duration(1ms) * (this->random() % 100), to, envelope.message });
        }
    }

    void step()
    {
        for (unsigned number = 0; number < this->size(); ++number) {
            if (this->runs(number) && !this->paused(number))
                this->send(number, this->directory(number).tick(this->now, this->random));
        }
        std::vector<Packet> due;
        const auto isDue = [&](const Packet& packet) { return packet.arrival <= this->now && !this->paused(packet.to); };
        std::copy_if(this->packets.begin(), this->packets.end(), std::back_inserter(due), isDue);
        std::erase_if(this->packets, isDue);
        std::stable_sort(due.begin(), due.end(), [](const Packet& a, const Packet& b) { return a.arrival < b.arrival; });
        for (const Packet& packet : due)
            this->deliver(packet);
    }

    void deliver(const Packet& packet)
    {
        if (!this->runs(packet.to))
            return;
        PeerDirectory& receiver = this->directory(packet.to);
        std::visit(Overloaded {
                       [&](const PeerProbe& message) { this->send(packet.to, receiver.received(message, this->now, this->random)); },
                       [&](const PeerProbeRequest& message) { this->send(packet.to, receiver.received(message, this->now, this->random)); },
                       [&](const PeerProbeAnswer& message) { this->send(packet.to, receiver.received(message, this->now, this->random)); },
                       [](const auto&) {},
                   },
            packet.message);
    }

    std::vector<Node> nodes;
    std::vector<Packet> packets;
    TimePoint now { 1s };
    Random random { 1 };
    unsigned cutSide = 0;
    unsigned lossPercent = 0;
    std::size_t sentMessages = 0;
};

enum class Fault {
    Kill,
    Restart,
    RestartClockBehind,
    Pause,
    Leave,
    Cut,
    Heal,
    StaleList,
    Loss,
    SendFailed,
};

void apply(Cluster& cluster, Fault fault, unsigned number, unsigned amount)
{
    const unsigned node = number % cluster.size();
    switch (fault) {
    case Fault::Kill:
        return cluster.kill(node);
    case Fault::Restart:
    case Fault::RestartClockBehind:
        return cluster.restart(node, fault == Fault::RestartClockBehind);
    case Fault::Pause:
        return cluster.pause(node, Duration(100ms) * amount);
    case Fault::Leave:
        return cluster.leave(node);
    case Fault::Cut:
    case Fault::Heal:
        return cluster.cut(fault == Fault::Cut ? amount : 0);
    case Fault::StaleList:
        return cluster.list(node, amount);
    case Fault::Loss:
        return cluster.setLoss(amount % 60);
    case Fault::SendFailed:
        if (cluster.runs(node))
            cluster.directory(node).sendFailed(daemonNumber(amount % cluster.size()).id, TimePoint(1s));
        return;
    }
}

}

BOOST_AUTO_TEST_CASE(healthyDaemonsAreNeverSuspected)
{
    Cluster cluster(5);
    cluster.run(10s);
    for (unsigned number = 0; number < cluster.size(); ++number)
        cluster.directory(number).takeChanges();
    cluster.run(300s);
    for (unsigned number = 0; number < cluster.size(); ++number)
        BOOST_TEST(cluster.directory(number).takeChanges().empty());
    BOOST_TEST(cluster.allViewsMatchTheTruth());
}

BOOST_AUTO_TEST_CASE(deadDaemonIsDetectedWithinSeconds)
{
    Cluster cluster(4);
    cluster.run(10s);
    cluster.kill(2);
    cluster.run(12s);
    BOOST_TEST(cluster.allViewsMatchTheTruth());
}

BOOST_AUTO_TEST_CASE(leavingDaemonIsAnnouncedAtOnce)
{
    Cluster cluster(4);
    cluster.run(10s);
    cluster.leave(1);
    cluster.run(300ms);
    BOOST_TEST(cluster.allViewsMatchTheTruth());
}

BOOST_AUTO_TEST_CASE(indirectProbeKeepsADaemonAliveWhenOneLinkIsCut)
{
    Random random(7);
    TimePoint now { 1s };
    PeerDirectory prober(daemonNumber(0), 1);
    const auto answerFrom = [&](unsigned number, unsigned subject, std::uint64_t sequence) {
        prober.received(PeerProbeAnswer { { daemonNumber(number).id, 5, 0, 0, false }, daemonNumber(subject).id, sequence, {} },
            now, random);
    };
    prober.listed({ { daemonNumber(1), false }, { daemonNumber(2), false } }, now);
    answerFrom(1, 1, 0);
    answerFrom(2, 2, 0);

    PeerEnvelope sent = prober.tick(now, random).front();
    while (sent.peer != daemonNumber(1)) {
        answerFrom(2, 2, std::get<PeerProbe>(sent.message).sequence);
        sent = prober.tick(now += 1s, random).front();
    }
    const PeerEnvelopes asked = prober.tick(now += 300ms, random);
    BOOST_REQUIRE(asked.size() == 1U);
    BOOST_TEST((asked.front().peer == daemonNumber(2)));
    BOOST_TEST((std::get<PeerProbeRequest>(asked.front().message).target == daemonNumber(1)));

    now += 100ms;
    answerFrom(2, 1, std::get<PeerProbe>(sent.message).sequence);
    prober.tick(now += 600ms, random);
    BOOST_TEST((prober.state(daemonNumber(1).id) == MemberState::Alive));
}

BOOST_AUTO_TEST_CASE(statesAreCountedByFailureDomain)
{
    Cluster cluster(5);
    cluster.run(10s);
    cluster.kill(1);
    cluster.run(12s);
    const auto counts = cluster.directory(0).countByFailureDomain();
    BOOST_TEST(counts.at(FailureDomainId("riga-a")).at(MemberState::Gone) == 1U);
    BOOST_TEST(counts.at(FailureDomainId("riga-a")).at(MemberState::Alive) == 1U);
    BOOST_TEST(counts.at(FailureDomainId("riga-b")).at(MemberState::Alive) == 2U);
}

BOOST_AUTO_TEST_CASE(daemonRestartedWithAnEarlierClockIsAccepted)
{
    Cluster cluster(4);
    cluster.run(10s);
    cluster.restart(2, true);
    cluster.run(10s);
    cluster.leave(2);
    cluster.run(5s);
    BOOST_TEST(cluster.allViewsMatchTheTruth());
}

BOOST_AUTO_TEST_CASE(pausedDaemonSuspectsNobodyAfterwards)
{
    Cluster cluster(4);
    cluster.run(10s + tickInterval); // a probe was just sent
    cluster.directory(0).takeChanges();
    cluster.pause(0, 60s);
    cluster.run(60s);
    cluster.run(1s);
    BOOST_TEST(cluster.directory(0).takeChanges().empty());
    cluster.run(15s);
    BOOST_TEST(cluster.allViewsMatchTheTruth());
}

BOOST_AUTO_TEST_CASE(leavingDaemonThatMissesAProbeIsNotGone)
{
    Random random(1);
    TimePoint now { 1s };
    PeerDirectory directory(daemonNumber(0), 1);
    directory.listed({ { daemonNumber(1), false } }, now);
    const PeerStatus leaving { daemonNumber(1).id, 5, 0, 0, true };
    directory.received(leaving, now);
    directory.tick(now, random);
    directory.tick(now += 1s, random);
    directory.received(leaving, now);
    for (int second = 0; second < 30; ++second) {
        for (const PeerEnvelope& envelope : directory.tick(now += 1s, random))
            directory.received(PeerProbeAnswer { leaving, leaving.from, std::get<PeerProbe>(envelope.message).sequence, {} }, now, random);
    }
    BOOST_TEST((directory.takeChanges().back().to == MemberState::Leaving));
}

BOOST_AUTO_TEST_CASE(updatesInAnyOrderGiveTheSameState)
{
    std::vector<DaemonStateUpdate> updates;
    for (const std::uint64_t incarnation : { 5, 6 }) {
        for (const MemberState state : { MemberState::Alive, MemberState::Suspect, MemberState::Leaving })
            updates.push_back({ daemonNumber(1), incarnation, state });
    }
    Random random(1);
    for (int order = 0; order < 200; ++order) {
        std::shuffle(updates.begin(), updates.end(), random);
        PeerDirectory directory(daemonNumber(0), 1);
        for (const DaemonStateUpdate& update : updates)
            directory.received(PeerProbeAnswer { { daemonNumber(2).id, 1, 0, 0, false }, daemonNumber(2).id, 0, { { update }, {} } }, TimePoint(1s), random);
        BOOST_REQUIRE((directory.state(daemonNumber(1).id) == MemberState::Leaving));
    }
}

BOOST_AUTO_TEST_CASE(viewsConvergeAfterAnyFaults)
{
    testing::checkProperty([] {
        Cluster cluster(*rc::gen::inRange(2U, 6U));
        const auto faults = *rc::gen::container<std::vector<std::tuple<Fault, unsigned, unsigned, unsigned>>>(
            rc::gen::tuple(rc::gen::map(rc::gen::inRange(0, static_cast<int>(Fault::SendFailed) + 1),
                               [](int value) { return static_cast<Fault>(value); }),
                rc::gen::inRange(0U, 6U), rc::gen::inRange(0U, 256U), rc::gen::inRange(0U, 80U)));
        for (const auto& [fault, node, amount, wait] : faults) {
            apply(cluster, fault, node, amount);
            cluster.run(tickInterval * wait);
        }
        cluster.setLoss(0);
        cluster.cut(0);
        for (unsigned number = 0; number < cluster.size(); ++number)
            cluster.pause(number, Duration::zero());
        cluster.run(settlingTime);
        RC_ASSERT(cluster.allViewsMatchTheTruth());
    },
        100);
}
