#ifndef FILBERTSPOKE_CHAIN_H
#define FILBERTSPOKE_CHAIN_H

#include <filbertspoke/Core>

#include <compare>
#include <vector>

namespace filbertspoke {

/** \brief One stage of a pipeline: an engine and the whole layer range that it holds. */
struct ChainStage {
    EndpointId endpoint;
    LayerRange layers;

    auto operator<=>(const ChainStage&) const = default;
};

/** \brief Stages of a pipeline in layer order; each begins at the layer where the previous one ends. */
using Chain = std::vector<ChainStage>;

/** \returns whether the stages cover \a range exactly, without gap or overlap */
inline bool covers(const Chain& chain, const LayerRange& range)
{
    std::uint32_t boundary = range.first();
    for (const ChainStage& stage : chain) {
        if (stage.layers.first() != boundary || stage.layers.empty())
            return false;
        boundary = stage.layers.last();
    }
    return boundary == range.last();
}

}

#endif
