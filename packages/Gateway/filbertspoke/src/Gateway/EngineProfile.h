#ifndef FILBERTSPOKE_ENGINE_PROFILE_H
#define FILBERTSPOKE_ENGINE_PROFILE_H

#include <filbertspoke/Core>

#include <cstdint>
#include <map>

namespace filbertspoke {

/** \brief Memory of one kind of accelerator, and its speed relative to the reference accelerator. */
struct AcceleratorProfile {
    double memoryMegabytes = 0; ///< for layers and KV cache together
    double stepFactor = 1; ///< step time relative to the reference accelerator
    double prefillFactor = 1; ///< prefill time relative to the reference accelerator

    auto operator<=>(const AcceleratorProfile&) const = default;
};

/** \brief The model that the engines of a service run, with its timing on the reference accelerator. */
struct EngineProfile {
    std::uint32_t layers = 0; ///< of the whole model
    double layerMegabytes = 0;
    double kvBytesPerToken = 0; ///< over all layers
    double activationBytes = 0; ///< sent from one engine to the next for each token
    double crossDomainMegabitsPerSecond = 0; ///< shared by all transfers between two failure domains
    double stepMs = 0; ///< time for one token through all layers, without the parts for sequences and context
    double stepMsPerSequence = 0; ///< added for each sequence of the batch
    double stepMsPerThousandContextTokens = 0; ///< added for each sequence of the batch
    double prefillTokensPerMs = 1;
    double crossDomainDelayMs = 0; ///< one-way propagation delay between failure domains
    std::uint32_t slots = 0; ///< maximum number of concurrent requests on an engine that is the first of their chains; 0 for no limit
    std::uint32_t tokensPerEvent = 1;
    double loadSeconds = 0; ///< time to load all layers
    double usualPromptTokens = 0;
    double usualOutputTokens = 0;
    std::map<AcceleratorId, AcceleratorProfile> accelerators;

    auto operator<=>(const EngineProfile&) const = default;

    /** \returns the megabytes of KV cache for one token in one layer */
    double kvMegabytesPerTokenLayer() const { return this->layers ? this->kvBytesPerToken / this->layers / 1e6 : 0; }
};

}

#endif
