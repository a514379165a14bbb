#ifndef FILBERTSPOKE_ACCOUNT_CONFIGURATION_H
#define FILBERTSPOKE_ACCOUNT_CONFIGURATION_H

#include <filbertspoke/Core>

#include <compare>
#include <cstdint>

namespace filbertspoke {

/** \brief Limits and weight of one client account. */
struct AccountConfiguration {
    AccountId id;
    double weight = 1; ///< share of the capacity under contention, relative to the weights of the other accounts
    double requestsPerSecond = 0; ///< rate limit over all daemons together; 0 means no limit
    std::uint32_t maximumConcurrent = 0; ///< limit on in-flight requests over all daemons together; 0 means no limit

    auto operator<=>(const AccountConfiguration&) const = default;
};

}

#endif
