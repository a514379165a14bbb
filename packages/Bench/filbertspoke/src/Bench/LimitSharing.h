#ifndef FILBERTSPOKE_LIMIT_SHARING_H
#define FILBERTSPOKE_LIMIT_SHARING_H

#include <cstdint>
#include <string>
#include <vector>

namespace filbertspoke::bench {

/** \brief How much of one account's limit four daemons let pass together. */
struct LimitSharingResult {
    std::string demand; ///< where the requests go
    std::string links; ///< which daemons hear each other
    double offeredOverLimit = 0;
    double passedOverLimit = 0; ///< above 1: over-admission; below the lesser of 1 and offered: under-use
    double worstSecond = 0; ///< the most that passed in any second, over the limit

    bool operator==(const LimitSharingResult&) const = default;
};

/** \brief Offers an account's requests to four daemons in virtual time, connected and cut off. */
std::vector<LimitSharingResult> measureLimitSharing(std::uint64_t seed);

}

#endif
