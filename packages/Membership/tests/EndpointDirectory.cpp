#include <filbertspoke/Membership>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const EndpointDirectorySettings settings;
const EndpointId engineId("engine-1");
const EngineRole engineRole { ModelId("assistant"), "v1", LayerRange(0, 8) };

Endpoint makeEndpoint(const EndpointId& id)
{
    return Endpoint::Builder(id).host(HostId("h")).address("127.0.0.9", 9000).role(engineRole).build();
}

std::vector<ListedHost> listOf(bool leaving) { return { { makeEndpoint(engineId), leaving } }; }

const std::vector<ListedHost> listOfAnother { { makeEndpoint(EndpointId("engine-2")), false } };

/** A directory with one alive endpoint. */
struct AliveEngine {
    AliveEngine()
    {
        this->directory.listed(listOf(false), this->now);
        this->directory.reported(engineId, false, std::nullopt, this->now);
    }
    bool takesWork() const { return this->directory.takesNewWork(engineId); }
    void report(bool draining) { this->directory.reported(engineId, draining, std::nullopt, this->now); }
    void list(bool leaving) { this->directory.listed(listOf(leaving), this->now); }
    void miss(unsigned times)
    {
        for (unsigned index = 0; index < times; ++index)
            this->directory.pollFailed(engineId, this->now);
    }
    void wait(Duration duration) { this->now += duration; }
    /** Applies a host list and a status report every half second. */
    void pollFor(Duration duration)
    {
        for (const TimePoint end = this->now + duration; this->now < end; this->now += 500ms) {
            this->list(false);
            this->report(false);
        }
    }

    EndpointDirectory directory;
    TimePoint now { 1h };
};

}

BOOST_AUTO_TEST_CASE(hostListAloneDoesNotMakeAnEndpointAlive)
{
    EndpointDirectory directory;
    const EndpointChanges changes = directory.listed(listOf(false), TimePoint(1s));
    BOOST_TEST((changes == EndpointChanges { EndpointDescribed { makeEndpoint(engineId) } }));
    BOOST_TEST(!directory.takesNewWork(engineId));

    const EndpointChanges reported = directory.reported(engineId, false, engineRole, TimePoint(2s));
    BOOST_TEST((reported == EndpointChanges { EndpointStateChanged { engineId, MemberState::Suspect, MemberState::Alive } }));
    BOOST_TEST(directory.takesNewWork(engineId));
}

BOOST_FIXTURE_TEST_CASE(eachSignalOfLeavingStopsNewWork, AliveEngine)
{
    BOOST_TEST(this->takesWork());
    AliveEngine listed;
    listed.list(true);
    BOOST_TEST(!listed.takesWork());
    AliveEngine draining;
    draining.report(true);
    BOOST_TEST(!draining.takesWork());
    for (const EndpointSignal signal : { EndpointSignal::Draining, EndpointSignal::ListedLeaving }) {
        AliveEngine heard;
        heard.directory.heard({ { engineId, signal, 100ms } }, heard.now);
        BOOST_TEST(!heard.takesWork());
        BOOST_TEST((heard.directory.state(engineId) == MemberState::Leaving));
    }
}

BOOST_FIXTURE_TEST_CASE(laggingListDoesNotClearASignal, AliveEngine)
{
    this->list(true);
    this->pollFor(settings.listLag);
    BOOST_TEST(!this->takesWork());
    this->pollFor(2s);
    BOOST_TEST(this->takesWork());
}

BOOST_FIXTURE_TEST_CASE(olderObservationDoesNotShortenASignal, AliveEngine)
{
    this->list(true);
    this->directory.heard({ { engineId, EndpointSignal::ListedLeaving, 40s } }, this->now);
    this->pollFor(settings.listLag);
    BOOST_TEST(!this->takesWork());
}

BOOST_FIXTURE_TEST_CASE(listBufferedDuringAPauseDoesNotClearASignal, AliveEngine)
{
    this->list(true);
    this->wait(10min);
    this->list(false);
    this->report(false);
    BOOST_TEST(!this->takesWork());
}

BOOST_FIXTURE_TEST_CASE(onlyItsOwnReportRevivesAGoneEndpoint, AliveEngine)
{
    this->miss(1);
    BOOST_TEST((this->directory.state(engineId) == MemberState::Suspect));
    this->miss(2);
    BOOST_TEST((this->directory.state(engineId) == MemberState::Gone));
    this->wait(1h);
    this->list(false);
    BOOST_TEST(!this->takesWork());
    this->report(false);
    BOOST_TEST(this->takesWork());
}

