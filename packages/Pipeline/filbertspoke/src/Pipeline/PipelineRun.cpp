#include <filbertspoke/Pipeline>

#include "internal/RunState.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <utility>

namespace filbertspoke {

namespace internal {

namespace front = boost::msm::front;

// Events of the state machine. Actions append their outputs to the list to which each event points.
struct ChainAssigned {
    RunOutputs* outputs;
    const Chain* chain;
};
struct ReceiptAccepted {
    RunOutputs* outputs;
    const StepReceipt* receipt;
};
struct StageLost {
    RunOutputs* outputs;
    EndpointId endpoint;
    bool exclude;
};
struct RunCancelled {
    RunOutputs* outputs;
};

struct RunMachineDefinition : front::state_machine_def<RunMachineDefinition> {
    explicit RunMachineDefinition(CompletionSpec spec)
        : state(std::move(spec))
    {
    }

    struct WaitingForChain : front::state<> { };
    struct Running : front::state<> { };
    struct Ended : front::state<> { };

    struct StartPass {
        template <typename Machine, typename From, typename To>
        void operator()(const ChainAssigned& event, Machine& machine, From&, To&) const
        {
            machine.state.replaceChain(*event.chain, *event.outputs);
            machine.state.sendFirstStage(*event.outputs);
        }
    };
    struct SendNextStage {
        template <typename Machine, typename From, typename To>
        void operator()(const ReceiptAccepted& event, Machine& machine, From&, To&) const
        {
            machine.state.sendNextStage(event.receipt->output(), *event.outputs);
        }
    };
    struct AppendToken {
        template <typename Machine, typename From, typename To>
        void operator()(const ReceiptAccepted& event, Machine& machine, From&, To&) const
        {
            machine.state.appendToken(event.receipt->output(), *event.outputs);
            machine.state.sendFirstStage(*event.outputs);
        }
    };
    struct FinishRun {
        template <typename Machine, typename From, typename To>
        void operator()(const ReceiptAccepted& event, Machine& machine, From&, To&) const
        {
            machine.state.clearOutstanding();
            machine.state.appendToken(event.receipt->output(), *event.outputs);
            event.outputs->push_back(RunFinished {});
            machine.state.releaseCaches(*event.outputs);
        }
    };
    struct RequestChain {
        template <typename Machine, typename From, typename To>
        void operator()(const StageLost& event, Machine& machine, From&, To&) const
        {
            machine.state.clearOutstanding();
            event.outputs->push_back(ChainNeeded { event.endpoint, event.exclude });
        }
    };
    struct ReleaseCaches {
        template <typename Machine, typename From, typename To>
        void operator()(const RunCancelled& event, Machine& machine, From&, To&) const
        {
            machine.state.clearOutstanding();
            machine.state.releaseCaches(*event.outputs);
        }
    };
    struct AtLastStage {
        template <typename Machine, typename From, typename To>
        bool operator()(const ReceiptAccepted&, Machine& machine, From&, To&) const
        {
            return machine.state.atLastStage();
        }
    };
    struct AtLastToken {
        template <typename Machine, typename From, typename To>
        bool operator()(const ReceiptAccepted&, Machine& machine, From&, To&) const
        {
            const std::uint32_t next = machine.state.tokenCount() + 1;
            return machine.state.atLastStage() && next >= machine.state.spec().maximumTokens();
        }
    };

    using initial_state = WaitingForChain;
    // For the same state and event, MSM evaluates the guards from the last row to the first.
    struct transition_table : boost::mpl::vector<
                                  front::Row<WaitingForChain, ChainAssigned, Running, StartPass, front::none>,
                                  front::Row<WaitingForChain, RunCancelled, Ended, ReleaseCaches, front::none>,
                                  front::Row<Running, ReceiptAccepted, front::none, SendNextStage, front::none>,
                                  front::Row<Running, ReceiptAccepted, front::none, AppendToken, AtLastStage>,
                                  front::Row<Running, ReceiptAccepted, Ended, FinishRun, AtLastToken>,
                                  front::Row<Running, StageLost, WaitingForChain, RequestChain, front::none>,
                                  front::Row<Running, RunCancelled, Ended, ReleaseCaches, front::none>> {
    };

