// An endpoint directory against a world whose truth is known.
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

/** What is true of an endpoint from a time on. */
struct Truth {
    TimePoint since {};
    bool running = true;
    bool draining = false;
    bool leaving = false; ///< as the platform knows
    bool listed = true;

    bool goes() const { return this->draining || this->leaving; }
};

/** Endpoints with their history, and the evidence that a directory may get of them: late by up to the
 * bounds in EndpointDirectorySettings, repeated and reordered where the source allows it. */
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
        // A new episode of leaving begins with the change of either source, and ends with both.
        if (next.leaving != before.leaving)
            this->toldLeaving[number] = false;
        if (next.draining != before.draining)
            this->toldDraining[number] = false;
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
                this->toldLeaving[number] = true;
        }
        const auto before = this->aliveOnes();
        this->directory.listed(hosts, this->now);
        for (unsigned number = 0; number < size; ++number)
            RC_ASSERT(!this->directory.takesNewWork(this->id(number)) || before[number] || this->lastWordGood[number]);
    }

    void poll(unsigned number, Duration delay)
    {
        const Truth& asked = this->at(number, this->now - delay);
        this->lastWordGood[number] = asked.running;
        if (!asked.running) {
            this->directory.pollFailed(this->id(number), this->now);
            return;
        }
        this->directory.reported(this->id(number), asked.draining, std::nullopt, this->now);
        if (asked.draining && this->now - delay >= this->episode(number, &Truth::draining))
            this->toldDraining[number] = true;
    }

    /** A peer saw the sign at \a ago, and its word was on the way for \a transit. */
    void peerWord(unsigned number, EndpointSignal sign, Duration ago, Duration transit)
    {
        const TimePoint seen = this->now - ago - transit;
        const bool isLeaving = sign == EndpointSignal::ListedLeaving;
        auto field = isLeaving ? &Truth::leaving : &Truth::draining;
        const Truth& then = this->at(number, seen);
        const bool isTrue = sign == EndpointSignal::Silent ? !then.running : then.*field;
        if (!isTrue)
            return;
        this->directory.heard({ { this->id(number), sign, ago } }, this->now);
        if (sign != EndpointSignal::Silent && seen >= this->episode(number, field))
            (isLeaving ? this->toldLeaving : this->toldDraining)[number] = true;
    }

    void wait(Duration duration) { this->now += duration; }

    void check() const
    {
        for (unsigned number = 0; number < size; ++number) {
            const bool takesWork = this->directory.takesNewWork(this->id(number));
            const Truth& truth = this->histories[number].back();
            RC_ASSERT(!(takesWork && truth.leaving && this->toldLeaving[number]));
            RC_ASSERT(!(takesWork && truth.draining && this->toldDraining[number]));
            RC_ASSERT(!takesWork || this->lastWordGood[number]);
        }
    }

    /** Every endpoint runs and stays, and fresh evidence comes for longer than any sign stands. */
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
    /** \returns when the present value of the field began */
    TimePoint episode(unsigned number, bool Truth::*field) const
    {
        const auto& history = this->histories[number];
        auto entry = history.rbegin();
        while (entry + 1 != history.rend() && (*(entry + 1)).*field == history.back().*field)
            ++entry;
        return entry->since;
    }
    std::array<bool, size> aliveOnes() const
    {
        std::array<bool, size> result {};
        for (unsigned number = 0; number < size; ++number)
            result[number] = this->directory.takesNewWork(this->id(number));
        return result;
    }

    EndpointDirectory directory;
    TimePoint now { 100h };
    std::array<std::vector<Truth>, size> histories;
    std::array<bool, size> toldLeaving {}; ///< a sign of the present episode reached the directory
    std::array<bool, size> toldDraining {};
    std::array<bool, size> lastWordGood {};
};

enum class Happening {
    Wait,
    Pause,
    ReadList,
    Poll,
    PeerWord,
    Leave,
    Stay,
    Drain,
    Die,
    Restart,
    Unlist,
    Last = Unlist,
};

void happen(World& world, Happening happening, unsigned number, unsigned amount, unsigned more)
{
    const Duration lag = Duration(100ms) * more;
    switch (happening) {
    case Happening::Wait:
        return world.wait(Duration(10ms) * amount);
    case Happening::Pause:
        // An answer and a list reading that were under way are taken after the pause.
        world.wait(Duration(1s) * amount);
        world.readList(Duration(1s) * amount + std::min(lag, settings.listLag));
        return world.poll(number, Duration(1s) * amount);
    case Happening::ReadList:
        return world.readList(std::min(lag, settings.listLag));
    case Happening::Poll:
        return world.poll(number, std::min(lag, settings.answerDelay));
    case Happening::PeerWord:
        return world.peerWord(number, static_cast<EndpointSignal>(1 + amount % 3), lag, Duration(10ms) * amount);
    case Happening::Leave:
        return world.change(number, [](Truth& truth) { truth.leaving = truth.listed = true; });
    case Happening::Stay:
        return world.change(number, [](Truth& truth) { truth.leaving = false, truth.listed = true; });
    case Happening::Drain:
        return world.change(number, [](Truth& truth) { truth.draining = truth.running; });
    case Happening::Die:
        return world.change(number, [](Truth& truth) { truth.running = truth.draining = false; });
    case Happening::Restart:
        return world.change(number, [](Truth& truth) { truth.running = true, truth.draining = false; });
    case Happening::Unlist:
        return world.change(number, [](Truth& truth) { truth.listed = truth.leaving = false; });
    }
}

}

BOOST_AUTO_TEST_CASE(leavingEndpointsGetNoWorkWhateverComesInWhateverOrder)
{
    testing::checkProperty([] {
        World world;
        const auto happenings = *rc::gen::container<std::vector<std::tuple<int, unsigned, unsigned, unsigned>>>(
            rc::gen::tuple(rc::gen::inRange(0, static_cast<int>(Happening::Last) + 1), rc::gen::inRange(0U, World::size),
                rc::gen::inRange(0U, 100U), rc::gen::inRange(0U, 400U)));
        for (const auto& [happening, number, amount, more] : happenings) {
            happen(world, static_cast<Happening>(happening), number, amount, more);
            world.check();
        }
        world.settle();
    },
        500);
}
