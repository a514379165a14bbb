#ifndef FILBERTSPOKE_RUN_OUTPUT_H
#define FILBERTSPOKE_RUN_OUTPUT_H

#include <filbertspoke/Core>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace filbertspoke {

/** \brief A step must be sent to an engine. */
struct StepDue {
    EndpointId endpoint;
    Step step;

    bool operator==(const StepDue&) const = default;
};

/** \brief The next token has been produced by all layers of the model. */
struct TokenReady {
    std::uint32_t index = 0; ///< zero-based position in the output, including the tokens received from an earlier run
    std::string text;

    bool operator==(const TokenReady&) const = default;
};

/** \brief All tokens have been produced. */
struct RunFinished {
    bool operator==(const RunFinished&) const = default;
};

/** \brief The run can't continue on its chain and waits for PipelineRun::assign() with another one. */
struct ChainNeeded {
    EndpointId lost; ///< the endpoint that failed
    bool exclude = false; ///< whether chains of this run must not use the endpoint again

    bool operator==(const ChainNeeded&) const = default;
};

/** \brief An engine may hold KV cache of the request that is no longer needed and can be freed. */
struct CacheReleased {
    EndpointId endpoint;

    bool operator==(const CacheReleased&) const = default;
};

/** \brief A receipt was ignored because it does not belong to the outstanding step: it was late, duplicate or from another endpoint. */
struct AnswerDropped {
    bool operator==(const AnswerDropped&) const = default;
};

using RunOutput = std::variant<StepDue, TokenReady, RunFinished, ChainNeeded, CacheReleased, AnswerDropped>;
using RunOutputs = std::vector<RunOutput>;

}

#endif
