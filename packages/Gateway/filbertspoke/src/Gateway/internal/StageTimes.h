#ifndef FILBERTSPOKE_INTERNAL_STAGE_TIMES_H
#define FILBERTSPOKE_INTERNAL_STAGE_TIMES_H

#include "../ChainPlanner.h"

#include <cstdint>

namespace filbertspoke::internal {

// Overhead of passing a token on to the next engine in the same failure domain.
constexpr double hopOverheadMs = 0.3;

/** \brief Time that one engine adds to a generation, without the transfer to the next engine. */
struct StageTimes {
    double prefillMs = 0; ///< for the whole prompt, including the first step
    double stepMs = 0; ///< for each token, including the wait for the pass in progress
};

/** \returns the expected times on the engine at its current load, when it runs \a layers layers */
StageTimes stageTimes(const EngineProfile&, const StageCandidate&, double promptTokens, double outputTokens, std::uint32_t layers);

}

#endif
