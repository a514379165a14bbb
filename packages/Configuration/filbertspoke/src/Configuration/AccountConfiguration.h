#ifndef FILBERTSPOKE_ACCOUNT_CONFIGURATION_H
#define FILBERTSPOKE_ACCOUNT_CONFIGURATION_H

#include <filbertspoke/Core>

#include <compare>
#include <cstdint>

namespace filbertspoke {

/** \brief What one client account may use. */
struct AccountConfiguration {
    AccountId id;
    double weight = 1; ///< share of the capacity under contention, relative to the other accounts
    double requestsPerSecond = 0; ///< limit over all daemons together; 0 for no limit
    std::uint32_t maximumConcurrent = 0; ///< requests in progress over all daemons; 0 for no limit

    auto operator<=>(const AccountConfiguration&) const = default;
};

}

#endif
