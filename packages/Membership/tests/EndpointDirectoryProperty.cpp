// Property test: an endpoint directory against a simulation whose true state is known.
#include <filbertspoke/Membership>
#include <filbertspoke/Testing>

#include <algorithm>
#include <array>
#include <functional>
#include <string>
#include <tuple>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const EndpointDirectorySettings settings;

Endpoint makeEndpoint(const EndpointId& id)
{
    return Endpoint::Builder(id).host(HostId("h")).address("127.0.0.9", 9000).role(ServiceRole { ServiceId("lot-registry") }).build();
}

/** True state of an endpoint from a point in time on. */
struct Truth {
    TimePoint since {};
    bool running = true;
    bool draining = false;
    bool leaving = false; ///< as known to the platform
    bool listed = true;

    bool isDrainingOrLeaving() const { return this->draining || this->leaving; }
};

/** Simulated endpoints with their history, and the evidence that a directory gets of them: delayed by up to the
 * bounds in EndpointDirectorySettings, and repeated and reordered where the source allows it. */
class World {
public:
    static constexpr unsigned size = 3;

    World()
    {
        for (auto& history : this->histories)
            history.push_back({ this->now - 1h });
    }

    void change(unsigned number, const std::function<void(Truth&)>& edit)
    {
        Truth next = this->histories[number].back();
        edit(next);
        next.since = this->now;
        const Truth& before = this->histories[number].back();
        // A change of either flag starts a new episode of that flag, of which the directory has no evidence yet.
        if (next.leaving != before.leaving)
            this->receivedLeaving[number] = false;
        if (next.draining != before.draining)
            this->receivedDraining[number] = false;
        this->histories[number].push_back(next);
    }

    void readList(Duration lag)
    {
        std::vector<ListedHost> hosts;
        for (unsigned number = 0; number < size; ++number) {
            const Truth& shown = this->at(number, this->now - lag);
            if (shown.listed)
                hosts.push_back({ makeEndpoint(this->id(number)), shown.leaving });
            if (shown.listed && shown.leaving && this->now - lag >= this->episode(number, &Truth::leaving))
                this->receivedLeaving[number] = true;
        }
        const auto before = this->aliveEndpoints();
        this->directory.listed(hosts, this->now);
        for (unsigned number = 0; number < size; ++number)
            RC_ASSERT(!this->directory.takesNewWork(this->id(number)) || before[number] || this->lastPollAnswered[number]);
    }

    void poll(unsigned number, Duration delay)
    {
        const Truth& asked = this->at(number, this->now - delay);
        this->lastPollAnswered[number] = asked.running;
        if (!asked.running) {
            this->directory.pollFailed(this->id(number), this->now);
            return;
        }
        this->directory.reported(this->id(number), asked.draining, std::nullopt, this->now);
        if (asked.draining && this->now - delay >= this->episode(number, &Truth::draining))
            this->receivedDraining[number] = true;
    }

    /** A peer observed the signal, sent it at the age \a ago, and the message took \a transit. */
    void peerObservation(unsigned number, EndpointSignal signal, Duration ago, Duration transit)
    {
        const TimePoint seen = this->now - ago - transit;
        const bool isLeaving = signal == EndpointSignal::ListedLeaving;
        auto field = isLeaving ? &Truth::leaving : &Truth::draining;
        const Truth& then = this->at(number, seen);
        const bool isTrue = signal == EndpointSignal::Silent ? !then.running : then.*field;
        if (!isTrue)
            return;
        this->directory.heard({ { this->id(number), signal, ago } }, this->now);
        if (signal != EndpointSignal::Silent && seen >= this->episode(number, field))
            (isLeaving ? this->receivedLeaving : this->receivedDraining)[number] = true;
    }

    void wait(Duration duration) { this->now += duration; }

    void check() const
    {
        for (unsigned number = 0; number < size; ++number) {
            const bool takesWork = this->directory.takesNewWork(this->id(number));
            const Truth& truth = this->histories[number].back();
            RC_ASSERT(!(takesWork && truth.leaving && this->receivedLeaving[number]));
            RC_ASSERT(!(takesWork && truth.draining && this->receivedDraining[number]));
            RC_ASSERT(!takesWork || this->lastPollAnswered[number]);
        }
    }

