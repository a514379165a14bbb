// What endpoints say about themselves in their answers: that they are leaving, and for how long they want no requests.
#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const ServiceId service("assistant");
constexpr std::uint32_t modelLayers = 8;

RegisteredEndpoint engine(const std::string& id, const LayerRange& layers, std::int64_t startedAtMs = 1000, std::uint64_t heartbeat = 1)
{
    RegisteredEndpoint endpoint;
    endpoint.id = EndpointId(id);
    endpoint.service = service;
    endpoint.address = { "10.0.0.1", static_cast<std::uint16_t>(8000 + id.back()) };
    endpoint.failureDomain = FailureDomainId("a");
    endpoint.layers = layers;
    endpoint.heartbeat = heartbeat;
    endpoint.startedAtMs = startedAtMs;
    return endpoint;
}

struct Fixture {
    Fixture()
    {
        this->registry.update(engine("e1", { 0, 4 }));
        this->registry.update(engine("e2", { 4, 8 }));
        this->registry.update(engine("e3", { 4, 8 }));
    }

    std::vector<std::string> candidates() const
    {
        std::vector<std::string> ids;
        for (const EndpointRecord* record : this->registry.candidates(service, this->now))
            ids.push_back(record->endpoint.id.str());
        return ids;
    }

    void pushBack(const std::string& id, Duration time, double draw = 0) { this->registry.notePushback(EndpointId(id), time, draw, this->now); }

    EndpointRegistry registry;
    TimePoint now { 100s };
};

using Ids = std::vector<std::string>;

}

BOOST_FIXTURE_TEST_CASE(endpointThatSaysItIsLeavingGetsNoNewWork, Fixture)
{
    BOOST_TEST(this->registry.noteLeaving(EndpointId("e2")));
    BOOST_TEST(!this->registry.noteLeaving(EndpointId("e2")));
    BOOST_TEST((this->candidates() == Ids { "e1", "e3" }));
    BOOST_TEST(!EndpointRegistry::takesWork(*this->registry.find(EndpointId("e2")), this->now));
    this->registry.update(engine("e2", { 4, 8 }, 1000, 9));
    this->now += 1h;
    BOOST_TEST((this->candidates() == Ids { "e1", "e3" }));
}

BOOST_FIXTURE_TEST_CASE(leavingEndsWithTheNextRun, Fixture)
{
    this->registry.noteLeaving(EndpointId("e2"));
    this->registry.update(engine("e2", { 4, 8 }, 2000));
    BOOST_TEST((this->candidates() == Ids { "e1", "e2", "e3" }));
    BOOST_TEST(this->registry.reportedLeaving().empty());
}

BOOST_FIXTURE_TEST_CASE(leavingIsPassedOnUntilTheEntrySaysSo, Fixture)
{
    this->registry.noteLeaving(EndpointId("e2"));
    BOOST_TEST((this->registry.reportedLeaving() == std::vector<EndpointRun> { { EndpointId("e2"), 1000 } }));
    RegisteredEndpoint draining = engine("e2", { 4, 8 }, 1000, 2);
    draining.draining = true;
    this->registry.update(draining);
    BOOST_TEST(this->registry.reportedLeaving().empty());
    BOOST_TEST((this->candidates() == Ids { "e1", "e3" }));
}

BOOST_FIXTURE_TEST_CASE(leavingReportedByAnotherDaemonAppliesToThatRunOnly, Fixture)
{
    this->registry.noteRemoteLeaving({ EndpointId("e2"), 999 });
    BOOST_TEST((this->candidates() == Ids { "e1", "e2", "e3" }));
    this->registry.noteRemoteLeaving({ EndpointId("e2"), 1000 });
    BOOST_TEST((this->candidates() == Ids { "e1", "e3" }));
    BOOST_TEST(this->registry.reportedLeaving().size() == 1U);
}

// An answer may arrive after the entry of the endpoint has expired; the entry may still come back.
BOOST_FIXTURE_TEST_CASE(leavingIsRememberedForAnEndpointWhoseEntryExpired, Fixture)
{
    this->registry.remove(EndpointId("e2"), this->now);
    this->registry.noteLeaving(EndpointId("e2"));
    this->registry.update(engine("e2", { 4, 8 }, 1000, 2));
    BOOST_TEST((this->candidates() == Ids { "e1", "e3" }));
}

