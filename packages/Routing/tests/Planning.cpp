#include <filbertspoke/Routing>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;

namespace {

const ModelId model("assistant");
const std::string version = "1";

Endpoint engine(const std::string& name, LayerRange layers)
{
    return Endpoint::Builder(EndpointId(name)).failureDomain(FailureDomainId("a")).role(EngineRole { model, version, layers }).build();
}

PlanRequest wholeModel(std::uint32_t layers)
{
    return PlanRequest::Builder(model, version).layers(LayerRange(0, layers)).tokens(8, 16).build();
}

struct Fixture {
    EndpointView view { FailureDomainId("a") };
    Random random { 1 };
    Planner planner;
    TimePoint now;
};

}

BOOST_FIXTURE_TEST_CASE(chainUsesWholeRangesThatMeetExactly, Fixture)
{
    this->view.put(engine("first", { 0, 4 }));
    this->view.put(engine("overlapping", { 3, 8 }));
    this->view.put(engine("second", { 4, 8 }));

    const Result<Chain> chain = this->planner.plan(wholeModel(8), this->view, this->random, this->now);

    BOOST_REQUIRE(chain.has_value());
    BOOST_TEST((*chain == Chain { { EndpointId("first"), { 0, 4 } }, { EndpointId("second"), { 4, 8 } } }));
}

BOOST_FIXTURE_TEST_CASE(gapInTheLayersGivesNoPipeline, Fixture)
{
    this->view.put(engine("first", { 0, 4 }));
    this->view.put(engine("third", { 5, 8 }));

    const Result<Chain> chain = this->planner.plan(wholeModel(8), this->view, this->random, this->now);

    BOOST_TEST((chain.error() == ErrorCode::NoPipeline));
}

BOOST_FIXTURE_TEST_CASE(excludedAndLeavingEnginesAreNotChosen, Fixture)
{
    this->view.put(engine("excluded", { 0, 4 }));
    this->view.put(engine("leaving", { 0, 4 }));
    this->view.put(engine("draining", { 0, 4 }));
    this->view.put(engine("left", { 0, 4 }));
    this->view.setTakesNewWork(EndpointId("leaving"), false);
    this->view.report(EndpointId("draining"), LoadReport { 0, 0, 0, true }, this->now);
    const PlanRequest request = PlanRequest::Builder(model, version).layers({ 0, 4 }).exclude(EndpointId("excluded")).build();

    for (int round = 0; round < 50; ++round) {
        const Result<Chain> chain = this->planner.plan(request, this->view, this->random, this->now);
        BOOST_REQUIRE(chain.has_value());
        BOOST_TEST(chain->front().endpoint.str() == "left");
    }
}

BOOST_FIXTURE_TEST_CASE(lostStageIsReplacedByEnginesOfItsRange, Fixture)
{
    this->view.put(engine("first", { 0, 4 }));
    this->view.put(engine("half", { 4, 6 }));
    this->view.put(engine("otherHalf", { 6, 8 }));
    const PlanRequest request = PlanRequest::Builder(model, version).layers({ 4, 8 }).build();

    const Result<Chain> chain = this->planner.plan(request, this->view, this->random, this->now);

    BOOST_REQUIRE(chain.has_value());
    BOOST_TEST(covers(*chain, LayerRange(4, 8)));
    BOOST_TEST(chain->size() == 2);
}

BOOST_FIXTURE_TEST_CASE(changedRoleMovesAnEngineToItsNewRange, Fixture)
{
    this->view.put(engine("only", { 0, 4 }));
    this->view.put(engine("only", { 0, 8 }));

    BOOST_TEST(!this->planner.plan(wholeModel(4), this->view, this->random, this->now).has_value());
    BOOST_TEST(this->planner.plan(wholeModel(8), this->view, this->random, this->now).has_value());
}

BOOST_FIXTURE_TEST_CASE(expectedLoadReplacesReportedOwnWork, Fixture)
{
    const EndpointId id("only");
    this->view.put(engine("only", { 0, 8 }));
    this->view.workStarted(id, this->now);
    this->view.workStarted(id, this->now);
    this->view.report(id, LoadReport { 3, 2, 0, false }, this->now);
    this->view.workFinished(id, std::chrono::milliseconds(4), this->now);

    BOOST_TEST(this->view.find(id)->ownInFlight() == 1);
    BOOST_TEST(this->view.find(id)->expectedLoad() == 4);
}
