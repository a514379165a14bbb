#include "DrainHandler.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <string>
#include <utility>

namespace filbertspoke::internal {

namespace {

namespace msm = boost::msm;
using boost::msm::front::none;
using boost::msm::front::Row;

struct Stop {
    std::size_t inProgress = 0;
};
struct Idle { };

/** \brief The state machine of a graceful stop; its actions are collected in `actions`. */
struct Definition : msm::front::state_machine_def<Definition> {
    struct Serving : msm::front::state<> { };
    struct Draining : msm::front::state<> { };
    struct Abandoning : msm::front::state<> { };
    struct Stopped : msm::front::state<> { };

    struct StartDraining {
        template <typename Machine, typename Source, typename Target>
        void operator()(const Stop& stop, Machine& machine, Source&, Target&) const
        {
            machine.directive = DrainHandler::Directive::Drain;
            machine.actions.push_back(WriteLog { WriteLog::Level::Info, "draining",
                { { "inProgress", std::to_string(stop.inProgress) } } });
        }
    };
    struct StartAbandoning {
        template <typename Machine, typename Source, typename Target>
        void operator()(const Stop& stop, Machine& machine, Source&, Target&) const
        {
            machine.directive = DrainHandler::Directive::Abandon;
            machine.actions.push_back(WriteLog { WriteLog::Level::Warning, "drain-cut-short",
                { { "inProgress", std::to_string(stop.inProgress) } } });
        }
    };
    struct EndProcess {
        template <typename Event, typename Machine, typename Source, typename Target>
        void operator()(const Event&, Machine& machine, Source&, Target&) const
        {
            machine.actions.push_back(WriteLog { WriteLog::Level::Info, "drained", {} });
            machine.actions.push_back(StopProcess {});
        }
    };

    using initial_state = Serving;
    // clang-format off
    struct transition_table : boost::mpl::vector<
        //   from        event        to          action           guard
        Row< Serving,    Stop,        Draining,   StartDraining,   none >,
        Row< Draining,   Stop,        Abandoning, StartAbandoning, none >,
        Row< Draining,   Idle, Stopped,    EndProcess,      none >,
        Row< Abandoning, Idle, Stopped,    EndProcess,      none >
    > { };
    // clang-format on

    template <typename Event, typename Machine>
    void no_transition(const Event&, Machine&, int)
    {
    }

    DrainHandler::Directive directive = DrainHandler::Directive::None;
    Actions actions;
};

}

class DrainHandler::Machine : public msm::back::state_machine<Definition> {
public:
    Machine() { this->start(); }

    template <typename Event>
    Directive process(const Event& event, Actions& target)
    {
        this->directive = Directive::None;
        this->process_event(event);
        for (Action& action : std::exchange(this->actions, {}))
            target.push_back(std::move(action));
        return this->directive;
    }
};

DrainHandler::DrainHandler(RouterContext& context)
    : context(context)
    , machine(std::make_unique<Machine>())
{
}

DrainHandler::~DrainHandler() = default;

DrainHandler::Directive DrainHandler::handle(const StopRequested&, std::size_t inProgress, Actions& actions)
{
    this->context.draining = true;
    return this->machine->process(Stop { inProgress }, actions);
}

void DrainHandler::logAbandoned(const Actions& refusals, Actions& actions) const
{
    for (const Action& action : refusals) {
        const auto* refused = std::get_if<RefuseRequest>(&action);
        if (!refused)
            continue;
        actions.push_back(WriteLog { WriteLog::Level::Warning, "request-abandoned",
            { { "request", refused->request.str() }, { "ran", std::string(name(refused->refusal.ran())) } } });
    }
}

void DrainHandler::stopWhenIdle(std::size_t inProgress, Actions& actions)
{
    if (this->context.draining && inProgress == 0)
        this->machine->process(Idle {}, actions);
}

}