BOOST_FIXTURE_TEST_CASE(pushedBackEndpointGetsNoRequestsUntilTheEnd, Fixture)
{
    this->pushBack("e2", 2s);
    BOOST_TEST((this->candidates() == Ids { "e1", "e3" }));
    // Older work that succeeds does not end a pushback.
    this->registry.noteSuccess(EndpointId("e2"), this->now);
    this->now += 1999ms;
    BOOST_TEST((this->candidates() == Ids { "e1", "e3" }));
    this->now += 1ms;
    BOOST_TEST((this->candidates() == Ids { "e1", "e2", "e3" }));
}

BOOST_FIXTURE_TEST_CASE(shorterPushbackDoesNotShortenALongerOne, Fixture)
{
    this->pushBack("e2", 2s);
    this->pushBack("e2", 100ms);
    this->now += 1s;
    BOOST_TEST((this->candidates() == Ids { "e1", "e3" }));
}

// Avoidance after faults is a guess, and avoided endpoints are used when there are no others. A pushback is the endpoint's own word.
BOOST_FIXTURE_TEST_CASE(pushedBackEndpointsAreNotUsedEvenIfThereAreNoOthers, Fixture)
{
    for (const char* id : { "e1", "e2", "e3" })
        this->pushBack(id, 1s);
    BOOST_TEST(this->candidates().empty());
}

BOOST_FIXTURE_TEST_CASE(pushbackDoesNotTakeAnEngineOutOfThePlacement, Fixture)
{
    this->pushBack("e2", 1s);
    BOOST_TEST(EndpointRegistry::takesWork(*this->registry.find(EndpointId("e2")), this->now));
}

BOOST_FIXTURE_TEST_CASE(remainingTimeIsThatUntilAllLayersAreServedAgain, Fixture)
{
    BOOST_TEST(!this->registry.pushbackRemaining(service, modelLayers, this->now).has_value());
    this->pushBack("e2", 3s);
    BOOST_TEST(!this->registry.pushbackRemaining(service, modelLayers, this->now).has_value());
    this->pushBack("e3", 2s);
    BOOST_TEST((this->registry.pushbackRemaining(service, modelLayers, this->now) == Duration(2s)));
    this->pushBack("e1", 4s);
    BOOST_TEST((this->registry.pushbackRemaining(service, modelLayers, this->now) == Duration(4s)));
}

BOOST_FIXTURE_TEST_CASE(remainingTimeOfAPlainServiceIsTheShortestOne, Fixture)
{
    BOOST_TEST(!this->registry.pushbackRemaining(service, 0, this->now).has_value());
    this->pushBack("e1", 4s);
    this->pushBack("e2", 3s);
    this->pushBack("e3", 2s);
    BOOST_TEST((this->registry.pushbackRemaining(service, 0, this->now) == Duration(2s)));
    BOOST_TEST(!this->registry.pushbackRemaining(ServiceId("unknown"), 0, this->now).has_value());
}

BOOST_FIXTURE_TEST_CASE(layersThatNoEngineHoldsAreNotWaitedFor, Fixture)
{
    this->registry.update(engine("e1", { 1, 4 }, 1000, 2));
    this->pushBack("e2", 3s);
    this->pushBack("e3", 2s);
    BOOST_TEST(!this->registry.pushbackRemaining(service, modelLayers, this->now).has_value());
}

// Load pattern: a full replica pushes back all 118 daemons of a site within the same moment, for two seconds. No more than a tenth
// of them may return within any 20 ms.
BOOST_FIXTURE_TEST_CASE(daemonsThatAreRefusedTogetherReturnSpreadOut, Fixture)
{
    constexpr int daemons = 118;
    constexpr Duration window = 20ms;
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> draw(0, 1);
    std::vector<Duration> returns;
    for (int daemon = 0; daemon < daemons; ++daemon) {
        EndpointRegistry own;
        own.update(engine("e1", { 0, 8 }));
        own.notePushback(EndpointId("e1"), 2s, draw(random), this->now);
        const auto remaining = own.pushbackRemaining(service, modelLayers, this->now);
        BOOST_REQUIRE(remaining.has_value());
        BOOST_TEST((*remaining >= Duration(2s)));
        returns.push_back(*remaining);
    }
    std::sort(returns.begin(), returns.end());
    for (std::size_t first = 0; first < returns.size(); ++first) {
        const auto end = std::upper_bound(returns.begin(), returns.end(), returns[first] + window);
        BOOST_TEST((end - returns.begin() - static_cast<std::ptrdiff_t>(first) <= daemons / 10));
    }
}
