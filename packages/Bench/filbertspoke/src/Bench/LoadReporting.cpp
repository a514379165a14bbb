#include "LoadReporting.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace filbertspoke::bench {

namespace {

constexpr double secondsPerSample = std::chrono::duration<double>(loadSampleInterval).count();
constexpr std::size_t longestSilence = 200; ///< samples: ten seconds

/** \returns whether a report is due, given the last reported load, the load, and the samples since */
using IsDue = std::function<bool(double reported, double load, std::size_t samples)>;

ReportingCost measure(std::string way, const LoadTrace& trace, const IsDue& isDue)
{
    std::vector<double> errors;
    std::size_t reports = 0;
    for (const std::vector<std::uint32_t>& loads : trace) {
        double reported = loads.empty() ? 0 : loads.front();
        std::size_t since = 0;
        for (const std::uint32_t load : loads) {
            if (isDue(reported, load, since)) {
                reported = load;
                since = 0;
                ++reports;
            }
            ++since;
            errors.push_back(std::abs(reported - load));
        }
    }
    if (errors.empty())
        return { std::move(way), 0, 0, 0 };
    double sum = 0;
    for (const double error : errors)
        sum += error;
    std::sort(errors.begin(), errors.end());
    const auto samples = static_cast<double>(errors.size());
    const auto p95 = static_cast<std::size_t>(0.95 * (samples - 1));
    return { std::move(way), static_cast<double>(reports) / samples / secondsPerSample, sum / samples, errors[p95] };
}

}

std::vector<ReportingCost> compareReporting(const LoadTrace& trace)
{
    std::vector<ReportingCost> costs;
    for (const std::size_t period : { 2, 10, 20, 40, 100, 200 }) {
        const std::string way = "every " + std::to_string(static_cast<int>(static_cast<double>(period) * secondsPerSample * 1000)) + " ms";
        costs.push_back(measure(way, trace, [period](double, double, std::size_t samples) { return samples >= period; }));
    }
    for (const int tolerance : { 1, 2, 4, 6, 8, 12 }) {
        const std::string way = "beyond " + std::to_string(tolerance) + " steps";
        costs.push_back(measure(way, trace, [tolerance](double reported, double load, std::size_t samples) {
            return std::abs(load - reported) > tolerance || samples >= longestSilence;
        }));
    }
    return costs;
}

}
