#ifndef FILBERTSPOKE_INTERNAL_STAGE_TIMES_H
#define FILBERTSPOKE_INTERNAL_STAGE_TIMES_H

#include "../ChainPlanner.h"

#include <cstdint>

namespace filbertspoke::internal {

// Time to hand a token on to an engine in the same failure domain, beside the work itself.
constexpr double handOverMs = 0.3;

/** \brief What one engine of a chain adds to a generation, without the transfer. */
struct StageTimes {
    double prefillMs = 0;
    double stepMs = 0; ///< for each token, with the wait for the pass in progress
};

/** \returns the times on the engine with what it has in progress, for so many of its layers */
StageTimes stageTimes(const EngineProfile&, const StageCandidate&, double promptTokens, double outputTokens, std::uint32_t layers);

}

#endif
