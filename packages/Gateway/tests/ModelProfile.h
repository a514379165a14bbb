#ifndef FILBERTSPOKE_MODEL_PROFILE_H
#define FILBERTSPOKE_MODEL_PROFILE_H

#include <filbertspoke/Gateway>

namespace filbertspoke::testing {

/** \returns the profile of a model with 80 layers on accelerators whose speeds differ by a factor of about ten */
inline EngineProfile modelProfile()
{
    EngineProfile profile;
    profile.layers = 80;
    profile.layerMegabytes = 1750;
    profile.kvBytesPerToken = 590'000;
    profile.activationBytes = 29'500;
    profile.crossDomainMegabitsPerSecond = 11'000;
    profile.stepMs = 0.85;
    profile.stepMsPerSequence = 0.00382;
    profile.stepMsPerThousandContextTokens = 0.00512;
    profile.prefillTokensPerMs = 196;
    profile.crossDomainDelayMs = 0.25;
    profile.slots = 192;
    profile.tokensPerEvent = 2;
    profile.loadSeconds = 14;
    profile.usualPromptTokens = 772;
    profile.usualOutputTokens = 174;
    profile.accelerators = {
        { AcceleratorId("large"), { 72'000, 1.4, 1 } },
        { AcceleratorId("middle"), { 36'000, 3.1, 3.2 } },
        { AcceleratorId("small"), { 21'600, 16, 8.2 } },
        { AcceleratorId("tiny"), { 14'400, 15, 15 } },
    };
    return profile;
}

/** \returns the profile of a grown site: the same layers with two thirds of the KV cache for each token and slower links */
inline EngineProfile grownModelProfile()
{
    EngineProfile profile = modelProfile();
    profile.kvBytesPerToken = 393'000;
    profile.activationBytes = 19'700;
    profile.crossDomainMegabitsPerSecond = 4'900;
    profile.stepMsPerSequence = 0.00255;
    profile.stepMsPerThousandContextTokens = 0.00341;
    profile.prefillTokensPerMs = 294;
    profile.tokensPerEvent = 3;
    return profile;
}

}

#endif
