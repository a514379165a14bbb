#ifndef FILBERTSPOKE_PROPERTY_H
#define FILBERTSPOKE_PROPERTY_H

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cstdint>
#include <cstdlib>
#include <sstream>
#include <string>
#include <utility>

namespace filbertspoke::testing {

/** \returns the environment variable as a number, or \a fallback when it is not set */
inline std::uint64_t environmentNumber(const char* variable, std::uint64_t fallback)
{
    const char* text = std::getenv(variable);
    return text ? std::stoull(text) : fallback;
}

/** \brief Runs a rapidcheck property in the current Boost.Test case.
 *
 * The seed is fixed; FILBERTSPOKE_SEED and FILBERTSPOKE_CASES override the seed and the number of
 * cases. A failure prints the shrunk counterexample and the command that replays it.
 * \param defaultCases how many cases run where FILBERTSPOKE_CASES is not set
 */
template <typename Testable>
void checkProperty(Testable&& testable, int defaultCases = 200)
{
    constexpr std::uint64_t defaultSeed = 1;
    const auto& testCase = boost::unit_test::framework::current_test_case();

    rc::detail::TestMetadata metadata;
    metadata.id = testCase.full_name();
    metadata.description = testCase.p_name;
    rc::detail::TestParams parameters;
    parameters.seed = environmentNumber("FILBERTSPOKE_SEED", defaultSeed);
    parameters.maxSuccess = static_cast<int>(environmentNumber("FILBERTSPOKE_CASES", defaultCases));

    const auto result = rc::detail::checkTestable(std::forward<Testable>(testable), metadata, parameters);
    std::ostringstream report;
    rc::detail::printResultMessage(result, report);
    const bool passed = result.template is<rc::detail::SuccessResult>();
    BOOST_TEST(passed, report.str() << "\nreplay: FILBERTSPOKE_SEED=" << parameters.seed << " FILBERTSPOKE_CASES=" << parameters.maxSuccess << " " << boost::unit_test::framework::master_test_suite().argv[0] << " --run_test=" << testCase.p_name);
}

}

#endif
