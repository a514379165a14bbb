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
 * At most one step is outstanding. An answer counts only when it comes from the endpoint that
 * the outstanding step went to and echoes that step: request, generation, sequence, model,
 * version, layers and positions. A token is ready when the chain's receipts for it cover the
 * model's layers in order, once each, which holds since the chain does and no step is skipped.
 *
 * A lost stage starts the next generation: the new chain computes the KV cache again from the
 * prompt and the tokens so far, and goes on with the first token that the caller doesn't have.
 * \sa CompletionSpec, RunOutput
 */
class PipelineRun {
public:
    explicit PipelineRun(CompletionSpec);
    ~PipelineRun();
    PipelineRun(PipelineRun&&) noexcept;
    PipelineRun& operator=(PipelineRun&&) noexcept;

    /** \brief Starts the run, or goes on after ChainNeeded, with a chain that covers the model. */
    RunOutputs assign(const Chain&);

    /** \brief Takes an engine's answer. */
    RunOutputs answered(const EndpointId& from, const StepReceipt&);

    /** \brief Takes the loss of an endpoint; no output when the run doesn't use it. */
    RunOutputs endpointLost(const EndpointId&);

    /** \brief Takes the failure of one step; no output when that step is not outstanding. */
    RunOutputs stepFailed(const EndpointId& from, std::uint64_t sequence);

    /** \brief Ends the run; engines that hold its KV cache are named in the output. */
    RunOutputs cancel();

    const CompletionSpec& spec() const;
    /** \returns how many tokens the caller has, those that it came with included */
    std::uint32_t tokenCount() const;
    /** \returns how often the chain was replaced */
    std::uint32_t generation() const;
    /** \returns whether a step was ever given out */
    bool started() const;
    /** \returns the step that waits for its answer, with the endpoint that it went to */
    const std::optional<StepDue>& outstanding() const;
    const Chain& chain() const;

private:
    std::unique_ptr<internal::RunMachine> machine;
};

}

#endif
