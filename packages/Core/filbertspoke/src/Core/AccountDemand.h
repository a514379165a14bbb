#ifndef FILBERTSPOKE_ACCOUNT_DEMAND_H
#define FILBERTSPOKE_ACCOUNT_DEMAND_H

#include "Identifier.h"

#include <compare>
#include <cstdint>

namespace filbertspoke {

/** \brief The demand of one client account at one daemon; daemons exchange it. */
struct AccountDemand {
    AccountId account;
    double requestsPerSecond = 0; ///< arrival rate, whether admitted or not
    std::uint32_t inProgress = 0; ///< running and queued requests

    auto operator<=>(const AccountDemand&) const = default;
};

}

#endif