BOOST_FIXTURE_TEST_CASE(restartedEndpointGetsWorkAgainAfterDraining, AliveEngine)
{
    this->report(true);
    this->miss(3);
    this->wait(5s);
    this->report(false);
    BOOST_TEST(!this->takesWork());
    this->wait(1s);
    this->report(false);
    BOOST_TEST(this->takesWork());
}

BOOST_FIXTURE_TEST_CASE(silenceSeenByAPeerCountsOnlyWithAnOwnMissedAnswer, AliveEngine)
{
    this->directory.heard({ { engineId, EndpointSignal::Silent, 0s } }, this->now);
    BOOST_TEST(this->takesWork());
    this->miss(1);
    BOOST_TEST((this->directory.state(engineId) == MemberState::Gone));
}

BOOST_FIXTURE_TEST_CASE(emptyListIsIgnored, AliveEngine)
{
    for (int reading = 0; reading < 100; ++reading) {
        this->wait(1s);
        this->directory.listed({}, this->now);
    }
    BOOST_TEST(this->takesWork());
}

BOOST_FIXTURE_TEST_CASE(unlistedEndpointBecomesLeavingAndIsRemoved, AliveEngine)
{
    const auto read = [this] { return this->directory.listed(listOfAnother, this->now); };
    read();
    BOOST_TEST(this->takesWork());
    this->wait(settings.listLag + 1s);
    read();
    BOOST_TEST((this->directory.state(engineId) == MemberState::Leaving));
    this->miss(3);
    this->wait(settings.retention + 1s);
    BOOST_TEST((read().back() == EndpointChange(EndpointRemoved { engineId })));
    BOOST_TEST(!this->directory.state(engineId).has_value());
}

BOOST_AUTO_TEST_CASE(signalOfAnUnlistedEndpointIsKeptUntilItIsListed)
{
    EndpointDirectory directory;
    directory.heard({ { engineId, EndpointSignal::ListedLeaving, 0s } }, TimePoint(1s));
    directory.listed(listOf(false), TimePoint(2s));
    directory.reported(engineId, false, std::nullopt, TimePoint(3s));
    BOOST_TEST(!directory.takesNewWork(engineId));
}

BOOST_AUTO_TEST_CASE(drainingReportBeforeTheListingIsKept)
{
    EndpointDirectory directory;
    directory.reported(engineId, true, std::nullopt, TimePoint(1s));
    directory.listed(listOf(false), TimePoint(1s));
    directory.reported(engineId, false, std::nullopt, TimePoint(1s)); // sent before the endpoint started to drain
    BOOST_TEST(!directory.takesNewWork(engineId));
}

BOOST_FIXTURE_TEST_CASE(layersReportedByTheEngineReplaceTheListedOnes, AliveEngine)
{
    const EngineRole other { ModelId("assistant"), "v2", LayerRange(8, 16) };
    this->directory.reported(engineId, false, other, this->now);
    BOOST_TEST((this->directory.find(engineId)->role() == EndpointRole(other)));
    this->list(false);
    BOOST_TEST((this->directory.find(engineId)->role() == EndpointRole(other)));
}

BOOST_FIXTURE_TEST_CASE(signalsAreGossipedWithTheirAgeALimitedNumberOfTimes, AliveEngine)
{
    this->list(true);
    this->wait(1s);
    const std::vector<EndpointObservation> expected { { engineId, EndpointSignal::ListedLeaving, 1s } };
    BOOST_TEST((this->directory.takeObservations(8, 2, this->now) == expected));
    BOOST_TEST(this->directory.takeObservations(8, 2, this->now).size() == 1U);
    BOOST_TEST(this->directory.takeObservations(8, 2, this->now).empty());
    // A signal that another daemon has just gossiped isn't repeated.
    this->directory.heard(expected, this->now);
    this->list(true);
    BOOST_TEST(this->directory.takeObservations(8, 2, this->now).empty());
    this->wait(settings.repeatInterval);
    this->list(true);
    BOOST_TEST(this->directory.takeObservations(8, 2, this->now).size() == 1U);
}
