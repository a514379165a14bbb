#include "CircuitBreaker.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <algorithm>
#include <chrono>

namespace filbertspoke {

namespace internal {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

constexpr int failuresToOpen = 3;
constexpr Duration firstOpenTime = std::chrono::milliseconds(500);
constexpr Duration longestOpenTime = std::chrono::seconds(30);

struct WorkStarted {
    TimePoint now;
};
struct WorkSucceeded {
};
struct WorkFailed {
    TimePoint now;
};
struct WorkCancelled {
};

struct BreakerDefinition : msm::front::state_machine_def<BreakerDefinition> {
    struct Closed : msm::front::state<> {
    };
    struct Open : msm::front::state<> {
    };
    struct HalfOpen : msm::front::state<> {
    };
    using initial_state = Closed;

    struct CountFailure {
        template <class Event, class Machine, class Source, class Target>
        void operator()(const Event&, Machine& machine, Source&, Target&) const
        {
            ++machine.failures;
        }
    };
    struct IsLastAllowedFailure {
        template <class Event, class Machine, class Source, class Target>
        bool operator()(const Event&, Machine& machine, Source&, Target&) const
        {
            return machine.failures + 1 >= failuresToOpen;
        }
    };
    struct SetOpenTime {
        template <class Event, class Machine, class Source, class Target>
        void operator()(const Event& event, Machine& machine, Source&, Target&) const
        {
            machine.openUntil = event.now + machine.openTime;
            machine.openTime = std::min(machine.openTime * 2, longestOpenTime);
        }
    };
    struct IsProbeDue {
        template <class Event, class Machine, class Source, class Target>
        bool operator()(const Event& event, Machine& machine, Source&, Target&) const
        {
            return event.now >= machine.openUntil;
        }
    };
    struct Reset {
        template <class Event, class Machine, class Source, class Target>
        void operator()(const Event&, Machine& machine, Source&, Target&) const
        {
            machine.failures = 0;
            machine.openTime = firstOpenTime;
        }
    };

    // Of rows with the same source and event, MSM tries the last one first.
    using transition_table = boost::mpl::vector<
        Row<Closed, WorkFailed, none, CountFailure, none>,
        Row<Closed, WorkFailed, Open, SetOpenTime, IsLastAllowedFailure>,
        Row<Closed, WorkSucceeded, none, Reset, none>,
        Row<Open, WorkStarted, HalfOpen, none, IsProbeDue>,
        Row<Open, WorkSucceeded, Closed, Reset, none>,
        Row<HalfOpen, WorkSucceeded, Closed, Reset, none>,
        Row<HalfOpen, WorkCancelled, Open, none, none>,
        Row<HalfOpen, WorkFailed, Open, SetOpenTime, none>>;

    // Events without a row are late answers, which change nothing.
    template <class Machine, class Event>
    void no_transition(const Event&, Machine&, int)
    {
    }

    int failures = 0;
    Duration openTime = firstOpenTime;
    TimePoint openUntil;
};

}

class CircuitBreaker::Machine : public internal::msm::back::state_machine<internal::BreakerDefinition> {
public:
    template <typename State>
    bool isIn() const
    {
        using States = typename Machine::stt;
        return *this->current_state() == internal::msm::back::get_state_id<States, State>::value;
    }
};

CircuitBreaker::CircuitBreaker() = default;
CircuitBreaker::~CircuitBreaker() = default;
CircuitBreaker::CircuitBreaker(CircuitBreaker&&) noexcept = default;
CircuitBreaker& CircuitBreaker::operator=(CircuitBreaker&&) noexcept = default;

bool CircuitBreaker::allows(TimePoint now) const
{
    if (this->isClosed())
        return true;
    return this->machine->isIn<internal::BreakerDefinition::Open>() && now >= this->machine->openUntil;
}

bool CircuitBreaker::isClosed() const
{
    return !this->machine || this->machine->isIn<internal::BreakerDefinition::Closed>();
}

void CircuitBreaker::started(TimePoint now)
{
    if (this->machine)
        this->machine->process_event(internal::WorkStarted { now });
}

void CircuitBreaker::succeeded(TimePoint)
{
    if (this->machine)
        this->machine->process_event(internal::WorkSucceeded {});
}

void CircuitBreaker::failed(TimePoint now)
{
    if (!this->machine) {
        this->machine = std::make_unique<Machine>();
        this->machine->start();
    }
    this->machine->process_event(internal::WorkFailed { now });
}

void CircuitBreaker::cancelled(TimePoint)
{
    if (this->machine)
        this->machine->process_event(internal::WorkCancelled {});
}

}
