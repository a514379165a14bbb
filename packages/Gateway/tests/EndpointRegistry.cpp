#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const ServiceId service("assistant");

RegisteredEndpoint endpoint(const std::string& id, std::int64_t startedAtMs = 1000, std::uint64_t heartbeat = 1)
{
    RegisteredEndpoint endpoint;
    endpoint.id = EndpointId(id);
    endpoint.service = service;
    endpoint.address = { "10.0.0.1", static_cast<std::uint16_t>(8000 + id.back()) };
    endpoint.failureDomain = FailureDomainId("a");
    endpoint.slots = 4;
    endpoint.heartbeat = heartbeat;
    endpoint.startedAtMs = startedAtMs;
    return endpoint;
}

struct Fixture {
    std::vector<std::string> candidates() const
    {
        std::vector<std::string> ids;
        for (const EndpointRecord* record : this->registry.candidates(service, this->now))
            ids.push_back(record->endpoint.id.str());
        return ids;
    }

    void markUnreachable(const std::string& id) { this->registry.noteFault(EndpointId(id), EndpointFault::Unreachable, this->now); }

    EndpointRegistry registry;
    TimePoint now { 100s };
};

using Ids = std::vector<std::string>;

}

BOOST_FIXTURE_TEST_CASE(drainingEndpointGetsNoWorkAndStaysDraining, Fixture)
{
    this->registry.update(endpoint("e1"));
    RegisteredEndpoint leaving = endpoint("e1", 1000, 2);
    leaving.draining = true;
    this->registry.update(leaving);
    BOOST_TEST((this->candidates() == Ids {}));
    this->registry.update(endpoint("e1", 1000, 3));
    BOOST_TEST((this->candidates() == Ids {}));
}

BOOST_FIXTURE_TEST_CASE(staleEntryOfTheSameRunIsIgnored, Fixture)
{
    RegisteredEndpoint newer = endpoint("e1", 1000, 5);
    newer.layers = LayerRange(0, 4);
    this->registry.update(newer);
    BOOST_TEST(!this->registry.update(endpoint("e1", 1000, 4)));
    BOOST_TEST((this->registry.find(EndpointId("e1"))->endpoint.layers == LayerRange(0, 4)));
    BOOST_TEST(!this->registry.update(endpoint("e1", 999, 9)));
}

BOOST_FIXTURE_TEST_CASE(restartWithTheSameIdResetsTheRecord, Fixture)
{
    RegisteredEndpoint first = endpoint("e1", 1000, 5);
    first.draining = true;
    first.layers = LayerRange(0, 4);
    this->registry.update(first);
    this->registry.update(endpoint("e1", 2000, 1));
    BOOST_TEST((this->candidates() == Ids { "e1" }));
    BOOST_TEST(this->registry.find(EndpointId("e1"))->endpoint.layers.empty());
}

BOOST_FIXTURE_TEST_CASE(removedEndpointIsErasedImmediately, Fixture)
{
    this->registry.update(endpoint("e1"));
    this->registry.remove(EndpointId("e1"), this->now);
    BOOST_TEST(!this->registry.find(EndpointId("e1")));
}

BOOST_FIXTURE_TEST_CASE(entryThatExpiredInAnOutageIsKeptForTwoSeconds, Fixture)
{
    this->registry.update(endpoint("e1"));
    this->registry.update(endpoint("e2"));
    this->registry.noteRegistryRecovered(this->now);
    this->registry.remove(EndpointId("e1"), this->now);
    this->registry.remove(EndpointId("e2"), this->now);
    this->now += 1900ms;
    BOOST_TEST((this->candidates() == Ids { "e1", "e2" }));
    this->registry.update(endpoint("e1", 1000, 2));
    this->now += 200ms;
    this->registry.expire(this->now);
    BOOST_TEST((this->candidates() == Ids { "e1" }));
    BOOST_TEST(!this->registry.find(EndpointId("e2")));
}

// Guards against requests to an endpoint that every reader of the registry had removed: a list from before the removal revived it.
BOOST_FIXTURE_TEST_CASE(entryThatIsNotNewerDoesNotCancelARemoval, Fixture)
{
    this->registry.update(endpoint("e1", 1000, 5));
    this->registry.noteRegistryRecovered(this->now);
    this->registry.remove(EndpointId("e1"), this->now);
    BOOST_TEST(!this->registry.update(endpoint("e1", 1000, 5)));
    this->now += 2s;
    BOOST_TEST((this->candidates() == Ids {}));
}

