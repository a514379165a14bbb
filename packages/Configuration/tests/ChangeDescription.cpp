#include <filbertspoke/ConfigurationTesting>

#include <algorithm>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;
using namespace filbertspoke::testing;

namespace {

Configuration configurationOf(const std::string& answers)
{
    return generate(std::get<Questionnaire>(parseQuestionnaire(answers)));
}

bool contains(const std::vector<std::string>& sentences, const std::string& wanted)
{
    return std::find(sentences.begin(), sentences.end(), wanted) != sentences.end();
}

}

BOOST_AUTO_TEST_CASE(equalConfigurationsHaveNoDifference)
{
    const Configuration configuration = configurationOf(answersOf("bench", 1));

    BOOST_TEST(describeChange(&configuration, configuration).empty());
}

BOOST_AUTO_TEST_CASE(firstConfigurationIsDescribedCompletely)
{
    const std::vector<std::string> sentences = describeChange(nullptr, configurationOf(answersOf("bench", 2)));

    BOOST_TEST(contains(sentences, "Organisation changes from none to Gearwell Systems."));
    BOOST_TEST(contains(sentences, "Added. Client account bench-bench: share 2, requests a second no limit, requests at once no limit."));
    BOOST_TEST(contains(sentences, "Service bench-app, POST /bookings is added: runs at most once and needs a key."));
}

BOOST_AUTO_TEST_CASE(changedCallIsDescribedWithOldAndNewPolicy)
{
    const Configuration before = configurationOf(answersOf("bench", 1));
    std::string answers = answersOf("bench", 1);
    answers.replace(answers.find("mayBeRepeated: no"), 17, "mayBeRepeated: yes");

    const std::vector<std::string> sentences = describeChange(&before, configurationOf(answers));

    BOOST_TEST_REQUIRE(sentences.size() == 1u);
    BOOST_TEST(sentences[0] == "Service bench-app, POST /bookings now may be repeated after a failure; before, it runs at most once and needs a key.");
}

BOOST_AUTO_TEST_CASE(removedEntriesAreDescribed)
{
    const Configuration before = configurationOf(answersOf("bench", 1));

    const std::vector<std::string> sentences = describeChange(&before, configurationOf(answersOf("office", 1)));

    BOOST_TEST(contains(sentences, "Removed. Client account bench-bench: requests that name it are refused."));
    BOOST_TEST(contains(sentences, "Removed. Service bench-app: requests that name it are refused."));
}
