#include <filbertspoke/Router>

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const DaemonIdentity identity { DaemonId("daemon-a"), FailureDomainId("riga-a"), 100, "127.0.0.1", 7000 };
const ListedDaemon peer { DaemonId("daemon-b"), FailureDomainId("riga-b"), "127.0.0.2", 7000 };
const PeerStatus peerStatus { peer.id, 50, 0, 0, false };
const EndpointId replica("replica-1");

Endpoint makeEndpoint()
{
    return Endpoint::Builder(replica)
        .host(HostId("h"))
        .address("127.0.0.9", 9000)
        .failureDomain(FailureDomainId("riga-a"))
        .role(ServiceRole { ServiceId("lot-registry") })
        .build();
}

template <typename Kind>
std::vector<Kind> actionsOf(const Actions& actions)
{
    std::vector<Kind> result;
    for (const Action& action : actions) {
        if (const auto* match = std::get_if<Kind>(&action))
            result.push_back(*match);
    }
    return result;
}

/** A router that knows one peer and one alive endpoint. */
struct Daemon {
    Daemon()
    {
        this->handle(HostsListed { { { peer, false }, { makeEndpoint(), false } } });
        this->handle(PeerMessageReceived { peer.id, PeerProbe { peerStatus, peer, 1, {} } });
        this->handle(EndpointReported { replica, {}, std::nullopt });
    }
    Actions handle(const Event& event) { return this->router.handle(event, this->now); }
    bool takesNewWork() const { return this->router.status().endpoints.at(0).takesNewWork; }

    Now now { TimePoint(1h), WallTime(1h) };
    Router router { identity, 1 };
};

}

BOOST_AUTO_TEST_CASE(listedEndpointIsWatchedAndTakesWorkAfterItsOwnWord)
{
    Router router(identity, 1);
    const Now now { TimePoint(1h), WallTime(1h) };
    const Actions listed = router.handle(HostsListed { { { makeEndpoint(), false } } }, now);
    BOOST_TEST((actionsOf<WatchEndpoint>(listed) == std::vector { WatchEndpoint { makeEndpoint() } }));
    BOOST_TEST(!router.status().endpoints.at(0).takesNewWork);
    router.handle(EndpointReported { replica, {}, std::nullopt }, now);
    BOOST_TEST(router.status().endpoints.at(0).takesNewWork);
}

BOOST_FIXTURE_TEST_CASE(signOfLeavingIsPassedOnAtOnce, Daemon)
{
    BOOST_TEST(this->takesNewWork());
    const Actions actions = this->handle(HostsListed { { { peer, false }, { makeEndpoint(), true } } });
    BOOST_TEST(!this->takesNewWork());
    const auto sent = actionsOf<SendToPeer>(actions);
    BOOST_REQUIRE(sent.size() == 1U);
    BOOST_TEST((sent.front().peer == peer));
    const std::vector<EndpointObservation> expected { { replica, EndpointSignal::ListedLeaving, 0s } };
    BOOST_TEST((std::get<PeerProbe>(sent.front().message).gossip.endpoints == expected));
}

BOOST_FIXTURE_TEST_CASE(peersWordEndsNewWork, Daemon)
{
    PeerProbe probe { peerStatus, peer, 2, {} };
    probe.gossip.endpoints.push_back({ replica, EndpointSignal::Draining, 10ms });
    const auto answers = actionsOf<SendToPeer>(this->handle(PeerMessageReceived { peer.id, probe }));
    BOOST_TEST(!this->takesNewWork());
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST(std::get<PeerProbeAnswer>(answers.front().message).sequence == 2U);
}

BOOST_FIXTURE_TEST_CASE(silentEndpointTakesNoNewWork, Daemon)
{
    this->handle(EndpointPollFailed { replica });
    BOOST_TEST(!this->takesNewWork());
    this->handle(EndpointReported { replica, {}, std::nullopt });
    BOOST_TEST(this->takesNewWork());
}

BOOST_FIXTURE_TEST_CASE(peerThatFallsSilentIsShownAsGone, Daemon)
{
    BOOST_TEST((this->router.status().peers == std::vector { PeerView { peer.id, "alive" } }));
    for (int second = 0; second < 10; ++second) {
        this->now = this->now.after(1s);
        this->handle(Tick {});
    }
    BOOST_TEST((this->router.status().peers == std::vector { PeerView { peer.id, "gone" } }));
}

BOOST_FIXTURE_TEST_CASE(peersAreToldOfAStop, Daemon)
{
    const Actions actions = this->handle(StopRequested {});
    const auto sent = actionsOf<SendToPeer>(actions);
    BOOST_REQUIRE(sent.size() == 1U);
    BOOST_TEST(std::get<PeerProbe>(sent.front().message).status.draining);
    BOOST_TEST(!this->router.status().ready);
    // The word to the peers leaves before the process ends.
    const auto position = [&](auto isMatch) { return std::find_if(actions.begin(), actions.end(), isMatch) - actions.begin(); };
    const auto told = position([](const Action& action) { return std::holds_alternative<SendToPeer>(action); });
    const auto stopped = position([](const Action& action) { return std::holds_alternative<StopProcess>(action); });
    BOOST_TEST(told < stopped);
    BOOST_TEST(stopped < static_cast<std::ptrdiff_t>(actions.size()));
}
