// Runs gateways whose store restarts from an older copy of its data: the last records are gone, and offsets are assigned again.
#include <filbertspoke/PlatformTesting>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

// Requirements of the users: a change is in force, and a draining endpoint gets no new requests, this long after the store accepted it.
constexpr auto propagationLimit = 2s;

struct Fixture : GatewayScene {
    Fixture() { this->start(); }

    unsigned statusOf(const std::string& path)
    {
        const std::string received = this->answer(*this->call("GET", path), "\r\n\r\n");
        return received.size() > 12 ? static_cast<unsigned>(std::stoul(received.substr(9, 3))) : 0;
    }

    void waitFor(std::chrono::milliseconds duration)
    {
        const auto until = Clock::now() + duration;
        this->await([&] { return Clock::now() >= until; });
    }

    /** \brief Writes a version whose route leads to a service without endpoints, so that its being in force shows. */
    void closeBookings(int version) { this->putConfiguration(version, "nowhere"); }

    bool bookingsAreServed() { return this->answer(*this->call("POST", "/book/x"), "\r\n\r\n").find("HTTP/1.1 200") != std::string::npos; }
};

}

// When the follower reads again, the log is longer than its offset, so that only the era shows the restart. The new configuration is at
// an offset that the follower has passed before.
BOOST_FIXTURE_TEST_CASE(configurationAtAReassignedOffsetIsRead, Fixture)
{
    this->putConfiguration(2);
    this->putConfiguration(3);
    this->waitFor(500ms);
    this->store.setAway(true);
    this->waitFor(100ms);
    this->store.restartFromCopy(2);
    this->closeBookings(4);
    for (int record = 0; record < 3; ++record)
        this->store.put("keyed.op", "other", "text");
    this->store.setAway(false);
    const auto limit = Clock::now() + propagationLimit;
    this->await([&] { return !this->bookingsAreServed() || Clock::now() > limit; });
    BOOST_TEST(!this->bookingsAreServed());
}

BOOST_FIXTURE_TEST_CASE(lostConfigurationStaysInForce, Fixture)
{
    this->closeBookings(2);
    BOOST_REQUIRE(this->await([&] { return !this->bookingsAreServed(); }));
    this->store.restartFromCopy(1);
    const auto until = Clock::now() + propagationLimit;
    while (Clock::now() < until)
        BOOST_TEST(!this->bookingsAreServed());
    this->putConfiguration(3);
    BOOST_TEST(this->await([&] { return this->bookingsAreServed(); }));
}

BOOST_FIXTURE_TEST_CASE(lostDrainingStaysInForce, Fixture)
{
    this->putEndpoint("app-1", "draining");
    this->waitFor(propagationLimit);
    this->store.restartFromCopy(1);
    this->waitFor(500ms);
    const std::size_t before = this->replicas.at("app-1")->requests().size();
    const auto until = Clock::now() + propagationLimit;
    while (Clock::now() < until)
        this->answer(*this->call("POST", "/book/x"), "served");
    BOOST_TEST(this->replicas.at("app-1")->requests().size() == before);
}

// The draining is written at an offset that the gateway has read before the restart.
BOOST_FIXTURE_TEST_CASE(drainingAtAReassignedOffsetIsRead, Fixture)
{
    for (int write = 0; write < 6; ++write)
        this->putEndpoint("app-2");
    this->waitFor(propagationLimit);
    this->store.restartFromCopy(6);
    this->putEndpoint("app-1", "draining");
    for (int write = 0; write < 5; ++write)
        this->putEndpoint("app-2");
    this->waitFor(propagationLimit);
    const std::size_t before = this->replicas.at("app-1")->requests().size();
    for (int call = 0; call < 20; ++call)
        this->answer(*this->call("POST", "/book/x"), "served");
    BOOST_TEST(this->replicas.at("app-1")->requests().size() == before);
}

BOOST_FIXTURE_TEST_CASE(requestsAreServedThroughSeveralRestarts, Fixture)
{
    for (int restart = 0; restart < 3; ++restart) {
        this->store.setAway(true);
        this->waitFor(100ms);
        this->store.restartFromCopy(2);
        this->store.setAway(false);
        for (int call = 0; call < 5; ++call)
            BOOST_TEST(this->bookingsAreServed());
        this->putEndpoint("app-1");
        this->putEndpoint("app-2");
    }
}
