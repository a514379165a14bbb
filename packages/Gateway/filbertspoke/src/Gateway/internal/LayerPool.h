#ifndef FILBERTSPOKE_INTERNAL_LAYER_POOL_H
#define FILBERTSPOKE_INTERNAL_LAYER_POOL_H

#include "../LayerPlacer.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace filbertspoke::internal {

// Room for KV cache beside each layer that a placement aims for, in sequences of the usual length.
constexpr double wantedSequences = 80;
// The least such room with which an engine still helps.
constexpr double leastSequences = 8;
// Room below which a gap is better left to chains through other failure domains than filled.
constexpr double leastRepairSequences = 20;

/** \brief Engines that hold copies of the model between them. */
using Pool = std::vector<PlaceableEngine>;

/** \brief Sizes of layers and KV cache, in megabytes. */
class LayerSizes {
public:
    explicit LayerSizes(const EngineProfile& profile)
        : layer(profile.layerMegabytes)
        , sequence((profile.usualPromptTokens + profile.usualOutputTokens) * profile.kvMegabytesPerTokenLayer())
    {
    }

    /** \returns how many layers fit beside KV cache for \a sequences */
    std::uint32_t fitting(const PlaceableEngine& engine, double sequences) const
    {
        return static_cast<std::uint32_t>(engine.accelerator.memoryMegabytes / (this->layer + sequences * this->sequence));
    }

    /** \returns how many layers fit beside KV cache for \a sequences, and for what is in progress on the engine */
    std::uint32_t fittingInUse(const PlaceableEngine& engine, double sequences) const
    {
        const double unused = std::max(0.0, engine.accelerator.memoryMegabytes - engine.usedMegabytes);
        return std::min(this->fitting(engine, sequences), static_cast<std::uint32_t>(unused / this->layer));
    }

    /** \returns for how many sequences there is KV cache where so many megabytes stand behind each layer */
    double sequences(double megabytesPerLayer) const { return (megabytesPerLayer - this->layer) / this->sequence; }

    /** \returns the megabytes of KV cache for each of \a layers layers that the engine has room for */
    double room(const PlaceableEngine& engine, std::uint32_t layers) const
    {
        return layers == 0 ? 0 : engine.accelerator.memoryMegabytes / layers - this->layer;
    }

private:
    double layer;
    double sequence;
};

/** \returns whether \a a comes before \a b: the faster one, then the larger one */
bool isFaster(const PlaceableEngine& a, const PlaceableEngine& b);

/** \returns how many engines of the pool hold each layer */
std::vector<std::uint32_t> copiesByLayer(const Pool&, std::uint32_t layers);

/** \returns whether other engines hold every layer that the engine holds, by the copies of each layer */
bool isRedundant(const PlaceableEngine&, const std::vector<std::uint32_t>& copies);

/** \returns the runs of layers that no engine holds */
std::vector<LayerRange> gaps(const std::vector<std::uint32_t>& copies);

}

#endif
