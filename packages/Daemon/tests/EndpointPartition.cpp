// Partitions gateways from all endpoints, while callers, the stores and the other gateways reach them, and checks from the callers' side that they are served.
#include <filbertspoke/PlatformTesting>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <ostream>
#include <string>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace filbertspoke {

std::ostream& operator<<(std::ostream& out, CallEnd end)
{
    static const char* const names[] = { "pending", "served", "refused", "unread", "broken off" };
    return out << names[static_cast<int>(end)];
}

}

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto warmUpTime = 2s;
constexpr auto partitionTime = 5s; ///< longer than a caller waits, so that no request is served by what was held up
// Requirement: from this time after the cut began, first tries at partitioned gateways are served nearly as often as elsewhere.
constexpr auto adjustmentTime = 1500ms;
constexpr double requiredRatio = 0.95;
// Attempts that the routes of the scene permit.
constexpr std::size_t permittedAttempts = 2;
// Requirement: the endpoint stops this soon after its caller left.
constexpr auto leavingLimit = 500ms;

struct Scene : PartitionScene {
    explicit Scene(const std::vector<std::string>& failureDomains, double retryRatio = 0.2)
        : PartitionScene(failureDomains, retryRatio)
    {
        // Connections to endpoints are open, retries are saved up, and the gateways know each other.
        this->awaitEnds(this->callAll(warmUpTime));
    }

    /** \brief Ends the gateways and reports what they wrote on some requests that were not served. */
    void reportUnserved(const std::vector<PlacedCall>& calls, const std::vector<std::size_t>& gateways)
    {
        constexpr std::size_t reported = 3;
        std::size_t count = 0;
        for (const PlacedCall& call : calls) {
            const bool concerned = std::find(gateways.begin(), gateways.end(), call.gateway) != gateways.end();
            if (concerned && call.end() != CallEnd::Served && count++ < reported)
                BOOST_TEST_MESSAGE(call.id << " " << call.path << " at gateway " << call.gateway << " is " << call.end() << ": " << call.caller->received() << "\n"
                                           << this->logOf(call.id));
        }
    }

    /** \brief Checks that no request was run more often than permitted or lost without an answer. */
    void checkEach(const std::vector<PlacedCall>& calls) const
    {
        for (const PlacedCall& call : calls) {
            const ArrivalCount arrivals = this->arrivals(call.id);
            const bool permitted = call.path.starts_with("/book/") ? arrivals.requests <= 1 : arrivals.endpoints <= permittedAttempts;
            BOOST_TEST(permitted, arrivals.requests << " arrivals of " << call.id << " " << call.path << " at gateway " << call.gateway);
            BOOST_TEST((call.end() != CallEnd::Unread && call.end() != CallEnd::Pending), call.id << " " << call.path << " at gateway " << call.gateway << " is " << call.end());
        }
    }

    void checkShare(const std::vector<PlacedCall>& calls, const std::vector<std::size_t>& partitioned, const std::vector<std::size_t>& others, Clock::time_point since) const
    {
        const ServedCount there = servedAt(calls, partitioned, since);
        const ServedCount elsewhere = servedAt(calls, others, since);
        const ServedCount before = servedAt(calls, partitioned, {});
        BOOST_TEST_MESSAGE("served " << before.served << " of " << before.sent << " at partitioned gateways in all");
        BOOST_TEST_MESSAGE("served " << there.served << " of " << there.sent << " at partitioned gateways, " << elsewhere.served << " of " << elsewhere.sent << " elsewhere");
        BOOST_TEST_REQUIRE(there.sent > 0U);
        BOOST_TEST_REQUIRE(elsewhere.sent > 0U);
        BOOST_TEST(elsewhere.share() >= requiredRatio, elsewhere.served << " of " << elsewhere.sent << " served elsewhere");
        BOOST_TEST(there.share() >= requiredRatio * elsewhere.share(), there.served << " of " << there.sent << " served at partitioned gateways");
    }

    /** \brief Partitions the gateways of the first failure domain while requests come. */
    void checkPartition(LinkState state, const std::vector<std::size_t>& partitioned, const std::vector<std::size_t>& others)
    {
        const auto begin = Clock::now();
        this->setLinks("zone-a", state);
        const std::vector<PlacedCall> calls = this->callAll(partitionTime);
        this->setLinks("zone-a", LinkState::Open);
        this->awaitEnds(calls);
        this->checkShare(calls, partitioned, others, begin + adjustmentTime);
        this->checkEach(calls);
        this->reportUnserved(calls, partitioned);
    }
};

struct SingleGateway : Scene {
    SingleGateway()
        : Scene({ "zone-a", "zone-b" })
    {
    }

    void check(LinkState state) { this->checkPartition(state, { 0 }, { 1 }); }

    /** \brief Lets the gateway open many connections to endpoints of the plain service, which stay open. */
    void openConnections(std::size_t gateway)
    {
        constexpr std::size_t connections = 30;
        std::vector<PlacedCall> calls;
        for (std::size_t connection = 0; connection < connections; ++connection)
            calls.push_back(this->call(gateway, "/book/x"));
        this->awaitEnds(calls);
    }
};

struct WholeDomain : Scene {
    WholeDomain()
        : Scene({ "zone-a", "zone-a", "zone-b" })
    {
    }

    void check(LinkState state) { this->checkPartition(state, { 0, 1 }, { 2 }); }
};

