#ifndef FILBERTSPOKE_ENGINE_PROFILE_H
#define FILBERTSPOKE_ENGINE_PROFILE_H

#include <filbertspoke/Core>

#include <cstdint>
#include <map>

namespace filbertspoke {

/** \brief What one kind of accelerator holds, and how slow it is beside the reference. */
struct AcceleratorProfile {
    double memoryMegabytes = 0; ///< for layers and KV cache together
    double stepFactor = 1; ///< times the reference's step times
    double prefillFactor = 1; ///< times the reference's prefill times

    auto operator<=>(const AcceleratorProfile&) const = default;
};

/** \brief The model that a service's engines share, and what its work costs on the reference accelerator. */
struct EngineProfile {
    std::uint32_t layers = 0;
    double layerMegabytes = 0;
    double kvBytesPerToken = 0; ///< over all layers
    double activationBytes = 0; ///< handed on for each token between two engines
    double crossDomainMegabitsPerSecond = 0; ///< shared by all transfers between two failure domains
    double stepMs = 0; ///< one token through all layers, without other sequences
    double stepMsPerSequence = 0;
    double stepMsPerThousandContextTokens = 0; ///< for each sequence
    double prefillTokensPerMs = 1;
    double crossDomainDelayMs = 0; ///< one way
    std::uint32_t slots = 0; ///< requests at once that an engine takes as the first of a chain
    std::uint32_t tokensPerEvent = 1;
    double loadSeconds = 0; ///< to load all layers
    double usualPromptTokens = 0;
    double usualOutputTokens = 0;
    std::map<AcceleratorId, AcceleratorProfile> accelerators;

    auto operator<=>(const EngineProfile&) const = default;

    /** \returns the megabytes of KV cache that one token takes in each layer */
    double kvMegabytesPerTokenLayer() const { return this->layers ? this->kvBytesPerToken / this->layers / 1e6 : 0; }
};

}

#endif
