#ifndef FILBERTSPOKE_PIPELINE_RUN_H
#define FILBERTSPOKE_PIPELINE_RUN_H

#include "CompletionSpec.h"
#include "RunOutput.h"

#include <filbertspoke/Core>
#include <filbertspoke/Routing>

#include <cstdint>
#include <memory>
#include <optional>

namespace filbertspoke {

namespace internal {
struct RunMachine;
}

/** \brief Drives one completion through a chain of stages, token by token.
 *
 * At most one step is outstanding. A receipt is accepted only when it comes from the endpoint to
 * which the outstanding step was sent and echoes that step: request, generation, sequence, model,
 * version, layers and positions. The receipts for a token cover each layer of the model exactly
 * once and in order, because the chain does and no step is skipped.
 *
 * When a stage is lost, the run continues with a new chain in the next generation: the new chain
 * recomputes the KV cache from the prompt and the tokens produced so far, and then produces the
 * first token that the caller does not have.
 * \sa CompletionSpec, RunOutput
 */
class PipelineRun {
public:
    explicit PipelineRun(CompletionSpec);
    ~PipelineRun();
    PipelineRun(PipelineRun&&) noexcept;
    PipelineRun& operator=(PipelineRun&&) noexcept;

    /** \brief Starts the run, or continues it after ChainNeeded, with a chain that covers all layers of the model.
     * \returns the first step, after the caches to release at endpoints that the chain no longer uses */
    RunOutputs assign(const Chain&);

    /** \brief Handles the receipt of an engine.
     * \returns AnswerDropped when the receipt does not belong to the outstanding step, otherwise the outputs that follow from it */
    RunOutputs answered(const EndpointId& from, const StepReceipt&);

    /** \brief Handles the loss of an endpoint.
     * \returns ChainNeeded, or nothing when the run is not running on a chain that contains the endpoint */
    RunOutputs endpointLost(const EndpointId&);

    /** \brief Handles the failure of one step.
     * \returns ChainNeeded, or nothing when that step is not outstanding */
    RunOutputs stepFailed(const EndpointId& from, std::uint64_t sequence);

    /** \brief Ends the run.
     * \returns CacheReleased for each engine that may hold KV cache of the run */
    RunOutputs cancel();

    const CompletionSpec& spec() const;
    /** \returns the number of tokens that the caller has, including CompletionSpec::receivedTokens() */
    std::uint32_t tokenCount() const;
    /** \returns the number of times that the chain was replaced */
    std::uint32_t generation() const;
    /** \returns whether any step has been output */
    bool started() const;
    /** \returns the step whose receipt is awaited, with the endpoint to which it was sent */
    const std::optional<StepDue>& outstanding() const;
    /** \returns the current chain; empty before the first assign() */
    const Chain& chain() const;

private:
    std::unique_ptr<internal::RunMachine> machine;
};

}

#endif
