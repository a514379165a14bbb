#include "StageTimes.h"

#include <algorithm>

namespace filbertspoke::internal {

StageTimes stageTimes(const EngineProfile& profile, const StageCandidate& stage, double promptTokens, double outputTokens, std::uint32_t layers)
{
    const double share = static_cast<double>(layers) / profile.layers;
    const double contextThousands = (promptTokens + outputTokens / 2) / 1000;
    const double perSequence = profile.stepMsPerSequence + profile.stepMsPerThousandContextTokens * contextThousands;
    // A sequence is in only one stage of its chain at a time, so that a pass contains a share of the sequences.
    const double batch = 1 + stage.sequences * share;
    const double passMs = share * stage.accelerator.stepFactor * (profile.stepMs + perSequence * batch);
    const double waitMs = std::min(1.0, stage.sequences * share) * passMs / 2;
    const double prefillMs = share * stage.accelerator.prefillFactor * promptTokens / profile.prefillTokensPerMs;
    return { prefillMs + passMs + waitMs, passMs + waitMs };
}

}
