#include "MaximumFlow.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <queue>
#include <vector>

namespace filbertspoke {

namespace internal {

constexpr double negligibleFlow = 1e-9; ///< tokens a second; smaller residuals are rounding errors

/** \brief Residual capacities between layer boundaries, in tokens a second. */
using Residual = std::map<std::uint32_t, std::map<std::uint32_t, double>>;

/** \returns each boundary that can be reached from \a source, with its predecessor on a shortest path */
std::map<std::uint32_t, std::uint32_t> shortestPaths(Residual& residual, std::uint32_t source)
{
    std::map<std::uint32_t, std::uint32_t> previous { { source, source } };
    std::queue<std::uint32_t> frontier;
    frontier.push(source);
    while (!frontier.empty()) {
        const std::uint32_t boundary = frontier.front();
        frontier.pop();
        for (const auto& [next, capacity] : residual[boundary]) {
            if (capacity > negligibleFlow && previous.emplace(next, boundary).second)
                frontier.push(next);
        }
    }
    return previous;
}

}

double maximumFlow(const RangeCapacities& capacities, const LayerRange& whole)
{
    internal::Residual residual;
    for (const auto& [range, capacity] : capacities) {
        if (!range.empty() && range.first() >= whole.first() && range.last() <= whole.last())
            residual[range.first()][range.last()] += capacity;
    }

    // Edmonds-Karp algorithm: augments along shortest paths.
    double flow = 0;
    for (;;) {
        const auto previous = internal::shortestPaths(residual, whole.first());
        if (whole.empty() || !previous.contains(whole.last()))
            return flow;
        double bottleneck = std::numeric_limits<double>::infinity();
        for (std::uint32_t boundary = whole.last(); boundary != whole.first(); boundary = previous.at(boundary))
            bottleneck = std::min(bottleneck, residual[previous.at(boundary)][boundary]);
        for (std::uint32_t boundary = whole.last(); boundary != whole.first(); boundary = previous.at(boundary)) {
            residual[previous.at(boundary)][boundary] -= bottleneck;
            residual[boundary][previous.at(boundary)] += bottleneck;
        }
        flow += bottleneck;
    }
}

}
