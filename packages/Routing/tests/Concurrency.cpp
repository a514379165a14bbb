#include <filbertspoke/Routing>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;

namespace {

struct Fixture {
    EndpointView view { FailureDomainId("a") };
    ModelConfiguration model;
    ModelConcurrency concurrency;
    TimePoint now;

    Fixture()
    {
        this->model.id = ModelId("assistant");
        this->model.version = "1";
        this->model.layers = 8;
    }

    void put(const std::string& name, LayerRange layers, double tokensPerSecond)
    {
        const EndpointId id(name);
        this->view.put(Endpoint::Builder(id).role(EngineRole { this->model.id, this->model.version, layers }).build());
        this->view.report(id, LoadReport { 0, 0, tokensPerSecond, false }, this->now);
    }
};

}

BOOST_FIXTURE_TEST_CASE(scarcestRangeSetsTheLimit, Fixture)
{
    this->put("first", { 0, 4 }, 1000);
    this->put("second", { 4, 8 }, 400);

    BOOST_TEST(this->concurrency.limit(this->model, this->view, 1).value() == 20u);
    BOOST_TEST(this->concurrency.limit(this->model, this->view, 4).value() == 5u);
}

BOOST_FIXTURE_TEST_CASE(limitFollowsWhatTakesNewWork, Fixture)
{
    this->put("first", { 0, 4 }, 1000);
    this->put("second", { 4, 8 }, 400);
    this->put("third", { 4, 8 }, 400);
    BOOST_TEST(this->concurrency.limit(this->model, this->view, 1).value() == 40u);

    this->view.markDraining(EndpointId("third"));
    BOOST_TEST(this->concurrency.limit(this->model, this->view, 1).value() == 20u);
    this->view.remove(EndpointId("second"));
    BOOST_TEST(!this->concurrency.limit(this->model, this->view, 1).has_value());
}

BOOST_FIXTURE_TEST_CASE(unreportedRatesGiveNoLimit, Fixture)
{
    this->put("whole", { 0, 8 }, 0);

    BOOST_TEST(!this->concurrency.limit(this->model, this->view, 1).has_value());
}
