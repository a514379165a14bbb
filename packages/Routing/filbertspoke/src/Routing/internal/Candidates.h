#ifndef FILBERTSPOKE_CANDIDATES_H
#define FILBERTSPOKE_CANDIDATES_H

#include "EndpointGroup.h"

#include <filbertspoke/Core>

#include <cstddef>
#include <random>

namespace filbertspoke::internal {

constexpr std::size_t candidatesPerGroup = 3; ///< looked at by one decision

/** \brief Takes the less loaded of a few endpoints drawn at random, or the first usable one of the group.
 *
 * Daemons with the same stale report would otherwise all choose the same endpoint.
 * \returns null when no endpoint of the group is usable
 */
template <typename Usable>
const EndpointState* leastLoaded(const EndpointGroup& group, const Usable& usable, Random& random)
{
    const EndpointState* best = nullptr;
    std::uniform_int_distribution<std::size_t> position(0, group.size() - 1);
    for (std::size_t drawn = 0; drawn < candidatesPerGroup; ++drawn) {
        const EndpointState& candidate = group[position(random)];
        if (usable(candidate) && (!best || candidate.expectedLoad() < best->expectedLoad()))
            best = &candidate;
    }
    if (best)
        return best;

    const std::size_t offset = position(random);
    for (std::size_t step = 0; step < group.size(); ++step) {
        const EndpointState& candidate = group[(offset + step) % group.size()];
        if (usable(candidate))
            return &candidate;
    }
    return nullptr;
}

}

#endif
