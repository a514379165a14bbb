#include "LayerLane.h"
#include "StageTimes.h"

#include <algorithm>
#include <limits>

namespace filbertspoke::internal {

namespace {

// Engines in one chain that a placement may lead to; the longest path that engines accept is somewhat longer.
constexpr std::size_t maximumStages = 24;

}

Lane spreadEvenly(const LayerSizes& sizes, const Pool& engines, const LayerRange& layers)
{
    std::vector<std::uint32_t> counts(engines.size(), 0);
    for (std::uint32_t layer = 0; layer < layers.size() && !engines.empty(); ++layer) {
        std::size_t roomiest = 0;
        for (std::size_t index = 1; index < engines.size(); ++index) {
            if (sizes.room(engines[index], counts[index] + 1) > sizes.room(engines[roomiest], counts[roomiest] + 1))
                roomiest = index;
        }
        ++counts[roomiest];
    }
    Lane lane;
    std::uint32_t position = layers.first();
    for (std::size_t index = 0; index < engines.size(); ++index) {
        lane.push_back({ engines[index], LayerRange(position, position + counts[index]) });
        position += counts[index];
    }
    return lane;
}

double laneSequences(const EngineProfile& profile, const Lane& lane)
{
    const LayerSizes sizes(profile);
    double sequences = profile.slots > 0 ? profile.slots : std::numeric_limits<double>::infinity();
    for (const LaneStage& stage : lane) {
        if (!stage.layers.empty())
            sequences = std::min(sequences, sizes.sequences(stage.engine.accelerator.memoryMegabytes / stage.layers.size()));
    }
    return sequences;
}

double laneThroughput(const EngineProfile& profile, const Lane& lane, double sequences, std::size_t tail, double copies)
{
    const auto stages = static_cast<std::size_t>(std::count_if(lane.begin(), lane.end(), [](const LaneStage& stage) { return !stage.layers.empty(); }));
    if (stages > maximumStages)
        return 0;
    double stayMs = 0;
    for (std::size_t index = 0; index < lane.size(); ++index) {
        const LaneStage& stage = lane[index];
        if (stage.layers.empty())
            continue;
        StageCandidate candidate;
        candidate.accelerator = stage.engine.accelerator;
        candidate.sequences = sequences / (index < tail ? 1 : copies);
        const StageTimes times = stageTimes(profile, candidate, profile.usualPromptTokens, profile.usualOutputTokens, stage.layers.size());
        stayMs += times.prefillMs + handOverMs + profile.usualOutputTokens * (times.stepMs + handOverMs);
    }
    return sequences / stayMs;
}

}
