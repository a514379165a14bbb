#ifndef FILBERTSPOKE_COMPLETION_SPEC_H
#define FILBERTSPOKE_COMPLETION_SPEC_H

#include <filbertspoke/Core>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace filbertspoke {

/** \brief Immutable description of the completion that one pipeline run produces. */
class CompletionSpec {
public:
    class Builder;

    const RequestId& request() const { return this->requestId; }
    const ModelId& model() const { return this->modelId; }
    const std::string& version() const { return this->modelVersion; }
    /** \returns all layers of the model, [0, layer count) */
    const LayerRange& layers() const { return this->modelLayers; }
    const std::vector<std::string>& promptTokens() const { return this->prompt; }
    /** \returns the output tokens that the caller already received from an earlier run, in order */
    const std::vector<std::string>& receivedTokens() const { return this->received; }
    /** \returns the maximum number of output tokens, including receivedTokens() */
    std::uint32_t maximumTokens() const { return this->tokenLimit; }

    bool operator==(const CompletionSpec&) const = default;

private:
    CompletionSpec() = default;

    RequestId requestId;
    ModelId modelId;
    std::string modelVersion;
    LayerRange modelLayers;
    std::vector<std::string> prompt;
    std::vector<std::string> received;
    std::uint32_t tokenLimit = 0;
};

/** \brief Builds a CompletionSpec. */
class CompletionSpec::Builder {
public:
    explicit Builder(RequestId request) { this->spec.requestId = std::move(request); }

    Builder& model(ModelId id, std::string version, std::uint32_t layerCount)
    {
        this->spec.modelId = std::move(id);
        this->spec.modelVersion = std::move(version);
        this->spec.modelLayers = LayerRange(0, layerCount);
        return *this;
    }
    Builder& prompt(std::vector<std::string> tokens)
    {
        this->spec.prompt = std::move(tokens);
        return *this;
    }
    Builder& received(std::vector<std::string> tokens)
    {
        this->spec.received = std::move(tokens);
        return *this;
    }
    Builder& maximumTokens(std::uint32_t count)
    {
        this->spec.tokenLimit = count;
        return *this;
    }
    CompletionSpec build() const { return this->spec; }

private:
    CompletionSpec spec;
};

/** \returns the words of the text, separated by white space, which stand for the tokens of the engines */
std::vector<std::string> splitTokens(const std::string& text);

}

#endif