BOOST_FIXTURE_TEST_CASE(drainingEntryRemovedAfterAnOutageIsErasedImmediately, Fixture)
{
    RegisteredEndpoint leaving = endpoint("e1");
    leaving.draining = true;
    this->registry.update(leaving);
    this->registry.noteRegistryRecovered(this->now);
    this->registry.remove(EndpointId("e1"), this->now);
    BOOST_TEST(!this->registry.find(EndpointId("e1")));
}

// Guards against two endpoints with the same address: 121 requests in one second were sent to a stopped engine's entry, at whose address
// a new engine had started.
BOOST_FIXTURE_TEST_CASE(newEndpointReplacesTheOneAtItsAddress, Fixture)
{
    RegisteredEndpoint successor = endpoint("e2", 2000);
    successor.address = endpoint("e1").address;
    this->registry.update(endpoint("e1"));
    this->registry.update(successor);
    BOOST_TEST((this->candidates() == Ids { "e2" }));
    BOOST_TEST((this->registry.findByAddress(successor.address) == EndpointId("e2")));
    this->registry.update(endpoint("e1", 1000, 7));
    BOOST_TEST((this->candidates() == Ids { "e2" }));
}

BOOST_FIXTURE_TEST_CASE(unreachableEndpointIsAvoidedUntilItRespondsOrTimePasses, Fixture)
{
    this->registry.update(endpoint("e1"));
    this->registry.update(endpoint("e2"));
    this->markUnreachable("e1");
    BOOST_TEST((this->candidates() == Ids { "e2" }));
    this->now += 801ms;
    BOOST_TEST((this->candidates() == Ids { "e1", "e2" }));
    this->markUnreachable("e1");
    this->registry.noteSuccess(EndpointId("e1"), this->now);
    BOOST_TEST((this->candidates() == Ids { "e1", "e2" }));
}

// Guards against chains that were not found because all engines of a failure domain were avoided after three of them had refused requests
// for want of memory.
BOOST_FIXTURE_TEST_CASE(endpointsThatRefuseWorkDoNotMakeTheirDomainUnreachable, Fixture)
{
    for (const char* id : { "e1", "e2", "e3", "e4" })
        this->registry.update(endpoint(id));
    for (const char* id : { "e1", "e2", "e3" })
        this->registry.noteFault(EndpointId(id), EndpointFault::Refused, this->now);
    BOOST_TEST((this->candidates() == Ids { "e4" }));
    BOOST_TEST(!this->registry.isAvoided(*this->registry.find(EndpointId("e4")), this->now));
    this->now += 501ms;
    BOOST_TEST((this->candidates() == Ids { "e1", "e2", "e3", "e4" }));
}

// Guards against chains that need a refusing engine and wait for the end of a long pause.
BOOST_FIXTURE_TEST_CASE(refusalsInSuccessionLengthenThePauseOnlyForWorkThatOthersCanTake, Fixture)
{
    for (const char* id : { "e1", "e2" })
        this->registry.update(endpoint(id));
    for (const Duration pause : { 500ms, 1000ms, 2000ms, 4000ms, 4000ms }) {
        this->registry.noteFault(EndpointId("e1"), EndpointFault::Refused, this->now);
        BOOST_TEST(this->registry.candidates(service, this->now + 499ms, RefusingCandidates::Included).size() == 1U);
        BOOST_TEST(this->registry.candidates(service, this->now + 500ms, RefusingCandidates::Included).size() == 2U);
        this->now += pause - 1ms;
        BOOST_TEST((this->candidates() == Ids { "e2" }));
        this->now += 1ms;
        BOOST_TEST((this->candidates() == Ids { "e1", "e2" }));
    }
}

// Guards against pauses that outlast their cause: an engine that has given up layers has memory again for those that it keeps.
BOOST_FIXTURE_TEST_CASE(changeOfLayersEndsTheRefusal, Fixture)
{
    for (const char* id : { "e1", "e2" })
        this->registry.update(endpoint(id));
    this->registry.noteFault(EndpointId("e1"), EndpointFault::Refused, this->now);
    this->registry.update(endpoint("e1", 1000, 2));
    BOOST_TEST((this->candidates() == Ids { "e2" }));
    RegisteredEndpoint changed = endpoint("e1", 1000, 3);
    changed.layers = LayerRange(0, 4);
    this->registry.update(changed);
    BOOST_TEST((this->candidates() == Ids { "e1", "e2" }));
    BOOST_TEST(this->registry.ownRefusals(this->now).empty());
}

