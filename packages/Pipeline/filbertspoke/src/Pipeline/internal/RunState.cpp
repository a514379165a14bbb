#include "RunState.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace filbertspoke::internal {

RunState::RunState(CompletionSpec spec)
    : completion(std::move(spec))
    , tokens(this->completion.receivedTokens())
{
}

bool RunState::matchesOutstanding(const EndpointId& from, const Step& echoed) const
{
    if (!this->outstandingStep || this->outstandingStep->endpoint != from)
        return false;
    const Step& step = this->outstandingStep->step;
    return step.request() == echoed.request() && step.generation() == echoed.generation() && step.sequence() == echoed.sequence();
}

bool RunState::matchesAssignment(const Step& echoed) const
{
    const Step& step = this->outstandingStep->step;
    return step.model() == echoed.model() && step.version() == echoed.version() && step.layers() == echoed.layers()
        && step.position() == echoed.position() && step.count() == echoed.count();
}

bool RunState::usesEndpoint(const EndpointId& endpoint) const
{
    return std::any_of(this->stages.begin(), this->stages.end(), [&](const ChainStage& candidate) { return candidate.endpoint == endpoint; });
}

void RunState::replaceChain(const Chain& chain, RunOutputs& outputs)
{
    if (this->started())
        ++this->generationNumber;
    for (const ChainStage& old : this->stages) {
        const bool kept = std::any_of(chain.begin(), chain.end(), [&](const ChainStage& next) { return next.endpoint == old.endpoint; });
        if (!kept)
            outputs.push_back(CacheReleased { old.endpoint });
    }
    this->stages = chain;
    this->cachedPositions = 0;
}

void RunState::sendFirstStage(RunOutputs& outputs)
{
    this->stage = 0;
    this->send(this->passInput(), outputs);
}

void RunState::sendNextStage(std::string activations, RunOutputs& outputs)
{
    ++this->stage;
    this->send(std::move(activations), outputs);
}

void RunState::appendToken(std::string text, RunOutputs& outputs)
{
    this->cachedPositions = static_cast<std::uint32_t>(this->completion.promptTokens().size() + this->tokens.size());
    outputs.push_back(TokenReady { this->tokenCount(), text });
    this->tokens.push_back(std::move(text));
}

void RunState::releaseCaches(RunOutputs& outputs)
{
    if (!this->started())
        return;
    for (const ChainStage& used : this->stages)
        outputs.push_back(CacheReleased { used.endpoint });
}

void RunState::send(std::string input, RunOutputs& outputs)
{
    const ChainStage& target = this->stages[this->stage];
    const auto positions = static_cast<std::uint32_t>(this->completion.promptTokens().size() + this->tokens.size());
    StepDue due { target.endpoint,
        Step::Builder(this->completion.request())
            .generation(this->generationNumber)
            .sequence(this->nextSequence++)
            .model(this->completion.model(), this->completion.version())
            .layers(target.layers)
            .positions(this->cachedPositions, positions - this->cachedPositions)
            .input(std::move(input))
            .build() };
    this->outstandingStep = due;
    outputs.push_back(std::move(due));
}

std::string RunState::passInput() const
{
    boost::json::array input;
    const std::vector<std::string>& prompt = this->completion.promptTokens();
    for (std::size_t position = this->cachedPositions; position < prompt.size() + this->tokens.size(); ++position)
        input.emplace_back(position < prompt.size() ? prompt[position] : this->tokens[position - prompt.size()]);
    return boost::json::serialize(input);
}

}
