#ifndef FILBERTSPOKE_LOAD_REPORT_H
#define FILBERTSPOKE_LOAD_REPORT_H

#include "Identifier.h"

#include <compare>
#include <cstdint>

namespace filbertspoke {

/** \brief An endpoint's own word on its load; it lags behind what the endpoint does. */
struct LoadReport {
    std::uint32_t queued = 0; ///< steps or calls that wait
    std::uint32_t running = 0; ///< steps or calls in progress
    double tokensPerSecond = 0; ///< decoded tokens a second at full batch; 0 when unknown
    bool draining = false; ///< the endpoint takes no new work

    auto operator<=>(const LoadReport&) const = default;
};

}

#endif
