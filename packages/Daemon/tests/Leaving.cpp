// Removes endpoints and stops daemons, as real processes. Checks that a leaving or draining endpoint receives no new requests, and that
// a graceful shutdown lets the requests in progress finish.
#include <filbertspoke/ClusterTesting>

#include <boost/json/object.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <string>

using namespace filbertspoke;

namespace {

bool takesNewWork(Cluster& cluster, std::uint32_t daemon, const std::string& id)
{
    const boost::json::value status = cluster.status(daemon);
    for (const boost::json::value& endpoint : status.at("endpoints").as_array()) {
        if (endpoint.at("id").as_string() == id)
            return endpoint.at("takesNewWork").as_bool();
    }
    return false;
}

void checkReceivesNoNewRequests(Cluster& cluster)
{
    for (const std::uint32_t daemon : { 0, 1 })
        BOOST_TEST_REQUIRE(cluster.await([&] { return !takesNewWork(cluster, daemon, "engine-1-0"); }));
    const std::size_t before = cluster.runs(cluster.engine(1, 0).address).size();
    for (int request = 0; request < 10; ++request) {
        const auto completion = cluster.complete(request % 2, 3);
        BOOST_TEST_REQUIRE(cluster.await([&] { return completion->done(); }));
        BOOST_TEST(readStream(completion->body()).whole, completion->body());
    }
    BOOST_TEST(cluster.runs(cluster.engine(1, 0).address).size() == before);
}

}

BOOST_FIXTURE_TEST_CASE(endpointListedAsLeavingReceivesNoNewRequests, Cluster)
{
    this->leave("engine-1-0");
    this->listHosts();

    checkReceivesNoNewRequests(*this);
}

BOOST_FIXTURE_TEST_CASE(drainingEndpointReceivesNoNewRequests, Cluster)
{
    this->control(this->engine(1, 0).address, { { "draining", true } });

    checkReceivesNoNewRequests(*this);
}

BOOST_FIXTURE_TEST_CASE(gracefulShutdownLetsAStreamFinish, Cluster)
{
    const auto completion = this->complete(0, 200);
    BOOST_TEST_REQUIRE(this->await([&] { return this->runs(this->engine(1, this->busiestReplica(1)).address).size() > 20; }));
    this->daemon(0).process.signal(SIGTERM);

    BOOST_TEST_REQUIRE(this->await([&] { return completion->done(); }));
    const StreamedCompletion streamed = readStream(completion->body());
    BOOST_TEST(streamed.whole);
    BOOST_TEST(streamed.tokens == this->reference(200), boost::test_tools::per_element());
    BOOST_TEST(this->daemon(0).process.wait() == 0);
}

BOOST_FIXTURE_TEST_CASE(gracefulShutdownLetsABookingFinish, Cluster)
{
    this->control(this->service(0).address, { { "delayMs", 500 } });
    const auto booking = this->call(0, "POST", "/bookings", "two hubs", newKey());
    BOOST_TEST_REQUIRE(this->await([&] { return this->runsWithBody("two hubs") == 1; }));
    this->daemon(0).process.signal(SIGTERM);

    BOOST_TEST_REQUIRE(this->await([&] { return booking->done(); }));
    BOOST_TEST(booking->status() == 201U);
    BOOST_TEST(this->daemon(0).process.wait() == 0);
}