    // Events without a transition from the current state are ignored.
    template <typename Machine, typename UnexpectedEvent>
    void no_transition(const UnexpectedEvent&, Machine&, int)
    {
    }

    RunState state;
};

struct RunMachine : boost::msm::back::state_machine<RunMachineDefinition> {
    using boost::msm::back::state_machine<RunMachineDefinition>::state_machine;
};

/** \returns whether an engine that returned the status must not be used for this run again */
bool disqualifiesEngine(StepStatus status)
{
    switch (status) {
    case StepStatus::Ok:
    case StepStatus::CacheMissing:
    case StepStatus::Cancelled:
        return false;
    case StepStatus::WrongLayers:
    case StepStatus::WrongVersion:
    case StepStatus::Overloaded:
    case StepStatus::Draining:
    case StepStatus::Failed:
        return true;
    }
    return true;
}

}

PipelineRun::PipelineRun(CompletionSpec spec)
    : machine(std::make_unique<internal::RunMachine>(std::move(spec)))
{
    this->machine->start();
}

PipelineRun::~PipelineRun() = default;
PipelineRun::PipelineRun(PipelineRun&&) noexcept = default;
PipelineRun& PipelineRun::operator=(PipelineRun&&) noexcept = default;

RunOutputs PipelineRun::assign(const Chain& chain)
{
    RunOutputs outputs;
    this->machine->process_event(internal::ChainAssigned { &outputs, &chain });
    return outputs;
}

RunOutputs PipelineRun::answered(const EndpointId& from, const StepReceipt& receipt)
{
    const internal::RunState& state = this->machine->state;
    if (!state.matchesOutstanding(from, receipt.step()))
        return { AnswerDropped {} };

    RunOutputs outputs;
    if (receipt.status() != StepStatus::Ok)
        this->machine->process_event(internal::StageLost { &outputs, from, internal::disqualifiesEngine(receipt.status()) });
    else if (!state.matchesAssignment(receipt.step()))
        // The engine executed a different step than requested, so that its output can't be used.
        this->machine->process_event(internal::StageLost { &outputs, from, true });
    else
        this->machine->process_event(internal::ReceiptAccepted { &outputs, &receipt });
    return outputs;
}

RunOutputs PipelineRun::endpointLost(const EndpointId& endpoint)
{
    RunOutputs outputs;
    if (this->machine->state.usesEndpoint(endpoint))
        this->machine->process_event(internal::StageLost { &outputs, endpoint, true });
    return outputs;
}

RunOutputs PipelineRun::stepFailed(const EndpointId& from, std::uint64_t sequence)
{
    RunOutputs outputs;
    const std::optional<StepDue>& outstanding = this->machine->state.outstanding();
    if (outstanding && outstanding->endpoint == from && outstanding->step.sequence() == sequence)
        this->machine->process_event(internal::StageLost { &outputs, from, true });
    return outputs;
}

RunOutputs PipelineRun::cancel()
{
    RunOutputs outputs;
    this->machine->process_event(internal::RunCancelled { &outputs });
    return outputs;
}

const CompletionSpec& PipelineRun::spec() const { return this->machine->state.spec(); }
std::uint32_t PipelineRun::tokenCount() const { return this->machine->state.tokenCount(); }
std::uint32_t PipelineRun::generation() const { return this->machine->state.generation(); }
bool PipelineRun::started() const { return this->machine->state.started(); }
const std::optional<StepDue>& PipelineRun::outstanding() const { return this->machine->state.outstanding(); }
const Chain& PipelineRun::chain() const { return this->machine->state.chain(); }

}
