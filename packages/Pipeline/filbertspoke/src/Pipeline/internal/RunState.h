#ifndef FILBERTSPOKE_RUN_STATE_H
#define FILBERTSPOKE_RUN_STATE_H

#include <filbertspoke/Pipeline>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace filbertspoke::internal {

/** \brief Data of a run, on which the actions of its state machine operate. */
class RunState {
public:
    explicit RunState(CompletionSpec);

    const CompletionSpec& spec() const { return this->completion; }
    const Chain& chain() const { return this->stages; }
    std::uint32_t generation() const { return this->generationNumber; }
    std::uint32_t tokenCount() const { return static_cast<std::uint32_t>(this->tokens.size()); }
    bool started() const { return this->nextSequence > 0; }
    bool complete() const { return this->tokenCount() >= this->completion.maximumTokens(); }
    bool atLastStage() const { return this->stage + 1 == this->stages.size(); }
    const std::optional<StepDue>& outstanding() const { return this->outstandingStep; }

    /** \returns whether a receipt comes from the endpoint of the outstanding step and echoes its request, generation and sequence */
    bool matchesOutstanding(const EndpointId& from, const Step& echoed) const;
    /** \returns whether a receipt, for which matchesOutstanding() holds, also echoes the step's model, version, layers and positions */
    bool matchesAssignment(const Step&) const;
    /** \returns whether the current chain contains the endpoint */
    bool usesEndpoint(const EndpointId&) const;

    /** \brief Switches to the chain, in a new generation unless it is the first one, and releases the caches of endpoints that
     * it does not use. */
    void replaceChain(const Chain&, RunOutputs&);
    /** \brief Outputs the step of the first stage, for all positions without KV cache. */
    void sendFirstStage(RunOutputs&);
    /** \brief Outputs the step of the next stage, with the previous stage's output as input. */
    void sendNextStage(std::string activations, RunOutputs&);
    /** \brief Appends a produced token and outputs it. */
    void appendToken(std::string text, RunOutputs&);
    void clearOutstanding() { this->outstandingStep.reset(); }
    /** \brief Outputs CacheReleased for each endpoint of the chain, if any step was output. */
    void releaseCaches(RunOutputs&);

private:
    void send(std::string input, RunOutputs&);
    /** \returns the tokens at all positions without KV cache, as a JSON array */
    std::string passInput() const;

    CompletionSpec completion;
    Chain stages;
    std::vector<std::string> tokens; ///< tokens that the caller has
    std::uint32_t generationNumber = 0;
    std::uint64_t nextSequence = 0;
    std::size_t stage = 0; ///< index of the stage that runs the outstanding step
    std::uint32_t cachedPositions = 0; ///< number of positions for which all stages hold KV cache
    std::optional<StepDue> outstandingStep;
};

}

#endif
