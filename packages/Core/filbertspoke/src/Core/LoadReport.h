#ifndef FILBERTSPOKE_LOAD_REPORT_H
#define FILBERTSPOKE_LOAD_REPORT_H

#include "Identifier.h"

#include <compare>
#include <cstdint>

namespace filbertspoke {

/** \brief The load that an endpoint reported; it lags behind the endpoint's actual load. */
struct LoadReport {
    std::uint32_t queued = 0; ///< steps or calls in the endpoint's queue
    std::uint32_t running = 0; ///< steps or calls in progress
    double tokensPerSecond = 0; ///< decode throughput at full batch size; 0 if unknown
    bool draining = false; ///< the endpoint takes no new work

    auto operator<=>(const LoadReport&) const = default;
};

}

#endif
