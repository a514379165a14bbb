#ifndef FILBERTSPOKE_BENCH_RESULT_H
#define FILBERTSPOKE_BENCH_RESULT_H

#include "Policy.h"

#include <cstdint>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace filbertspoke::bench {

/** \brief Quantiles in milliseconds. */
struct Quantiles {
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;

    bool operator==(const Quantiles&) const = default;
};

/** \returns the quantiles of samples in microseconds; zeros for none */
Quantiles quantiles(std::vector<std::int64_t> microseconds);

/** \brief What one trial showed. */
struct Result {
    std::string scenario;
    Policy policy {};
    std::uint64_t seed = 0;
    double offered = 0; ///< answer tokens a second, as all below
    double bound = 0; ///< of the engines that stand at the end
    double goodput = 0; ///< of requests that were completed
    Quantiles firstToken;
    Quantiles gap;
    std::optional<double> recoverySeconds; ///< until goodput is back at 90 % of what remains
    std::optional<double> nextTokenP95; ///< milliseconds from a stage's loss to the request's next token
    std::uint64_t completed = 0;
    std::uint64_t unfinished = 0; ///< neither complete nor refused when the trial ended
    std::uint64_t wrong = 0; ///< answers with a token twice or left out
    std::map<std::string, std::uint64_t> refusals; ///< by kind
    double fairness = 0; ///< the least of any account's goodput over its due

    bool operator==(const Result&) const = default;
};

/** \returns one line of JSON */
std::string toJson(const Result&);

/** \brief Writes a table with one row for each result. */
void writeTable(std::ostream&, const std::vector<Result>&);

}

#endif
