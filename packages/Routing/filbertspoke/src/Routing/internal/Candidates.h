#ifndef FILBERTSPOKE_CANDIDATES_H
#define FILBERTSPOKE_CANDIDATES_H

#include "EndpointGroup.h"

#include <filbertspoke/Core>

#include <cstddef>
#include <random>

namespace filbertspoke::internal {

/** \brief An endpoint with what it costs; without one, no endpoint was usable. */
struct Candidate {
    const EndpointState* state = nullptr;
    double cost = 0;

    void offer(const EndpointState& other, double otherCost)
    {
        if (this->state && this->cost <= otherCost)
            return;
        this->state = &other;
        this->cost = otherCost;
    }
};

/** \brief Takes the cheapest of \a draws endpoints drawn at random, all of them when there are no more. */
template <typename Usable, typename Cost>
void drawCandidates(const EndpointGroup::Members& members, std::size_t draws, const Usable& usable, const Cost& cost,
    Random& random, Candidate& best)
{
    if (members.empty())
        return;
    const std::size_t offset = std::uniform_int_distribution<std::size_t>(0, members.size() - 1)(random);
    std::size_t drawn = 0;
    // Unusable endpoints are stepped over, so that one usable endpoint is always found.
    for (std::size_t step = 0; step < members.size() && drawn < draws; ++step) {
        const std::size_t position = (offset + step) % members.size();
        const EndpointState& state = *members[position];
        if (!usable(state))
            continue;
        ++drawn;
        best.offer(state, cost(state));
    }
}

/** \brief Takes the cheapest of a few endpoints drawn at random from each side of the group.
 *
 * Daemons with the same stale report would otherwise all choose the same endpoint.
 * \returns no state when no endpoint of the group is usable
 */
template <typename Usable, typename Cost>
Candidate cheapest(const EndpointGroup& group, std::size_t drawsPerSide, const Usable& usable, const Cost& cost, Random& random)
{
    Candidate best;
    drawCandidates(group.local(), drawsPerSide, usable, cost, random, best);
    drawCandidates(group.remote(), drawsPerSide, usable, cost, random, best);
    return best;
}

}

#endif
