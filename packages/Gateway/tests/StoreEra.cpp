// The store of the platform may restart from a copy of its data that is some seconds old. Offsets then go back and are assigned again,
// leases may be granted again, and entries of the registry reappear in older versions.
#include "RegistryEntry.h"

#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

using namespace filbertspoke;
using namespace filbertspoke::testing;
using namespace std::chrono_literals;

namespace {

constexpr Duration leaseLifetime = 1500ms;

struct Fixture {
    std::size_t usable() const { return this->registry.candidates(registryService, this->now).size(); }

    void restartStore()
    {
        this->registry.noteRegistryRecovered(this->now);
    }

    EndpointRegistry registry;
    LeaseTracker lease { leaseLifetime };
    TimePoint now { 100s };
};

}

BOOST_AUTO_TEST_CASE(answersOfAnEarlierEraAreOutdated)
{
    StoreEraTracker eras;
    BOOST_TEST((eras.note(std::nullopt) == EraRelation::Current));
    BOOST_TEST((eras.note(4) == EraRelation::Current));
    BOOST_TEST((eras.note(5) == EraRelation::Newer));
    BOOST_TEST((eras.note(4) == EraRelation::Outdated));
    BOOST_TEST((eras.note(5) == EraRelation::Current));
    BOOST_TEST((eras.note(std::nullopt) == EraRelation::Current));
    BOOST_TEST((eras.current() == std::optional<StoreEra>(5)));
}

BOOST_FIXTURE_TEST_CASE(leaseOfAnEarlierEraIsGivenUp, Fixture)
{
    BOOST_TEST(!this->lease.noteEra(1));
    this->lease.noteClaim({ 7, true }, this->now);
    BOOST_TEST(this->lease.held(this->now + 1s));
    BOOST_TEST(!this->lease.noteEra(1));
    BOOST_TEST(this->lease.noteEra(2));
    BOOST_TEST(!this->lease.held(this->now + 1s));
    BOOST_TEST(this->lease.generation() == 0U);
}

// The copy knows an earlier generation, from which the store counts again. An engine that checks the tokens would otherwise refuse all
// orders of the new holder.
BOOST_FIXTURE_TEST_CASE(fencingTokenIncreasesWithTheEra, Fixture)
{
    this->lease.noteEra(1);
    this->lease.noteClaim({ 7, true }, this->now);
    const std::uint64_t before = this->lease.fencingToken();
    this->lease.noteEra(2);
    this->lease.noteClaim({ 3, true }, this->now);
    BOOST_TEST(this->lease.fencingToken() > before);
}

BOOST_FIXTURE_TEST_CASE(leaseExpiresWithoutRenewal, Fixture)
{
    this->lease.noteClaim({ 1, true }, this->now);
    BOOST_TEST(this->lease.held(this->now + 1499ms));
    BOOST_TEST(!this->lease.held(this->now + 1500ms));
    this->lease.noteClaim({ 1, false }, this->now);
    BOOST_TEST(!this->lease.held(this->now));
}

BOOST_FIXTURE_TEST_CASE(endpointThatLeftDoesNotReturnWithAnOlderEntry, Fixture)
{
    this->registry.update(registryEntry("e1", 5, true));
    this->registry.remove(EndpointId("e1"), this->now);
    this->restartStore();
    this->registry.replaceAll({ registryEntry("e1", 4) }, this->now);
    BOOST_TEST(this->usable() == 0U);
    this->registry.replaceAll({ registryEntry("e1", 5, true) }, this->now);
    BOOST_TEST(!this->registry.find(EndpointId("e1")));
}

BOOST_FIXTURE_TEST_CASE(drainingEndpointStaysDrainingWhenItsEntryReturnsLater, Fixture)
{
    this->registry.update(registryEntry("e1", 5, true));
    this->registry.remove(EndpointId("e1"), this->now);
    this->registry.update(registryEntry("e1", 6));
    BOOST_TEST(this->usable() == 0U);
}

BOOST_FIXTURE_TEST_CASE(endpointWhoseEntryExpiredReturnsWithItsNextHeartbeat, Fixture)
{
    this->registry.update(registryEntry("e1", 5));
    this->registry.remove(EndpointId("e1"), this->now);
    BOOST_TEST(this->usable() == 0U);
    this->registry.update(registryEntry("e1", 6));
    BOOST_TEST(this->usable() == 1U);
}

BOOST_FIXTURE_TEST_CASE(restartedEndpointReturnsAfterItsPredecessorLeft, Fixture)
{
    this->registry.update(registryEntry("e1", 5, true));
    this->registry.remove(EndpointId("e1"), this->now);
    RegisteredEndpoint restarted = registryEntry("e1", 1);
    restarted.startedAtMs = 2000;
    this->registry.update(restarted);
    BOOST_TEST(this->usable() == 1U);
}

// The copy lacks the endpoints that registered last; they write their entries again within two seconds.
BOOST_FIXTURE_TEST_CASE(endpointMissingInTheCopyIsUsedUntilItHasHadTimeToRegisterAgain, Fixture)
{
    this->registry.update(registryEntry("e1", 5));
    this->registry.update(registryEntry("e2", 1));
    this->restartStore();
    this->registry.replaceAll({ registryEntry("e1", 4) }, this->now);
    BOOST_TEST(this->usable() == 2U);
    this->now += 2s;
    this->registry.expire(this->now);
    BOOST_TEST(this->usable() == 1U);
}

BOOST_FIXTURE_TEST_CASE(removedEndpointsAreForgottenEventually, Fixture)
{
    this->registry.update(registryEntry("e1", 5));
    this->registry.remove(EndpointId("e1"), this->now);
    this->now += std::chrono::minutes(5);
    this->registry.expire(this->now);
    this->registry.update(registryEntry("e1", 5));
    BOOST_TEST(this->usable() == 1U);
}
