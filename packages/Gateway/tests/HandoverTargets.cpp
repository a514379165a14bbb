// To which gateway a request is handed over.
#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

#include <set>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const ServiceId service("s");
const FailureDomainId here("here");
const FailureDomainId there("there");

SocketAddress peer(std::uint16_t number)
{
    return { "10.0.0.1", number };
}

SocketAddress handover(std::uint16_t number)
{
    return { "10.0.0.1", static_cast<std::uint16_t>(1000 + number) };
}

struct Fixture {
    Fixture()
    {
        this->targets.note(peer(1), { handover(1), here, {} }, this->now);
        this->targets.note(peer(2), { handover(2), here, {} }, this->now);
        this->targets.note(peer(3), { handover(3), there, {} }, this->now);
    }

    std::optional<SocketAddress> choose(double draw = 0) const { return this->targets.choose(service, this->reachable, this->tried, here, draw, this->now); }

    TimePoint now { 100s };
    HandoverTargets targets;
    std::vector<PeerAddress> reachable { { peer(1), here }, { peer(2), here }, { peer(3), there }, { peer(4), here } };
    std::set<SocketAddress> tried;
};

}

BOOST_FIXTURE_TEST_CASE(gatewaysOfTheOwnDomainShareTheRequests, Fixture)
{
    BOOST_TEST((this->choose(0) == handover(1)));
    BOOST_TEST((this->choose(0.99) == handover(2)));
}

BOOST_FIXTURE_TEST_CASE(gatewayThatIsCutOffItselfGetsNone, Fixture)
{
    this->targets.note(peer(1), { handover(1), here, { service } }, this->now);
    BOOST_TEST((this->choose(0) == handover(2)));
    this->targets.note(peer(2), { handover(2), here, { ServiceId("other"), service } }, this->now);
    BOOST_TEST((this->choose(0) == handover(3)));
}

BOOST_FIXTURE_TEST_CASE(gatewayThatDidNotTakeTheRequestIsNotTriedAgain, Fixture)
{
    this->tried = { handover(1), handover(2) };
    BOOST_TEST((this->choose(0) == handover(3)));
    this->tried.insert(handover(3));
    BOOST_TEST(!this->choose(0).has_value());
}

BOOST_FIXTURE_TEST_CASE(gatewayThatDoesNotRespondGetsNone, Fixture)
{
    this->reachable = { { peer(3), there } };
    BOOST_TEST((this->choose(0) == handover(3)));
    this->reachable.clear();
    BOOST_TEST(!this->choose(0).has_value());
}

// Guards against handing request after request to gateways that decline them.
BOOST_FIXTURE_TEST_CASE(gatewayThatDeclinedIsLeftOutForASecond, Fixture)
{
    this->targets.noteDeclined(handover(1), service, this->now);
    this->now += 999ms;
    BOOST_TEST((this->choose(0) == handover(2)));
    BOOST_TEST((this->targets.choose(ServiceId("other"), this->reachable, {}, here, 0, this->now) == handover(1)));
    this->now += 1ms;
    BOOST_TEST((this->choose(0) == handover(1)));
}

// Guards against a gateway that stays left out because of a message of long ago, as most gateways of a domain exchange messages every few seconds only.
BOOST_FIXTURE_TEST_CASE(gatewayThatSaidItIsCutOffIsLeftOutForASecond, Fixture)
{
    this->targets.note(peer(1), { handover(1), here, { service } }, this->now);
    this->now += 999ms;
    BOOST_TEST((this->choose(0) == handover(2)));
    this->now += 1ms;
    BOOST_TEST((this->choose(0) == handover(1)));
}

BOOST_FIXTURE_TEST_CASE(gatewayThatSaysItReachesEndpointsAgainIsTriedAtOnce, Fixture)
{
    this->targets.noteDeclined(handover(1), service, this->now);
    this->targets.note(peer(1), { handover(1), here, {} }, this->now + 200ms);
    BOOST_TEST((this->choose(0) == handover(1)));
}

