#ifndef FILBERTSPOKE_CHAIN_H
#define FILBERTSPOKE_CHAIN_H

#include <filbertspoke/Core>

#include <compare>
#include <vector>

namespace filbertspoke {

/** \brief One stage of a pipeline: an engine and the whole range of layers that it holds. */
struct ChainStage {
    EndpointId endpoint;
    LayerRange layers;

    auto operator<=>(const ChainStage&) const = default;
};

/** \brief Stages in order; each begins at the layer where the one before it ends. */
using Chain = std::vector<ChainStage>;

/** \returns whether the stages cover \a range exactly, with no gap and no overlap */
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
