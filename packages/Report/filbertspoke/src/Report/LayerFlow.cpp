#include <filbertspoke/Report>

#include <algorithm>

namespace filbertspoke::report {

namespace {

constexpr double precision = 0.02;
constexpr double roundingTolerance = 1e-9;

/** \returns whether the holders carry \a generations at once.
 *
 * Layer by layer, the holder that ends first is used first: what remains of the others is of use for more layers.
 * \param holders in the order of their last layers */
bool carries(const std::vector<LayerHolder>& holders, std::uint32_t layers, double generations)
{
    std::vector<double> room;
    room.reserve(holders.size());
    for (const LayerHolder& holder : holders)
        room.push_back(holder.room);
    for (std::uint32_t layer = 0; layer < layers; ++layer) {
        double missing = generations;
        for (std::size_t index = 0; index < holders.size() && missing > 0; ++index) {
            const LayerHolder& holder = holders[index];
            if (layer < holder.layers.first() || layer >= holder.layers.last())
                continue;
            const double used = std::min({ missing, room[index], layer == 0 ? holder.slots : missing });
            room[index] -= used;
            missing -= used;
        }
        if (missing > roundingTolerance * generations)
            return false;
    }
    return true;
}

/** \returns the number of generations that the holders of the first layer could start if they ran no other layer */
double startBound(const std::vector<LayerHolder>& holders)
{
    double bound = 0;
    for (const LayerHolder& holder : holders)
        bound += holder.layers.first() == 0 && !holder.layers.empty() ? std::min(holder.room, holder.slots) : 0;
    return bound;
}

}

double layerFlow(const std::vector<LayerHolder>& all, std::uint32_t layers)
{
    if (layers == 0)
        return 0;
    std::vector<LayerHolder> holders = all;
    std::stable_sort(holders.begin(), holders.end(), [](const LayerHolder& a, const LayerHolder& b) { return a.layers.last() < b.layers.last(); });
    double low = 0;
    double high = startBound(holders);
    if (carries(holders, layers, high))
        return high;
    while (high - low > precision) {
        const double middle = (low + high) / 2;
        (carries(holders, layers, middle) ? low : high) = middle;
    }
    // Below the precision of the search, no holder of some layer and hardly any room are the same.
    return low < precision ? 0 : low;
}

}
