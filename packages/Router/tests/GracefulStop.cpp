#include <filbertspoke/Router>
#include <filbertspoke/src/Router/DrainHandler.h>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;
using internal::DrainHandler;

namespace {

struct Drain {
    /** \returns the events of the log lines and "stop" for the end of the process, in order */
    std::vector<std::string> takeLoggedEvents()
    {
        std::vector<std::string> lines;
        for (const Action& action : std::exchange(this->actions, {})) {
            if (const auto* line = std::get_if<WriteLog>(&action))
                lines.push_back(line->event);
            if (std::holds_alternative<StopProcess>(action))
                lines.push_back("stop");
        }
        return lines;
    }

    internal::RouterContext context { { DaemonId("daemon-a"), FailureDomainId("riga-a"), 1 }, 1 };
    DrainHandler handler { this->context };
    Actions actions;
};

using Lines = std::vector<std::string>;

}

BOOST_FIXTURE_TEST_CASE(stopWaitsForTheLastRequestInProgress, Drain)
{
    this->handler.stopWhenIdle(0, this->actions);
    BOOST_TEST(this->takeLoggedEvents().empty());

    BOOST_TEST((this->handler.handle(StopRequested {}, 2, this->actions) == DrainHandler::Directive::Drain));
    BOOST_TEST(this->context.draining);
    this->handler.stopWhenIdle(2, this->actions);
    this->handler.stopWhenIdle(1, this->actions);
    BOOST_TEST(this->takeLoggedEvents() == Lines { "draining" }, boost::test_tools::per_element());
    this->handler.stopWhenIdle(0, this->actions);
    this->handler.stopWhenIdle(0, this->actions);
    const Lines ended { "drained", "stop" };
    BOOST_TEST(this->takeLoggedEvents() == ended, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(secondStopRequestAbandonsRemainingRequests, Drain)
{
    this->handler.handle(StopRequested {}, 1, this->actions);
    BOOST_TEST((this->handler.handle(StopRequested {}, 1, this->actions) == DrainHandler::Directive::Abandon));
    const Actions refusals { RefuseRequest { RequestId("r"), Refusal(ErrorCode::Draining, Ran::Unknown) } };
    this->handler.logAbandoned(refusals, this->actions);
    const WriteLog expected { WriteLog::Level::Warning, "request-abandoned", { { "request", "r" }, { "ran", "unknown" } } };
    BOOST_TEST((this->actions.back() == Action(expected)));
    this->handler.stopWhenIdle(0, this->actions);
    const Lines lines { "draining", "drain-cut-short", "request-abandoned", "drained", "stop" };
    BOOST_TEST(this->takeLoggedEvents() == lines, boost::test_tools::per_element());
    BOOST_TEST((this->handler.handle(StopRequested {}, 0, this->actions) == DrainHandler::Directive::None));
}
