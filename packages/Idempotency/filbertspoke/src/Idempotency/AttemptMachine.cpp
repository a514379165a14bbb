#include <filbertspoke/Idempotency>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace filbertspoke {

namespace internal {

namespace msm = boost::msm;

struct ClaimEvent { };
struct WinEvent { };
struct LoseEvent { };
struct SendEvent { };
struct FinishEvent { };
struct FailEvent { };
struct ReleaseEvent { };
struct StoreEvent { };

struct AttemptDefinition : msm::front::state_machine_def<AttemptDefinition> {
    struct Idle : msm::front::state<> { };
    struct Claiming : msm::front::state<> { };
    struct Held : msm::front::state<> { };
    struct Sent : msm::front::state<> { };
    struct Finished : msm::front::state<> { };
    struct Lost : msm::front::state<> { };
    struct Released : msm::front::state<> { };

    using initial_state = Idle;

    template <typename Source, typename Event, typename Target>
    using Row = msm::front::Row<Source, Event, Target>;

    using transition_table = boost::mpl::vector<
        Row<Idle, ClaimEvent, Claiming>,
        Row<Claiming, WinEvent, Held>,
        Row<Claiming, LoseEvent, Idle>,
        Row<Held, SendEvent, Sent>,
        Row<Held, ReleaseEvent, Released>,
        Row<Sent, FinishEvent, Finished>,
        Row<Sent, FailEvent, Lost>,
        Row<Sent, ReleaseEvent, Released>,
        Row<Finished, StoreEvent, Idle>,
        Row<Lost, StoreEvent, Idle>,
        Row<Released, StoreEvent, Idle>>;

    template <typename Machine, typename Event>
    void no_transition(const Event&, Machine&, int)
    {
    }
};

using AttemptBackEnd = msm::back::state_machine<AttemptDefinition>;

template <typename State>
int stateNumber()
{
    return msm::back::get_state_id<AttemptBackEnd::stt, State>::type::value;
}

}

struct AttemptMachine::Machine {
    internal::AttemptBackEnd backEnd;

    template <typename Event>
    bool take(const Event& event)
    {
        return this->backEnd.process_event(event) == boost::msm::back::HANDLED_TRUE;
    }
};

AttemptMachine::AttemptMachine()
    : machine(std::make_unique<Machine>())
{
    this->machine->backEnd.start();
}

AttemptMachine::AttemptMachine(AttemptMachine&&) noexcept = default;
AttemptMachine& AttemptMachine::operator=(AttemptMachine&&) noexcept = default;
AttemptMachine::~AttemptMachine() = default;

AttemptPhase AttemptMachine::phase() const
{
    using Definition = internal::AttemptDefinition;
    const int current = this->machine->backEnd.current_state()[0];
    if (current == internal::stateNumber<Definition::Claiming>())
        return AttemptPhase::Claiming;
    if (current == internal::stateNumber<Definition::Held>())
        return AttemptPhase::Held;
    if (current == internal::stateNumber<Definition::Sent>())
        return AttemptPhase::Sent;
    if (current == internal::stateNumber<Definition::Finished>())
        return AttemptPhase::Finished;
    if (current == internal::stateNumber<Definition::Lost>())
        return AttemptPhase::Lost;
    if (current == internal::stateNumber<Definition::Released>())
        return AttemptPhase::Released;
    return AttemptPhase::Idle;
}

bool AttemptMachine::claim()
{
    return this->machine->take(internal::ClaimEvent {});
}

bool AttemptMachine::win()
{
    return this->machine->take(internal::WinEvent {});
}

bool AttemptMachine::lose()
{
    return this->machine->take(internal::LoseEvent {});
}

bool AttemptMachine::send()
{
    return this->machine->take(internal::SendEvent {});
}

bool AttemptMachine::finish()
{
    return this->machine->take(internal::FinishEvent {});
}

bool AttemptMachine::fail()
{
    return this->machine->take(internal::FailEvent {});
}

bool AttemptMachine::release()
{
    return this->machine->take(internal::ReleaseEvent {});
}

bool AttemptMachine::store()
{
    return this->machine->take(internal::StoreEvent {});
}

}