// Guards against reports that a member passes on as its own refusals, and against those on an earlier run of an engine.
BOOST_FIXTURE_TEST_CASE(reportedRefusalIsOfOneRunAndNoOwnRefusal, Fixture)
{
    for (const char* id : { "e1", "e2" })
        this->registry.update(endpoint(id));
    BOOST_TEST(!this->registry.noteRemoteRefusal({ { EndpointId("e1"), 999 }, 1s }, 0, this->now).has_value());
    BOOST_TEST((this->candidates() == Ids { "e1", "e2" }));
    BOOST_TEST(this->registry.noteRemoteRefusal({ { EndpointId("e1"), 1000 }, 1s }, 0, this->now).has_value());
    BOOST_TEST((this->candidates() == Ids { "e2" }));
    BOOST_TEST(this->registry.ownRefusals(this->now).empty());
    this->registry.noteFault(EndpointId("e2"), EndpointFault::Refused, this->now);
    BOOST_TEST((this->registry.ownRefusals(this->now) == std::vector<RefusingEndpoint> { { { EndpointId("e2"), 1000 }, 500ms } }));
}

// A refusal is no defect: other daemons prefer other endpoints for a while, but move no streams.
BOOST_FIXTURE_TEST_CASE(refusalIsNoAvoidanceOfTheEndpoint, Fixture)
{
    this->registry.update(endpoint("e1"));
    this->registry.noteFault(EndpointId("e1"), EndpointFault::Refused, this->now);
    BOOST_TEST(!EndpointRegistry::ownAvoidance(*this->registry.find(EndpointId("e1")), this->now).has_value());
    BOOST_TEST(!EndpointRegistry::isSuspected(*this->registry.find(EndpointId("e1")), this->now));
}

BOOST_FIXTURE_TEST_CASE(workFromBeforeARefusalDoesNotEndIt, Fixture)
{
    for (const char* id : { "e1", "e2" })
        this->registry.update(endpoint(id));
    this->registry.noteFault(EndpointId("e1"), EndpointFault::Refused, this->now);
    this->registry.noteSuccess(EndpointId("e1"), this->now - 1s);
    BOOST_TEST((this->candidates() == Ids { "e2" }));
    this->registry.noteSuccess(EndpointId("e1"), this->now);
    BOOST_TEST((this->candidates() == Ids { "e1", "e2" }));
}

BOOST_FIXTURE_TEST_CASE(avoidedEndpointsAreUsedWhenThereAreNoOthers, Fixture)
{
    this->registry.update(endpoint("e1"));
    this->markUnreachable("e1");
    BOOST_TEST((this->candidates() == Ids { "e1" }));
}

BOOST_FIXTURE_TEST_CASE(concurrentFaultsCountOnce, Fixture)
{
    this->registry.update(endpoint("e1"));
    this->registry.update(endpoint("e2"));
    for (int request = 0; request < 40; ++request)
        this->markUnreachable("e1");
    this->now += 801ms;
    BOOST_TEST((this->candidates() == Ids { "e1", "e2" }));
}

BOOST_FIXTURE_TEST_CASE(intermittentlyFailingEndpointIsAvoidedAtAHighFaultRate, Fixture)
{
    this->registry.update(endpoint("e1"));
    this->registry.update(endpoint("e2"));
    for (int exchange = 0; exchange < 20 && this->candidates().size() == 2; ++exchange) {
        this->registry.noteFault(EndpointId("e1"), EndpointFault::Failed, this->now);
        if (this->candidates().size() == 2)
            this->registry.noteSuccess(EndpointId("e1"), this->now);
    }
    BOOST_TEST((this->candidates() == Ids { "e2" }));
}

BOOST_FIXTURE_TEST_CASE(remoteAvoidanceExpires, Fixture)
{
    this->registry.update(endpoint("e1"));
    this->registry.update(endpoint("e2"));
    this->registry.noteRemoteAvoidance(EndpointId("e1"), 300ms, this->now);
    BOOST_TEST((this->candidates() == Ids { "e2" }));
    BOOST_TEST(!EndpointRegistry::ownAvoidance(*this->registry.find(EndpointId("e1")), this->now).has_value());
    this->now += 301ms;
    BOOST_TEST((this->candidates() == Ids { "e1", "e2" }));
}

