#include "RouterScene.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace filbertspoke;
using namespace filbertspoke::testing;
using namespace std::chrono_literals;

namespace {

constexpr int streams = 5;

/** \brief A Router with streams whose outstanding steps are all at the second stage. */
struct Fixture {
    Router router { { DaemonId("d"), FailureDomainId("a"), 1 }, 7 };
    Now now { TimePoint(1h), WallTime(1h) };
    std::vector<ListedHost> hosts { engineLine("first", { 0, 4 }), engineLine("second", { 4, 8 }) };

    Fixture()
    {
        this->router.start(this->now);
        this->handle(RecordsRead { "configuration", { { "configuration", 0, firstChange() } }, 0, 1 });
        this->handle(HostsListed { this->hosts });
        this->report("first");
        this->report("second");
        for (int number = 0; number < streams; ++number) {
            const SendStep step = collect<SendStep>(this->ask(RequestId("r" + std::to_string(number)))).at(0);
            this->handle(StepAnswered { step.endpoint, StepReceipt(step.step, StepStatus::Ok, "x") });
        }
    }

    Actions handle(const Event& event)
    {
        this->now = this->now.after(1ms);
        return this->router.handle(event, this->now);
    }

    void report(const std::string& id) { this->handle(EndpointReported { EndpointId(id), LoadReport { 0, 0, 10000, false }, std::nullopt }); }

    Actions ask(const RequestId& request)
    {
        CompletionReceived event;
        event.request = request;
        event.account = AccountId("acme");
        event.model = ModelId("m");
        event.prompt = "true the wheel";
        event.maximumTokens = 4;
        return this->handle(event);
    }
};

}

BOOST_FIXTURE_TEST_CASE(lossOfOneStageIsNotBlamedOnAnother, Fixture)
{
    this->hosts.push_back(engineLine("spare", { 0, 4 }));
    this->handle(HostsListed { this->hosts });
    this->report("spare");

    std::size_t moved = 0;
    for (int miss = 0; miss < 3; ++miss) {
        const Actions actions = this->handle(EndpointPollFailed { EndpointId("first") });
        BOOST_TEST(collect<RefuseRequest>(actions).empty());
        moved += collect<SendStep>(actions).size();
    }

    BOOST_TEST(moved == static_cast<std::size_t>(streams));
}
