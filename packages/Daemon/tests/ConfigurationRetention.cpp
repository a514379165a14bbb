// Truncates the configuration log of real processes. Checks that an approved configuration stays in force at every daemon and never
// reverts to an earlier one.
#include <filbertspoke/ClusterTesting>
#include <filbertspoke/Configuration>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value_to.hpp>
#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

using namespace filbertspoke;

namespace {

struct FourDaemons : Cluster {
    FourDaemons()
        : Cluster([] {
            ClusterOptions options;
            options.daemons = 4;
            return options;
        }())
    {
    }

    std::uint64_t revision(std::uint32_t daemon)
    {
        const boost::json::value status = this->status(daemon);
        const auto* object = status.if_object();
        const auto* value = object != nullptr ? object->if_contains("configurationRevision") : nullptr;
        return value != nullptr && value->is_number() ? value->to_number<std::uint64_t>() : 0;
    }

    bool allHaveRevision(std::uint64_t expectedRevision)
    {
        for (std::uint32_t daemon = 0; daemon < 4; ++daemon) {
            if (this->revision(daemon) != expectedRevision)
                return false;
        }
        return true;
    }

    /** \returns the log's answer to a read of the whole stream */
    boost::json::value readRecords(std::string_view stream)
    {
        return callJson(this->logAddress(), "GET", "/streams/" + std::string(stream) + "/records?from=0");
    }

    void truncateBefore(std::uint64_t before)
    {
        this->control(this->logAddress(), { { "truncateBefore", { { "stream", configurationStream }, { "offset", before } } } });
    }

    /** \returns whether the log holds a checkpoint that covers all records truncated so far, so that a new reader can start from it */
    bool hasUsableCheckpoint()
    {
        const boost::json::value oldest = this->readRecords(configurationStream).at("oldest");
        const std::string target = "/streams/" + std::string(configurationStream) + "/records?from=" + std::to_string(oldest.to_number<std::uint64_t>());
        const boost::json::value records = callJson(this->logAddress(), "GET", target).at("records");
        for (const boost::json::value& record : records.as_array()) {
            const auto parsed = parseConfigurationRecord(boost::json::value_to<std::string>(record.at("payload")));
            const auto* checkpoint = parsed ? std::get_if<ConfigurationCheckpoint>(&*parsed) : nullptr;
            if (checkpoint && checkpoint->snapshot.next >= oldest.to_number<std::uint64_t>())
                return true;
        }
        return false;
    }

    std::set<std::string> reportingDaemons(std::uint64_t expectedRevision)
    {
        std::set<std::string> daemons;
        const boost::json::value records = this->readRecords(inForceStream).at("records");
        for (const boost::json::value& record : records.as_array()) {
            const auto parsed = parseConfigurationRecord(boost::json::value_to<std::string>(record.at("payload")));
            const auto* report = parsed ? std::get_if<InForceReport>(&*parsed) : nullptr;
            for (const RevisionInForce& taken : report ? report->taken : std::vector<RevisionInForce>()) {
                if (taken.revision == expectedRevision)
                    daemons.insert(report->daemon.str());
            }
        }
        return daemons;
    }
};

}

BOOST_FIXTURE_TEST_CASE(restartedDaemonRestoresFromACheckpointInATruncatedLog, FourDaemons)
{
    BOOST_TEST_REQUIRE(this->startApproval("selam").wait() == 0);
    const std::uint64_t approved = 2;
    BOOST_TEST_REQUIRE(this->await([&] { return this->allHaveRevision(approved); }));

    this->truncateBefore(approved + 1);
    BOOST_TEST_REQUIRE(this->await([&] { return this->hasUsableCheckpoint(); }));
    this->restartDaemon(2);

    BOOST_TEST(this->allHaveRevision(approved));
}

BOOST_FIXTURE_TEST_CASE(everyDaemonReportsItsRevisionToTheLog, FourDaemons)
{
    BOOST_TEST_REQUIRE(this->startApproval("selam").wait() == 0);

    BOOST_TEST(this->await([&] { return this->reportingDaemons(2).size() == 4; }));
}