// Load pattern: a failure domain is cut off from engines, and all its gateways hand over at once.
// Guards against requests that are declined by one gateway of the own failure domain after the other.
BOOST_FIXTURE_TEST_CASE(otherDomainsComeFirstWhileSeveralGatewaysOfTheOwnOneAreCutOff, Fixture)
{
    this->targets.note(peer(4), { handover(4), here, {} }, this->now);
    this->targets.note(peer(5), { handover(5), here, {} }, this->now);
    this->reachable.push_back({ peer(5), here });
    this->targets.noteDeclined(handover(1), service, this->now);
    BOOST_TEST((this->choose(0) == handover(2)));
    this->targets.noteDeclined(handover(2), service, this->now);
    BOOST_TEST((this->choose(0) == handover(3)));
    this->targets.noteDeclined(handover(3), service, this->now);
    BOOST_TEST((this->choose(0) == handover(4)));
    this->now += 1s;
    BOOST_TEST((this->choose(0) == handover(1)));
}

// Guards against spending both handovers of a request on the failure domain that is cut off.
BOOST_FIXTURE_TEST_CASE(requestThatAGatewayOfTheOwnDomainDeclinedGoesToAnotherDomain, Fixture)
{
    this->targets.noteDeclined(handover(1), service, this->now);
    this->tried = { handover(1) };
    BOOST_TEST((this->choose(0) == handover(3)));
}

// Load pattern: all gateways of a failure domain that is cut off hand a request over each 20 ms.
// Guards against declined requests that grow with the load instead of the number of gateways.
BOOST_AUTO_TEST_CASE(gatewaysOfADomainThatIsCutOffDeclineFewRequests)
{
    constexpr std::uint16_t gatewaysOfDomain = 12;
    HandoverTargets targets;
    std::vector<PeerAddress> reachable;
    TimePoint now { 100s };
    for (std::uint16_t number = 1; number <= 2 * gatewaysOfDomain; ++number) {
        const FailureDomainId& domain = number <= gatewaysOfDomain ? here : there;
        targets.note(peer(number), { handover(number), domain, {} }, now);
        reachable.push_back({ peer(number), domain });
    }
    int declined = 0;
    int refused = 0;
    for (int request = 0; request < 200; ++request, now += 20ms) {
        std::set<SocketAddress> tried;
        std::size_t declines = 0;
        while (!endsHandovers(declines, true)) {
            const auto target = targets.choose(service, reachable, tried, here, request * 0.37 - static_cast<int>(request * 0.37), now);
            if (!target || target->port > 1000 + gatewaysOfDomain)
                break;
            ++declines;
            tried.insert(*target);
            targets.noteDeclined(*target, service, now);
        }
        declined += static_cast<int>(declines);
        refused += endsHandovers(declines, true) ? 1 : 0;
    }
    // Two in each of the four seconds.
    BOOST_TEST(declined <= 8);
    BOOST_TEST(refused == 0);
}

// Guards against a refusal that promises what is not known.
BOOST_AUTO_TEST_CASE(requestIsLeftToItsCallerAfterTwoDeclinedHandoversIfItHasNotRun)
{
    BOOST_TEST(!endsHandovers(1, true));
    BOOST_TEST(endsHandovers(2, true));
    BOOST_TEST(!endsHandovers(2, false));
}

// Guards against taking an endpoint's own refusal, or another one of the gateway, for a gateway that is cut off.
BOOST_AUTO_TEST_CASE(onlyTheGatewaysOwnMisdirectedStatusDeclinesAHandover)
{
    BOOST_TEST(declinesHandover(421, false));
    BOOST_TEST(!declinesHandover(421, true));
    BOOST_TEST(!declinesHandover(503, false));
    BOOST_TEST(!declinesHandover(404, false));
}
