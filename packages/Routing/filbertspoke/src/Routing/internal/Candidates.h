#ifndef FILBERTSPOKE_CANDIDATES_H
#define FILBERTSPOKE_CANDIDATES_H

#include "EndpointGroup.h"

#include <filbertspoke/Core>

#include <cstddef>
#include <random>

namespace filbertspoke::internal {

/** \brief The cheapest endpoint found so far and its cost; the endpoint is null when none was usable. */
struct Candidate {
    const EndpointState* state = nullptr;
    double cost = 0;

    void replaceIfCheaper(const EndpointState& other, double otherCost)
    {
        if (this->state && this->cost <= otherCost)
            return;
        this->state = &other;
        this->cost = otherCost;
    }
};

/** \brief Updates \a best with up to \a sampleCount usable endpoints that follow a random position. */
template <typename Usable, typename Cost>
void sampleCandidates(const EndpointGroup::Members& members, std::size_t sampleCount, const Usable& usable, const Cost& cost,
    Random& random, Candidate& best)
{
    if (members.empty())
        return;
    const std::size_t offset = std::uniform_int_distribution<std::size_t>(0, members.size() - 1)(random);
    std::size_t sampled = 0;
    // Unusable endpoints do not count as samples, so that a usable endpoint is found if there is one.
    for (std::size_t step = 0; step < members.size() && sampled < sampleCount; ++step) {
        const std::size_t position = (offset + step) % members.size();
        const EndpointState& state = *members[position];
        if (!usable(state))
            continue;
        ++sampled;
        best.replaceIfCheaper(state, cost(state));
    }
}

/** \brief Samples endpoints inside and outside the local failure domain and takes the cheapest.
 *
 * Sampling avoids that all daemons with the same stale load report choose the same endpoint.
 * \returns the cheapest sampled endpoint; null state when no endpoint of the group is usable
 */
template <typename Usable, typename Cost>
Candidate sampleCheapest(const EndpointGroup& group, std::size_t samplesPerSide, const Usable& usable, const Cost& cost, Random& random)
{
    Candidate best;
    sampleCandidates(group.local(), samplesPerSide, usable, cost, random, best);
    sampleCandidates(group.remote(), samplesPerSide, usable, cost, random, best);
    return best;
}

}

#endif
