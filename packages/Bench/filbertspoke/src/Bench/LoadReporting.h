#ifndef FILBERTSPOKE_LOAD_REPORTING_H
#define FILBERTSPOKE_LOAD_REPORTING_H

#include <filbertspoke/Core>

#include <cstdint>
#include <string>
#include <vector>

namespace filbertspoke::bench {

/** \brief Steps at each engine, sampled at even times: one row for each engine. */
using LoadTrace = std::vector<std::vector<std::uint32_t>>;

constexpr Duration loadSampleInterval = std::chrono::milliseconds(50);

/** \brief What one way of reporting costs, and how far off the reported load is. */
struct ReportingCost {
    std::string way;
    double reportsPerSecond = 0; ///< of one engine
    double meanError = 0; ///< steps between the last report and the load, averaged over time
    double p95Error = 0;

    bool operator==(const ReportingCost&) const = default;
};

/** \brief Compares reports at even times with reports that are sent when the load has moved by more than
 * a tolerance, the "push with tolerance" of the CC-Buddy framework, and at least every ten seconds. */
std::vector<ReportingCost> compareReporting(const LoadTrace&);

}

#endif
