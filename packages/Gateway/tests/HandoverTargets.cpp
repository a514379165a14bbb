// To which gateway a request is handed over.
#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

#include <set>
#include <vector>

using namespace filbertspoke;

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
        this->targets.note(peer(1), { handover(1), here, {} });
        this->targets.note(peer(2), { handover(2), here, {} });
        this->targets.note(peer(3), { handover(3), there, {} });
    }

    std::optional<SocketAddress> choose(double draw = 0) const { return this->targets.choose(service, this->reachable, this->tried, here, draw); }

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
    this->targets.note(peer(1), { handover(1), here, { service } });
    BOOST_TEST((this->choose(0) == handover(2)));
    this->targets.note(peer(2), { handover(2), here, { ServiceId("other"), service } });
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
