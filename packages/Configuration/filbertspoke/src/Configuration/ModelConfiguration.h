#ifndef FILBERTSPOKE_MODEL_CONFIGURATION_H
#define FILBERTSPOKE_MODEL_CONFIGURATION_H

#include <filbertspoke/Core>

#include <compare>
#include <cstdint>
#include <string>

namespace filbertspoke {

/** \brief A model that callers may request. */
struct ModelConfiguration {
    ModelId id;
    std::string version;
    std::uint32_t layers = 0; ///< number of layers; a pipeline covers the layers [0, layers)
    std::uint32_t maximumTokens = 0; ///< upper bound on the tokens that one request may ask for
    Duration deadline {}; ///< time limit of a request whose caller gives none

    auto operator<=>(const ModelConfiguration&) const = default;
};

}

#endif
