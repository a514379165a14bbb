#include <filbertspoke/Platform>
#include <filbertspoke/ProcessTesting>
#include <filbertspoke/StandIns>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <vector>

using namespace filbertspoke;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

/** \brief A PlatformClient connected to a simulated log in the same io_context; records the emitted events. */
struct PlatformClientFixture {
    PlatformClientFixture() { this->makeClient(); }

    void makeClient()
    {
        PlatformSettings settings;
        settings.log = this->log.address();
        settings.hostList = this->log.address();
        settings.minimumRetryDelay = 1ms;
        settings.maximumRetryDelay = 10ms;
        settings.hostListPeriod = 10ms;
        settings.appendTimeout = this->appendTimeout;
        this->client = std::make_unique<PlatformClient>(this->context, settings, [this](Event event) { this->events.push_back(std::move(event)); });
    }

    void appendRecord(const std::string& payload)
    {
        callJson(this->context, this->log.address(), "POST", "/streams/actions/records", { { "payloads", json::array { json::value(payload) } } });
    }

    void control(const json::value& command) { callJson(this->context, this->log.address(), "POST", "/control", command); }

    template <typename Wanted>
    std::vector<Wanted> eventsOf() const
    {
        std::vector<Wanted> found;
        for (const Event& event : this->events) {
            if (const auto* wanted = std::get_if<Wanted>(&event))
                found.push_back(*wanted);
        }
        return found;
    }

    std::vector<std::string> payloads() const
    {
        std::vector<std::string> read;
        for (const RecordsRead& batch : this->eventsOf<RecordsRead>()) {
            for (const LogRecord& record : batch.records)
                read.push_back(record.payload);
        }
        return read;
    }

    template <typename Wanted>
    bool waitFor(std::size_t count = 1)
    {
        return runUntil(this->context, [&] { return this->eventsOf<Wanted>().size() >= count; });
    }

    bool waitForPayloads(const std::vector<std::string>& wanted)
    {
        return runUntil(this->context, [&] { return this->payloads() == wanted; });
    }

    boost::asio::io_context context;
    LogStandIn log { this->context, { "127.0.0.1", 0 } };
    Duration appendTimeout = 30s;
    std::vector<Event> events;
    std::unique_ptr<PlatformClient> client;
};

}

BOOST_FIXTURE_TEST_CASE(recordsArriveOnceAndInOrder, PlatformClientFixture)
{
    this->appendRecord("a");
    this->client->carryOut(ReadRecords { "actions", 0 });
    BOOST_TEST(this->waitForPayloads({ "a" }));
    this->appendRecord("b");
    this->appendRecord("c");

    BOOST_TEST(this->waitForPayloads({ "a", "b", "c" }));
}

BOOST_FIXTURE_TEST_CASE(readWithoutNewRecordsIsAnsweredImmediately, PlatformClientFixture)
{
    this->appendRecord("a");
    this->client->carryOut(ReadRecords { "actions", 0 });
    BOOST_TEST(this->waitForPayloads({ "a" }));
    this->client->carryOut(ReadRecords { "actions", 2 });

    BOOST_TEST(this->waitFor<RecordsRead>(2));
    BOOST_TEST(this->eventsOf<RecordsRead>().back().records.empty());
    BOOST_TEST(this->eventsOf<RecordsRead>().back().next == 2U);
}

BOOST_FIXTURE_TEST_CASE(readFromTruncatedPositionContinuesAtOldestOffset, PlatformClientFixture)
{
    for (const char* payload : { "a", "b", "c" })
        this->appendRecord(payload);
    this->control({ { "truncateBefore", { { "stream", "actions" }, { "offset", 3 } } } });
    this->client->carryOut(ReadRecords { "actions", 1 });

    BOOST_TEST(this->waitForPayloads({ "c" }));
    BOOST_TEST(this->eventsOf<RecordsRead>().front().oldest == 3U);
    BOOST_TEST(this->eventsOf<RecordsRead>().front().records.empty());
}