// A daemon that was cut off itself uses the endpoints again at once.
BOOST_FIXTURE_TEST_CASE(forgottenFaultsEndTheAvoidanceOfEndpointsAndOfTheirDomain, Fixture)
{
    Ids all;
    for (const char* id : { "e1", "e2", "e3", "e4", "e5" }) {
        this->registry.update(endpoint(id));
        all.emplace_back(id);
    }
    for (const char* id : { "e1", "e2", "e3", "e4" })
        this->markUnreachable(id);
    BOOST_TEST(this->registry.isAvoided(*this->registry.find(EndpointId("e5")), this->now));
    this->registry.forgetFaults(ServiceId("other"));
    BOOST_TEST(this->registry.isAvoided(*this->registry.find(EndpointId("e1")), this->now));
    this->registry.forgetFaults(service);
    BOOST_TEST((this->candidates() == all));
    BOOST_TEST(!this->registry.isAvoided(*this->registry.find(EndpointId("e5")), this->now));
}

BOOST_FIXTURE_TEST_CASE(domainWithSeveralUnreachableEndpointsIsAvoided, Fixture)
{
    for (const char* id : { "e1", "e2", "e3", "e4" })
        this->registry.update(endpoint(id));
    RegisteredEndpoint elsewhere = endpoint("f5");
    elsewhere.failureDomain = FailureDomainId("b");
    this->registry.update(elsewhere);
    for (const char* id : { "e1", "e2", "e3" })
        this->markUnreachable(id);
    BOOST_TEST((this->candidates() == Ids { "f5" }));
    this->registry.noteSuccess(EndpointId("e4"), this->now);
    BOOST_TEST((this->candidates() == Ids { "e4", "f5" }));
}

// Guards against trying each engine of an unreachable domain again as soon as its own avoidance ends.
BOOST_FIXTURE_TEST_CASE(domainStaysAvoidedAfterTheAvoidanceOfItsEndpointsEnds, Fixture)
{
    for (const char* id : { "e1", "e2", "e3", "e4" })
        this->registry.update(endpoint(id));
    RegisteredEndpoint elsewhere = endpoint("f5");
    elsewhere.failureDomain = FailureDomainId("b");
    this->registry.update(elsewhere);
    this->markUnreachable("e1");
    this->registry.noteRemoteAvoidance(EndpointId("e2"), 300ms, this->now);
    this->registry.noteRemoteAvoidance(EndpointId("e3"), 300ms, this->now);
    this->now += 3s;
    BOOST_TEST((this->candidates() == Ids { "f5" }));
    this->now += 2s;
    BOOST_TEST(this->candidates().size() == 5U);
}

// Guards against events of older streams ending the avoidance of a draining engine. Twelve of 98 engines drained while the store was
// unavailable; they refused new streams but continued older ones, and one gateway tried the same engine eight times within 1.4 s.
BOOST_FIXTURE_TEST_CASE(olderWorkDoesNotEndTheAvoidanceOfAnEndpointThatRefusesNewWork, Fixture)
{
    this->registry.update(endpoint("e1"));
    this->registry.update(endpoint("e2"));
    const TimePoint begun = this->now;
    this->now += 100ms;
    this->markUnreachable("e1");
    this->now += 10ms;
    this->registry.noteSuccess(EndpointId("e1"), begun);
    BOOST_TEST((this->candidates() == Ids { "e2" }));
    this->registry.noteSuccess(EndpointId("e1"), this->now);
    BOOST_TEST((this->candidates() == Ids { "e1", "e2" }));
}

BOOST_FIXTURE_TEST_CASE(olderWorkDoesNotEndRemoteAvoidance, Fixture)
{
    this->registry.update(endpoint("e1"));
    this->registry.update(endpoint("e2"));
    const TimePoint begun = this->now;
    this->now += 100ms;
    this->registry.noteRemoteAvoidance(EndpointId("e1"), 300ms, this->now);
    this->registry.noteSuccess(EndpointId("e1"), begun);
    BOOST_TEST((this->candidates() == Ids { "e2" }));
}
