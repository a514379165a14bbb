#include "Result.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>

namespace filbertspoke::bench {

namespace {

constexpr double microsecondsInMillisecond = 1000;

double at(const std::vector<std::int64_t>& sorted, double quantile)
{
    const auto position = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1));
    return static_cast<double>(sorted[position]) / microsecondsInMillisecond;
}

/** \returns the value with two decimals, so that lines stay readable */
double rounded(double value) { return std::round(value * 100) / 100; }

boost::json::object toObject(const Quantiles& quantiles)
{
    return { { "p50", rounded(quantiles.p50) }, { "p95", rounded(quantiles.p95) }, { "p99", rounded(quantiles.p99) } };
}

boost::json::value optionalNumber(const std::optional<double>& number)
{
    return number ? boost::json::value(rounded(*number)) : boost::json::value(nullptr);
}

std::string optionalText(const std::optional<double>& number)
{
    if (!number)
        return "-";
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << *number;
    return text.str();
}

}

Quantiles quantiles(std::vector<std::int64_t> microseconds)
{
    if (microseconds.empty())
        return {};
    std::sort(microseconds.begin(), microseconds.end());
    return { at(microseconds, 0.50), at(microseconds, 0.95), at(microseconds, 0.99) };
}

std::string toJson(const Result& result)
{
    boost::json::object refusals;
    for (const auto& [kind, count] : result.refusals)
        refusals[kind] = count;
    return boost::json::serialize(boost::json::object {
        { "scenario", result.scenario },
        { "policy", name(result.policy) },
        { "seed", result.seed },
        { "offeredTokensPerSecond", rounded(result.offered) },
        { "boundTokensPerSecond", rounded(result.bound) },
        { "goodputTokensPerSecond", rounded(result.goodput) },
        { "goodputOverBound", rounded(result.goodput / result.bound) },
        { "firstTokenMs", toObject(result.firstToken) },
        { "tokenGapMs", toObject(result.gap) },
        { "recoverySeconds", optionalNumber(result.recoverySeconds) },
        { "nextTokenAfterLossP95Ms", optionalNumber(result.nextTokenP95) },
        { "completed", result.completed },
        { "unfinished", result.unfinished },
        { "wrong", result.wrong },
        { "refusals", refusals },
        { "fairness", rounded(result.fairness) } });
}

void writeTable(std::ostream& stream, const std::vector<Result>& results)
{
    stream << std::left << std::setw(20) << "scenario" << std::setw(17) << "policy" << std::right
           << std::setw(8) << "goodput" << std::setw(8) << "bound" << std::setw(7) << "part"
           << std::setw(9) << "first50" << std::setw(9) << "first95" << std::setw(9) << "first99"
           << std::setw(8) << "gap50" << std::setw(8) << "gap95" << std::setw(8) << "gap99"
           << std::setw(9) << "recov_s" << std::setw(9) << "next95" << std::setw(8) << "refused"
           << std::setw(6) << "fair" << '\n';
    for (const Result& result : results) {
        std::uint64_t refused = 0;
        for (const auto& [kind, count] : result.refusals)
            refused += count;
        stream << std::left << std::setw(20) << result.scenario << std::setw(17) << name(result.policy) << std::right << std::fixed
               << std::setprecision(0) << std::setw(8) << result.goodput << std::setw(8) << result.bound
               << std::setprecision(3) << std::setw(7) << result.goodput / result.bound
               << std::setprecision(1) << std::setw(9) << result.firstToken.p50 << std::setw(9) << result.firstToken.p95 << std::setw(9) << result.firstToken.p99
               << std::setw(8) << result.gap.p50 << std::setw(8) << result.gap.p95 << std::setw(8) << result.gap.p99
               << std::setw(9) << optionalText(result.recoverySeconds) << std::setw(9) << optionalText(result.nextTokenP95)
               << std::setw(8) << refused << std::setprecision(2) << std::setw(6) << result.fairness << '\n';
    }
}

}