    /** Every endpoint runs and stays, and fresh evidence arrives for longer than any signal stays active. */
    void settle()
    {
        for (unsigned number = 0; number < size; ++number)
            this->change(number, [](Truth& truth) { truth = Truth(); });
        for (Duration passed {}; passed < 2 * settings.listLag; passed += 1s) {
            this->wait(1s);
            this->readList(Duration::zero());
            for (unsigned number = 0; number < size; ++number)
                this->poll(number, Duration::zero());
        }
        for (unsigned number = 0; number < size; ++number)
            RC_ASSERT(this->directory.takesNewWork(this->id(number)));
    }

private:
    EndpointId id(unsigned number) const { return EndpointId("engine-" + std::to_string(number)); }
    const Truth& at(unsigned number, TimePoint when) const
    {
        const auto& history = this->histories[number];
        auto entry = history.rbegin();
        while (entry->since > when && entry + 1 != history.rend())
            ++entry;
        return *entry;
    }
    /** \returns since when the field has its present value */
    TimePoint episode(unsigned number, bool Truth::*field) const
    {
        const auto& history = this->histories[number];
        auto entry = history.rbegin();
        while (entry + 1 != history.rend() && (*(entry + 1)).*field == history.back().*field)
            ++entry;
        return entry->since;
    }
    std::array<bool, size> aliveEndpoints() const
    {
        std::array<bool, size> result {};
        for (unsigned number = 0; number < size; ++number)
            result[number] = this->directory.takesNewWork(this->id(number));
        return result;
    }

    EndpointDirectory directory;
    TimePoint now { 100h };
    std::array<std::vector<Truth>, size> histories;
    std::array<bool, size> receivedLeaving {}; ///< whether the directory got evidence of the present episode
    std::array<bool, size> receivedDraining {};
    std::array<bool, size> lastPollAnswered {};
};

enum class Operation {
    Wait,
    Pause,
    ReadList,
    Poll,
    PeerObservation,
    Leave,
    Stay,
    Drain,
    Die,
    Restart,
    Unlist,
    Last = Unlist,
};

void apply(World& world, Operation operation, unsigned number, unsigned amount, unsigned more)
{
    const Duration lag = Duration(100ms) * more;
    switch (operation) {
    case Operation::Wait:
        return world.wait(Duration(10ms) * amount);
    case Operation::Pause:
        // An answer and a list reading that were in transit are applied after the pause.
        world.wait(Duration(1s) * amount);
        world.readList(Duration(1s) * amount + std::min(lag, settings.listLag));
        return world.poll(number, Duration(1s) * amount);
    case Operation::ReadList:
        return world.readList(std::min(lag, settings.listLag));
    case Operation::Poll:
        return world.poll(number, std::min(lag, settings.answerDelay));
    case Operation::PeerObservation:
        return world.peerObservation(number, static_cast<EndpointSignal>(1 + amount % 3), lag, Duration(10ms) * amount);
    case Operation::Leave:
        return world.change(number, [](Truth& truth) { truth.leaving = truth.listed = true; });
    case Operation::Stay:
        return world.change(number, [](Truth& truth) { truth.leaving = false, truth.listed = true; });
    case Operation::Drain:
        return world.change(number, [](Truth& truth) { truth.draining = truth.running; });
    case Operation::Die:
        return world.change(number, [](Truth& truth) { truth.running = truth.draining = false; });
    case Operation::Restart:
        return world.change(number, [](Truth& truth) { truth.running = true, truth.draining = false; });
    case Operation::Unlist:
        return world.change(number, [](Truth& truth) { truth.listed = truth.leaving = false; });
    }
}

}

BOOST_AUTO_TEST_CASE(leavingEndpointsGetNoWorkInAnyOrderOfEvidence)
{
    testing::checkProperty([] {
        World world;
        const auto operations = *rc::gen::container<std::vector<std::tuple<int, unsigned, unsigned, unsigned>>>(
            rc::gen::tuple(rc::gen::inRange(0, static_cast<int>(Operation::Last) + 1), rc::gen::inRange(0U, World::size),
                rc::gen::inRange(0U, 100U), rc::gen::inRange(0U, 400U)));
        for (const auto& [operation, number, amount, more] : operations) {
            apply(world, static_cast<Operation>(operation), number, amount, more);
            world.check();
        }
        world.settle();
    },
        500);
}
