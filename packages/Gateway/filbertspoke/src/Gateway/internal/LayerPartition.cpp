#include "LayerPartition.h"
#include "StageTimes.h"

#include <algorithm>
#include <limits>

namespace filbertspoke::internal {

namespace {

// Maximum number of stages of a placement; lower than the length of the longest chain that engines accept.
constexpr std::size_t maximumStages = 24;

}

LayerPartition partitionEvenly(const LayerSizes& sizes, const Pool& engines, const LayerRange& layers)
{
    std::vector<std::uint32_t> counts(engines.size(), 0);
    for (std::uint32_t layer = 0; layer < layers.size() && !engines.empty(); ++layer) {
        std::size_t chosen = 0;
        for (std::size_t index = 1; index < engines.size(); ++index) {
            if (sizes.kvMegabytesPerLayer(engines[index], counts[index] + 1) > sizes.kvMegabytesPerLayer(engines[chosen], counts[chosen] + 1))
                chosen = index;
        }
        ++counts[chosen];
    }
    LayerPartition partition;
    std::uint32_t position = layers.first();
    for (std::size_t index = 0; index < engines.size(); ++index) {
        partition.push_back({ engines[index], LayerRange(position, position + counts[index]) });
        position += counts[index];
    }
    return partition;
}

double partitionCapacity(const EngineProfile& profile, const LayerPartition& partition)
{
    const LayerSizes sizes(profile);
    double sequences = profile.slots > 0 ? profile.slots : std::numeric_limits<double>::infinity();
    for (const PartitionStage& stage : partition) {
        if (!stage.layers.empty())
            sequences = std::min(sequences, sizes.sequences(stage.engine.accelerator.memoryMegabytes / stage.layers.size()));
    }
    return sequences;
}

double partitionThroughput(const EngineProfile& profile, const LayerPartition& partition, double sequences, std::size_t tail, double copies)
{
    const auto stages = static_cast<std::size_t>(std::count_if(partition.begin(), partition.end(), [](const PartitionStage& stage) { return !stage.layers.empty(); }));
    if (stages > maximumStages)
        return 0;
    double generationMs = 0;
    for (std::size_t index = 0; index < partition.size(); ++index) {
        const PartitionStage& stage = partition[index];
        if (stage.layers.empty())
            continue;
        StageCandidate candidate;
        candidate.accelerator = stage.engine.accelerator;
        candidate.sequences = sequences / (index < tail ? 1 : copies);
        const StageTimes times = stageTimes(profile, candidate, profile.usualPromptTokens, profile.usualOutputTokens, stage.layers.size());
        generationMs += times.prefillMs + hopOverheadMs + profile.usualOutputTokens * (times.stepMs + hopOverheadMs);
    }
    return sequences / generationMs;
}

}
