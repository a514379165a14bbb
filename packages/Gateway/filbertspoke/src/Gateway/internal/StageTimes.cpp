#include "StageTimes.h"

#include <algorithm>

namespace filbertspoke::internal {

StageTimes stageTimes(const EngineProfile& profile, const StageCandidate& stage, double promptTokens, double outputTokens, std::uint32_t layers)
{
    const double share = static_cast<double>(layers) / profile.layers;
    const double contextThousands = (promptTokens + outputTokens / 2) / 1000;
    const double perSequence = profile.stepMsPerSequence + profile.stepMsPerThousandContextTokens * contextThousands;
    // Sequences are spread over the stages of their chains; this one's pass takes its part of them.
    const double batch = 1 + stage.sequences * share;
    const double pass = share * stage.accelerator.stepFactor * (profile.stepMs + perSequence * batch);
    const double waiting = std::min(1.0, stage.sequences * share) * pass / 2;
    const double prefill = share * stage.accelerator.prefillFactor * promptTokens / profile.prefillTokensPerMs;
    return { prefill + pass + waiting, pass + waiting };
}

}
