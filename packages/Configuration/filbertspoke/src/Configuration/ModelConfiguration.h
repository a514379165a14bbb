#ifndef FILBERTSPOKE_MODEL_CONFIGURATION_H
#define FILBERTSPOKE_MODEL_CONFIGURATION_H

#include <filbertspoke/Core>

#include <compare>
#include <cstdint>
#include <string>

namespace filbertspoke {

/** \brief A model that callers may name. */
struct ModelConfiguration {
    ModelId id;
    std::string version;
    std::uint32_t layers = 0; ///< a pipeline covers [0, layers)
    std::uint32_t maximumTokens = 0; ///< the most tokens one request may ask for
    Duration deadline {}; ///< applies where the caller names none

    auto operator<=>(const ModelConfiguration&) const = default;
};

}

#endif
