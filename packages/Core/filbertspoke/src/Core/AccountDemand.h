#ifndef FILBERTSPOKE_ACCOUNT_DEMAND_H
#define FILBERTSPOKE_ACCOUNT_DEMAND_H

#include "Identifier.h"

#include <compare>
#include <cstdint>

namespace filbertspoke {

/** \brief What one client account asks of one daemon; daemons tell each other. */
struct AccountDemand {
    AccountId account;
    double requestsPerSecond = 0; ///< offered, admitted or not
    std::uint32_t inProgress = 0; ///< requests in progress and waiting

    auto operator<=>(const AccountDemand&) const = default;
};

}

#endif
