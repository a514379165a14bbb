#include <filbertspoke/Observability>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;

BOOST_AUTO_TEST_CASE(pageContainsCountersGaugesAndHistograms)
{
    Metrics metrics;
    metrics.count({ "completions_total", "complete" });
    metrics.count({ "completions_total", "complete" });
    metrics.count({ "generations_started_total", "2", "priority" });
    metrics.observeFirstToken(std::chrono::milliseconds(30));
    RouterStatus status;
    status.configurationRevision = 7;
    metrics.observeRetryBudget(ServiceId("s"), 2.5, 34);
    metrics.update(status);

    const std::string page = metrics.page();
    BOOST_TEST(page.find("filbertspoke_completions_total{kind=\"complete\"} 2") != std::string::npos);
    BOOST_TEST(page.find("filbertspoke_generations_started_total{priority=\"2\"} 1") != std::string::npos);
    BOOST_TEST(page.find("filbertspoke_configuration_revision 7") != std::string::npos);
    BOOST_TEST(page.find("filbertspoke_retries_saved{service=\"s\"} 2.5") != std::string::npos);
    BOOST_TEST(page.find("filbertspoke_retry_budget_gateways 34") != std::string::npos);
    BOOST_TEST(page.find("filbertspoke_first_token_seconds_bucket{le=\"0.04\"} 1") != std::string::npos);
}
