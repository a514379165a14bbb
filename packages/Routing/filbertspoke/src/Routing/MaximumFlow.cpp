#include "MaximumFlow.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <queue>
#include <vector>

namespace filbertspoke {

namespace internal {

constexpr double negligibleFlow = 1e-9;

/** \brief Residual capacities between layer boundaries. */
using Residual = std::map<std::uint32_t, std::map<std::uint32_t, double>>;

/** \returns each boundary on a shortest way from \a source with the boundary before it */
std::map<std::uint32_t, std::uint32_t> shortestWay(Residual& residual, std::uint32_t source)
{
    std::map<std::uint32_t, std::uint32_t> previous { { source, source } };
    std::queue<std::uint32_t> open;
    open.push(source);
    while (!open.empty()) {
        const std::uint32_t boundary = open.front();
        open.pop();
        for (const auto& [next, capacity] : residual[boundary]) {
            if (capacity > negligibleFlow && previous.emplace(next, boundary).second)
                open.push(next);
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

    // Edmonds and Karp: shortest augmenting paths.
    double flow = 0;
    for (;;) {
        const auto previous = internal::shortestWay(residual, whole.first());
        if (whole.empty() || !previous.contains(whole.last()))
            return flow;
        double width = std::numeric_limits<double>::infinity();
        for (std::uint32_t at = whole.last(); at != whole.first(); at = previous.at(at))
            width = std::min(width, residual[previous.at(at)][at]);
        for (std::uint32_t at = whole.last(); at != whole.first(); at = previous.at(at)) {
            residual[previous.at(at)][at] -= width;
            residual[at][previous.at(at)] += width;
        }
        flow += width;
    }
}

}
