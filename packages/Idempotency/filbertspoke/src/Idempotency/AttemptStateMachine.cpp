#include <filbertspoke/Idempotency>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace filbertspoke {

namespace internal {

namespace msm = boost::msm;

struct ClaimEvent { };
struct ConfirmClaimEvent { };
struct LoseClaimEvent { };
struct SendEvent { };
struct FinishEvent { };
struct FailEvent { };
struct ReleaseEvent { };
struct ConfirmStoredEvent { };

struct AttemptDefinition : msm::front::state_machine_def<AttemptDefinition> {
    struct Idle : msm::front::state<> { };
    struct Claiming : msm::front::state<> { };
    struct Held : msm::front::state<> { };
    struct Sent : msm::front::state<> { };
    struct Finished : msm::front::state<> { };
    struct Unknown : msm::front::state<> { };
    struct Released : msm::front::state<> { };

    using initial_state = Idle;

    template <typename Source, typename Event, typename Target>
    using Row = msm::front::Row<Source, Event, Target>;

    using transition_table = boost::mpl::vector<
        Row<Idle, ClaimEvent, Claiming>,
        Row<Claiming, ConfirmClaimEvent, Held>,
        Row<Claiming, LoseClaimEvent, Idle>,
        Row<Held, SendEvent, Sent>,
        Row<Held, ReleaseEvent, Released>,
        Row<Sent, FinishEvent, Finished>,
        Row<Sent, FailEvent, Unknown>,
        Row<Sent, ReleaseEvent, Released>,
        Row<Finished, ConfirmStoredEvent, Idle>,
        Row<Unknown, ConfirmStoredEvent, Idle>,
        Row<Released, ConfirmStoredEvent, Idle>>;

    template <typename Machine, typename Event>
    void no_transition(const Event&, Machine&, int)
    {
    }
};

using AttemptBackEnd = msm::back::state_machine<AttemptDefinition>;

template <typename State>
int stateId()
{
    return msm::back::get_state_id<AttemptBackEnd::stt, State>::type::value;
}

}

struct AttemptStateMachine::Machine {
    internal::AttemptBackEnd backEnd;

    template <typename Event>
    bool process(const Event& event)
    {
        return this->backEnd.process_event(event) == boost::msm::back::HANDLED_TRUE;
    }
};

AttemptStateMachine::AttemptStateMachine()
    : machine(std::make_unique<Machine>())
{
    this->machine->backEnd.start();
}

AttemptStateMachine::AttemptStateMachine(AttemptStateMachine&&) noexcept = default;
AttemptStateMachine& AttemptStateMachine::operator=(AttemptStateMachine&&) noexcept = default;
AttemptStateMachine::~AttemptStateMachine() = default;

AttemptPhase AttemptStateMachine::phase() const
{
    using Definition = internal::AttemptDefinition;
    const int current = this->machine->backEnd.current_state()[0];
    if (current == internal::stateId<Definition::Claiming>())
        return AttemptPhase::Claiming;
    if (current == internal::stateId<Definition::Held>())
        return AttemptPhase::Held;
    if (current == internal::stateId<Definition::Sent>())
        return AttemptPhase::Sent;
    if (current == internal::stateId<Definition::Finished>())
        return AttemptPhase::Finished;
    if (current == internal::stateId<Definition::Unknown>())
        return AttemptPhase::Unknown;
    if (current == internal::stateId<Definition::Released>())
        return AttemptPhase::Released;
    return AttemptPhase::Idle;
}

bool AttemptStateMachine::claim()
{
    return this->machine->process(internal::ClaimEvent {});
}

bool AttemptStateMachine::confirmClaim()
{
    return this->machine->process(internal::ConfirmClaimEvent {});
}

bool AttemptStateMachine::loseClaim()
{
    return this->machine->process(internal::LoseClaimEvent {});
}

bool AttemptStateMachine::send()
{
    return this->machine->process(internal::SendEvent {});
}

bool AttemptStateMachine::finish()
{
    return this->machine->process(internal::FinishEvent {});
}

bool AttemptStateMachine::fail()
{
    return this->machine->process(internal::FailEvent {});
}

bool AttemptStateMachine::release()
{
    return this->machine->process(internal::ReleaseEvent {});
}

bool AttemptStateMachine::confirmStored()
{
    return this->machine->process(internal::ConfirmStoredEvent {});
}

}
