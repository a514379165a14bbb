#include <filbertspoke/Routing>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;

namespace {

const ServiceId service("bench-app");

Endpoint replica(const std::string& name)
{
    return Endpoint::Builder(EndpointId(name)).failureDomain(FailureDomainId("a")).role(ServiceRole { service }).build();
}

struct Fixture {
    EndpointView view { FailureDomainId("a") };
    Random random { 1 };
    ReplicaPicker picker;
    TimePoint now;
};

}

BOOST_FIXTURE_TEST_CASE(pickSkipsExcludedReplicas, Fixture)
{
    this->view.put(replica("first"));
    this->view.put(replica("second"));

    const Result<EndpointId> picked = this->picker.pick(service, { EndpointId("first") }, this->view, this->random, this->now);

    BOOST_TEST(picked.value().str() == "second");
}

BOOST_FIXTURE_TEST_CASE(noReplicaIsNoEndpoint, Fixture)
{
    this->view.put(replica("first"));
    this->view.remove(EndpointId("first"));

    const Result<EndpointId> picked = this->picker.pick(service, {}, this->view, this->random, this->now);

    BOOST_TEST((picked.error() == ErrorCode::NoEndpoint));
}

BOOST_FIXTURE_TEST_CASE(replicaThatHasBecomeSlowIsLeftAloneForAWhile, Fixture)
{
    using namespace std::chrono_literals;
    this->view.put(replica("slow"));
    this->view.put(replica("fast"));
    for (const char* name : { "slow", "fast" })
        this->view.workFinished(EndpointId(name), 1ms, this->now);
    this->view.workFinished(EndpointId("slow"), 50ms, this->now);

    this->view.workStarted(EndpointId("fast"), this->now);

    const auto pick = [&](Duration later) { return this->picker.pick(service, {}, this->view, this->random, this->now + later).value().str(); };
    BOOST_TEST(pick(10ms) == "fast");
    BOOST_TEST(pick(2s) == "slow");
}
