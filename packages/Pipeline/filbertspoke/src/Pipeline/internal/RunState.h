#ifndef FILBERTSPOKE_RUN_STATE_H
#define FILBERTSPOKE_RUN_STATE_H

#include <filbertspoke/Pipeline>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace filbertspoke::internal {

/** \brief What a run remembers beside the state of its state machine. */
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

    /** \returns whether the answer comes from where the outstanding step went and names it */
    bool names(const EndpointId& from, const Step& echoed) const;
    /** \returns whether the answer echoes the outstanding step in full */
    bool echoes(const Step&) const;
    bool uses(const EndpointId&) const;

    void takeChain(const Chain&, RunOutputs&);
    /** \brief Gives out the first stage's step for every position that has no KV cache yet. */
    void sendFirstStage(RunOutputs&);
    void sendNextStage(std::string activations, RunOutputs&);
    void takeToken(std::string text, RunOutputs&);
    void dropOutstanding() { this->outstandingStep.reset(); }
    void releaseCaches(RunOutputs&);

private:
    void send(std::string input, RunOutputs&);
    /** \returns the tokens at the positions that the current pass runs, as a JSON array */
    std::string passInput() const;

    CompletionSpec completion;
    Chain stages;
    std::vector<std::string> tokens; ///< those that the caller has
    std::uint32_t generationNumber = 0;
    std::uint64_t nextSequence = 0;
    std::size_t stage = 0;
    std::uint32_t cachedPositions = 0; ///< positions whose KV cache every stage holds
    std::optional<StepDue> outstandingStep;
};

}

#endif