/** \brief Two gateways that can take requests from the first one. */
struct TwoHelpers : Scene {
    // Each request earns a retry, so that the budget refuses none of the streams that a gateway's end breaks at once.
    static constexpr double retriesPerRequest = 10;

    TwoHelpers()
        : Scene({ "zone-a", "zone-b", "zone-c" }, retriesPerRequest)
    {
    }

    /** \brief Partitions the first gateway until it hands requests over. */
    void partitionFirst()
    {
        this->setLinks("zone-a", LinkState::Reset);
        this->awaitEnds(this->callAll(adjustmentTime));
    }
};

}

BOOST_FIXTURE_TEST_CASE(firstTriesAreServedWhileConnectionsToEndpointsHang, SingleGateway)
{
    this->check(LinkState::Hanging);
}

BOOST_FIXTURE_TEST_CASE(firstTriesAreServedWhileConnectionsToEndpointsAreReset, SingleGateway)
{
    this->check(LinkState::Reset);
}

BOOST_FIXTURE_TEST_CASE(firstTriesAreServedWhileOnlyNewConnectionsToEndpointsAreRefused, SingleGateway)
{
    this->check(LinkState::RefusingNew);
}

BOOST_FIXTURE_TEST_CASE(firstTriesAreServedWhileNothingComesBackFromEndpoints, SingleGateway)
{
    this->check(LinkState::Unanswered);
}

BOOST_FIXTURE_TEST_CASE(firstTriesAreServedWhileConnectionsOfAWholeDomainHang, WholeDomain)
{
    this->check(LinkState::Hanging);
}

BOOST_FIXTURE_TEST_CASE(firstTriesAreServedWhileConnectionsOfAWholeDomainAreReset, WholeDomain)
{
    this->check(LinkState::Reset);
}

BOOST_FIXTURE_TEST_CASE(firstTriesAreServedWhileNewConnectionsOfAWholeDomainAreRefused, WholeDomain)
{
    this->check(LinkState::RefusingNew);
}

BOOST_FIXTURE_TEST_CASE(firstTriesAreServedWhileNothingComesBackToAWholeDomain, WholeDomain)
{
    this->check(LinkState::Unanswered);
}

// Guards against a gateway that waits for the deadlines of requests that must not be repeated before it finds out that its connections hang.
BOOST_FIXTURE_TEST_CASE(bookingsAreServedWhileOpenConnectionsHang, SingleGateway)
{
    this->openConnections(0);
    const auto begin = Clock::now();
    this->setLinks("zone-a", LinkState::Hanging);
    const std::vector<PlacedCall> calls = this->callAll(partitionTime, 100ms, { "/book/x" });
    this->awaitEnds(calls);
    this->checkShare(calls, { 0 }, { 1 }, begin + adjustmentTime);
    this->checkEach(calls);
    this->reportUnserved(calls, { 0 });
}

// The gateway that took the requests ends: its streams go on elsewhere, and bookings that may have run are not sent again.
BOOST_FIXTURE_TEST_CASE(requestsSurviveTheEndOfTheGatewayThatTookThem, TwoHelpers)
{
    this->partitionFirst();
    this->eventPause = 150ms;
    std::vector<PlacedCall> calls;
    constexpr std::size_t streams = 12;
    for (std::size_t stream = 0; stream < streams; ++stream)
        calls.push_back(this->call(0, "/chat/x"));
    BOOST_TEST(this->await([&calls] { return std::all_of(calls.begin(), calls.end(), [](const PlacedCall& call) { return call.caller->received().find("id: 2") != std::string::npos; }); }));
    this->kill(1);
    this->eventPause = 5ms;
    const std::vector<PlacedCall> later = this->callAll(1s);
    this->awaitEnds(calls);
    this->awaitEnds(later);
    BOOST_TEST(servedAt(calls, { 0 }, {}).served == streams);
    this->checkEach(calls);
    this->checkEach(later);
    this->checkShare(later, { 0 }, { 2 }, {});
    this->reportUnserved(calls, { 0 });
    this->reportUnserved(later, { 0, 2 });
}

// The gateway that took the requests stops without closing its connections.
BOOST_FIXTURE_TEST_CASE(firstTriesAreServedWhileAGatewayThatTakesRequestsIsFrozen, TwoHelpers)
{
    this->partitionFirst();
    const auto begin = Clock::now();
    this->gateways[1].process->signal(SIGSTOP);
    std::vector<PlacedCall> calls = this->callAll(partitionTime);
    std::erase_if(calls, [](const PlacedCall& call) { return call.gateway == 1; });
    this->awaitEnds(calls);
    this->gateways[1].process->signal(SIGCONT);
    this->checkShare(calls, { 0 }, { 2 }, begin + adjustmentTime);
    this->checkEach(calls);
}

// Guards against endpoints that go on with a generation whose caller has left the gateway that handed it over.
BOOST_FIXTURE_TEST_CASE(endpointsStopWhenACallerLeavesDuringAHandover, TwoHelpers)
{
    this->partitionFirst();
    this->eventPause = 50ms;
    this->eventsOfAStream = 40;
    const int before = this->abandoned();
    const PlacedCall call = this->call(0, "/chat/x");
    BOOST_TEST_REQUIRE(this->await([&call] { return call.caller->received().find("id: 1") != std::string::npos; }));
    call.caller->leave();
    const auto limit = Clock::now() + leavingLimit;
    BOOST_TEST(this->await([&] { return this->abandoned() > before || Clock::now() > limit; }));
    BOOST_TEST(this->abandoned() == before + 1);
}
