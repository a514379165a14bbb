#ifndef FILBERTSPOKE_INTERNAL_LAYER_POOL_H
#define FILBERTSPOKE_INTERNAL_LAYER_POOL_H

#include "../LayerPlacer.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace filbertspoke::internal {

// KV cache beside the layers of an engine that a placement aims for, in sequences of usual length.
constexpr double targetSequences = 80;
// KV cache in sequences of usual length below which an engine is of no use.
constexpr double minimumSequences = 8;
// KV cache in sequences of usual length below which a gap is left open, to be covered by chains through other failure domains.
constexpr double minimumRepairSequences = 20;

/** \brief Engines that together hold one or more copies of the model. */
using Pool = std::vector<PlaceableEngine>;

/** \brief Computes how many layers and how much KV cache fit on an engine. */
class LayerSizes {
public:
    explicit LayerSizes(const EngineProfile& profile)
        : layer(profile.layerMegabytes)
        , sequence((profile.usualPromptTokens + profile.usualOutputTokens) * profile.kvMegabytesPerTokenLayer())
    {
    }

    /** \returns the number of layers that fit on the engine beside KV cache for \a sequences */
    std::uint32_t fittingLayers(const PlaceableEngine& engine, double sequences) const
    {
        return static_cast<std::uint32_t>(engine.accelerator.memoryMegabytes / (this->layer + sequences * this->sequence));
    }

    /** \returns the number of layers that fit on the engine beside KV cache for \a sequences and beside the KV cache in use */
    std::uint32_t fittingLayersInUse(const PlaceableEngine& engine, double sequences) const
    {
        const double unused = std::max(0.0, engine.accelerator.memoryMegabytes - engine.usedMegabytes);
        return std::min(this->fittingLayers(engine, sequences), static_cast<std::uint32_t>(unused / this->layer));
    }

    /** \returns the number of sequences for which there is KV cache, given the memory for each layer and its KV cache */
    double sequences(double megabytesPerLayer) const { return (megabytesPerLayer - this->layer) / this->sequence; }

    /** \returns the megabytes of KV cache for each layer when the engine holds \a layers layers */
    double kvMegabytesPerLayer(const PlaceableEngine& engine, std::uint32_t layers) const
    {
        return layers == 0 ? 0 : engine.accelerator.memoryMegabytes / layers - this->layer;
    }

private:
    double layer; ///< megabytes of one layer
    double sequence; ///< megabytes of KV cache of a sequence of usual length in one layer
};

/** \returns whether \a a comes before \a b, by speed, then by memory, then by id */
bool isFaster(const PlaceableEngine& a, const PlaceableEngine& b);

/** \returns how many engines of the pool hold each layer */
std::vector<std::uint32_t> copiesByLayer(const Pool&, std::uint32_t layers);

/** \returns whether every layer of the engine has another holder
 * \param copies number of holders of each layer, including the engine */
bool isRedundant(const PlaceableEngine&, const std::vector<std::uint32_t>& copies);

/** \returns the maximal ranges of layers that no engine holds */
std::vector<LayerRange> gaps(const std::vector<std::uint32_t>& copies);

}

#endif
