// Configuration over real processes when the log forgets. Property: an approved configuration is in force
// everywhere and never reverts.
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

    bool allFollow(std::uint64_t wanted)
    {
        for (std::uint32_t daemon = 0; daemon < 4; ++daemon) {
            if (this->revision(daemon) != wanted)
                return false;
        }
        return true;
    }

    /** \returns what a read of a stream answers */
    boost::json::value read(std::string_view stream)
    {
        return callJson(this->logAddress(), "GET", "/streams/" + std::string(stream) + "/records?from=0");
    }

    void forget(std::uint64_t before)
    {
        this->control(this->logAddress(), { { "truncateBefore", { { "stream", configurationStream }, { "offset", before } } } });
    }

    /** \returns whether a fresh reader would find a checkpoint that counts */
    bool holdsCheckpoint()
    {
        const boost::json::value oldest = this->read(configurationStream).at("oldest");
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

    std::set<std::string> reporters(std::uint64_t wanted)
    {
        std::set<std::string> daemons;
        const boost::json::value records = this->read(inForceStream).at("records");
        for (const boost::json::value& record : records.as_array()) {
            const auto parsed = parseConfigurationRecord(boost::json::value_to<std::string>(record.at("payload")));
            const auto* report = parsed ? std::get_if<InForceReport>(&*parsed) : nullptr;
            for (const RevisionInForce& taken : report ? report->taken : std::vector<RevisionInForce>()) {
                if (taken.revision == wanted)
                    daemons.insert(report->daemon.str());
            }
        }
        return daemons;
    }
};

}

BOOST_FIXTURE_TEST_CASE(freshDaemonFollowsALogThatForgotEveryChange, FourDaemons)
{
    BOOST_TEST_REQUIRE(this->startApproval("selam").wait() == 0);
    const std::uint64_t approved = 2;
    BOOST_TEST_REQUIRE(this->await([&] { return this->allFollow(approved); }));

    this->forget(approved + 1);
    BOOST_TEST_REQUIRE(this->await([&] { return this->holdsCheckpoint(); }));
    this->restartDaemon(2);

    BOOST_TEST(this->allFollow(approved));
}

BOOST_FIXTURE_TEST_CASE(everyDaemonReportsTheRevisionInTheLog, FourDaemons)
{
    BOOST_TEST_REQUIRE(this->startApproval("selam").wait() == 0);

    BOOST_TEST(this->await([&] { return this->reporters(2).size() == 4; }));
}