BOOST_FIXTURE_TEST_CASE(readingResumesAfterOutage, PlatformClientFixture)
{
    this->client->carryOut(ReadRecords { "actions", 0 });
    this->control({ { "down", true } });
    BOOST_TEST(this->waitFor<ReadFailed>());
    this->control({ { "down", false } });
    this->appendRecord("a");

    BOOST_TEST(this->waitForPayloads({ "a" }));
}

BOOST_FIXTURE_TEST_CASE(appendReportsFirstOffset, PlatformClientFixture)
{
    this->client->carryOut(AppendRecords { 7, "actions", { "a", "b" } });
    this->client->carryOut(AppendRecords { 8, "actions", { "c" } });

    BOOST_TEST(this->waitFor<RecordsAppended>(2));
    BOOST_TEST((this->eventsOf<RecordsAppended>() == std::vector<RecordsAppended> { { 7, 1 }, { 8, 3 } }));
}

BOOST_FIXTURE_TEST_CASE(appendWithLostResponseIsReportedAsSentAndNotRetried, PlatformClientFixture)
{
    this->control({ { "loseNextAppendAnswers", 1 } });
    this->client->carryOut(AppendRecords { 1, "actions", { "a" } });

    BOOST_TEST(this->waitFor<AppendFailed>());
    BOOST_TEST((this->eventsOf<AppendFailed>().front() == AppendFailed { 1, true }));
    this->client->carryOut(ReadRecords { "actions", 0 });
    this->appendRecord("end");
    BOOST_TEST(this->waitForPayloads({ "a", "end" }));
}

BOOST_FIXTURE_TEST_CASE(rejectedAppendIsReportedAsNotSent, PlatformClientFixture)
{
    this->control({ { "rejectAppends", true } });
    this->client->carryOut(AppendRecords { 1, "actions", { "a" } });

    BOOST_TEST(this->waitFor<AppendFailed>());
    BOOST_TEST((this->eventsOf<AppendFailed>().front() == AppendFailed { 1, false }));
}

BOOST_FIXTURE_TEST_CASE(appendThatExpiresInQueueIsNotSent, PlatformClientFixture)
{
    this->control({ { "slowMs", 60'000 } });
    this->appendTimeout = 20ms;
    this->makeClient();
    this->client->carryOut(AppendRecords { 1, "actions", { "a" } });
    this->client->carryOut(AppendRecords { 2, "actions", { "b" } });

    BOOST_TEST(this->waitFor<AppendFailed>(2));
    const auto failed = this->eventsOf<AppendFailed>();
    BOOST_TEST((std::count(failed.begin(), failed.end(), AppendFailed { 1, true }) == 1));
    BOOST_TEST((std::count(failed.begin(), failed.end(), AppendFailed { 2, false }) == 1));
}

BOOST_FIXTURE_TEST_CASE(malformedHostListEntriesAreSkipped, PlatformClientFixture)
{
    const json::value engine { { "kind", "endpoint" }, { "id", "e1" }, { "host", "h1" }, { "address", "127.0.0.5" }, { "port", 9000 },
        { "failureDomain", "riga-a" }, { "accelerator", "fast" }, { "role", { { "model", "m" }, { "version", "1" }, { "layers", { 0, 4 } } } },
        { "checksFencing", true }, { "leaving", true } };
    const json::value daemon { { "kind", "daemon" }, { "id", "d1" }, { "failureDomain", "riga-b" }, { "address", "127.0.0.6" }, { "port", 9001 } };
    callJson(this->context, this->log.address(), "PUT", "/hosts", json::array { engine, { { "kind", "endpoint" } }, 3, daemon });
    this->client->start();

    BOOST_TEST(this->waitFor<HostsListed>());
    const auto hosts = this->eventsOf<HostsListed>().front().hosts;
    BOOST_TEST_REQUIRE(hosts.size() == 2U);
    const EngineRole role { ModelId("m"), "1", { 0, 4 } };
    BOOST_TEST((std::get<Endpoint>(hosts[0].member).role() == EndpointRole(role)));
    BOOST_TEST(std::get<Endpoint>(hosts[0].member).checksFencing());
    BOOST_TEST(hosts[0].leaving);
    BOOST_TEST((hosts[1] == ListedHost { ListedDaemon { DaemonId("d1"), FailureDomainId("riga-b"), "127.0.0.6", 9001 }, false }));
}
