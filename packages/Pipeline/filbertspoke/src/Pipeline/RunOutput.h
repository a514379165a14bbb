#ifndef FILBERTSPOKE_RUN_OUTPUT_H
#define FILBERTSPOKE_RUN_OUTPUT_H

#include <filbertspoke/Core>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace filbertspoke {

/** \brief A step has to go to an engine. */
struct StepDue {
    EndpointId endpoint;
    Step step;

    bool operator==(const StepDue&) const = default;
};

/** \brief The next token is known: its receipts cover every layer once, in order. */
struct TokenReady {
    std::uint32_t index = 0; ///< counted from the caller's first token
    std::string text;

    bool operator==(const TokenReady&) const = default;
};

/** \brief Every token has been produced. */
struct RunFinished {
    bool operator==(const RunFinished&) const = default;
};

/** \brief The run can't go on with its chain; PipelineRun::assign() gives it another one. */
struct ChainNeeded {
    EndpointId lost; ///< the endpoint that failed the run
    bool exclude = false; ///< the endpoint is not to be planned for this run again

    bool operator==(const ChainNeeded&) const = default;
};

/** \brief An engine may hold KV cache of the request that is of no more use. */
struct CacheReleased {
    EndpointId endpoint;

    bool operator==(const CacheReleased&) const = default;
};

/** \brief An answer was not for the outstanding step: late, duplicate or crossed. */
struct AnswerDropped {
    bool operator==(const AnswerDropped&) const = default;
};

using RunOutput = std::variant<StepDue, TokenReady, RunFinished, ChainNeeded, CacheReleased, AnswerDropped>;
using RunOutputs = std::vector<RunOutput>;

}

#endif
