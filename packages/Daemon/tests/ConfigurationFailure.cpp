// Changes the configuration of real processes. Checks that an approved configuration comes into force at every daemon and never
// reverts to an earlier one.
#include <filbertspoke/ClusterTesting>

#include <boost/json/object.hpp>
#include <boost/test/unit_test.hpp>

#include <string>

using namespace filbertspoke;

namespace {

std::uint64_t revision(Cluster& cluster, std::uint32_t daemon)
{
    const boost::json::value status = cluster.status(daemon);
    const auto* object = status.if_object();
    const auto* value = object != nullptr ? object->if_contains("configurationRevision") : nullptr;
    return value != nullptr && value->is_number() ? value->to_number<std::uint64_t>() : 0;
}

}

BOOST_FIXTURE_TEST_CASE(exactlyOneOfTwoConcurrentChangesIsAccepted, Cluster)
{
    const std::uint64_t before = revision(*this, 0);
    const std::string base = std::to_string(before);
    Process first = this->startApproval("selam", base);
    Process second = this->startApproval("yonas", base);
    const int codes[] = { first.wait(), second.wait() };

    BOOST_TEST((codes[0] == 0) != (codes[1] == 0));
    BOOST_TEST_REQUIRE(this->await([&] { return revision(*this, 0) > before && revision(*this, 1) == revision(*this, 0); }));
}

BOOST_FIXTURE_TEST_CASE(restartedDaemonGetsTheConfigurationWhileTheLogIsDown, Cluster)
{
    const std::uint64_t before = revision(*this, 0);
    BOOST_TEST_REQUIRE(this->startApproval("selam").wait() == 0);
    BOOST_TEST_REQUIRE(this->await([&] { return revision(*this, 0) > before && revision(*this, 1) == revision(*this, 0); }));
    this->control(this->logAddress(), { { "streamsDown", true } });
    this->restartDaemon(1);

    BOOST_TEST(revision(*this, 1) == revision(*this, 0));
}
