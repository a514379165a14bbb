#include "Bound.h"

#include "FakeEngine.h"

namespace filbertspoke::bench {

namespace {

/** \returns answer tokens a second over decoded tokens a second: prompts take a part of the engine's time */
double answerPart()
{
    constexpr double steps = answerTokens; // the prompt's step gives the first token
    constexpr double work = (steps - 1) + promptTokens * FakeEngine::prefillWork;
    return answerTokens / (FakeEngine::fixedPart * steps + (1 - FakeEngine::fixedPart) * work);
}

}

double throughputBound(const Scenario& scenario, const std::function<bool(const EngineSpec&)>& counts)
{
    RangeCapacities capacities;
    for (const EngineSpec& engine : scenario.engines) {
        if (counts(engine))
            capacities[engine.layers] += engine.tokensPerSecond;
    }
    return maximumFlow(capacities, LayerRange(0, scenario.layers)) * answerPart();
}

}
