#ifndef FILBERTSPOKE_PLAN_REQUEST_H
#define FILBERTSPOKE_PLAN_REQUEST_H

#include <filbertspoke/Core>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace filbertspoke {

/** \brief Parameters of a chain to be planned: model, layers, token counts and excluded engines. */
class PlanRequest {
public:
    class Builder;

    /** \returns the model to run */
    const ModelId& model() const { return this->modelId; }
    /** \returns the version of the model */
    const std::string& version() const { return this->modelVersion; }
    /** \returns the layers to cover: those of the whole model, or of a lost stage to be replaced */
    const LayerRange& layers() const { return this->layerRange; }
    /** \returns the endpoints that must not be chosen */
    const std::vector<EndpointId>& excluded() const { return this->excludedEndpoints; }
    /** \returns the number of tokens in the prompt */
    std::uint32_t promptTokens() const { return this->promptTokenCount; }
    /** \returns the largest number of tokens to generate */
    std::uint32_t maximumTokens() const { return this->maximumTokenCount; }
    /** \returns the hash of the prompt's prefix, as used in the engines' cache events */
    std::optional<std::uint64_t> prefixHash() const { return this->prefix; }

    /** \returns whether an endpoint must not be chosen */
    bool excludes(const EndpointId& id) const
    {
        return std::find(this->excludedEndpoints.begin(), this->excludedEndpoints.end(), id) != this->excludedEndpoints.end();
    }

    bool operator==(const PlanRequest&) const = default;

private:
    PlanRequest() = default;

    ModelId modelId;
    std::string modelVersion;
    LayerRange layerRange;
    std::vector<EndpointId> excludedEndpoints;
    std::uint32_t promptTokenCount = 0;
    std::uint32_t maximumTokenCount = 0;
    std::optional<std::uint64_t> prefix;
};

/** \brief Builds a PlanRequest. */
class PlanRequest::Builder {
public:
    /** \brief Starts a request for one version of a model. */
    Builder(ModelId model, std::string version)
    {
        this->request.modelId = std::move(model);
        this->request.modelVersion = std::move(version);
    }

    /** \brief Sets the layers to cover. */
    Builder& layers(LayerRange range)
    {
        this->request.layerRange = range;
        return *this;
    }
    /** \brief Excludes an endpoint; may be called repeatedly. */
    Builder& exclude(EndpointId id)
    {
        this->request.excludedEndpoints.push_back(std::move(id));
        return *this;
    }
    /** \brief Sets the number of prompt tokens and the largest number of tokens to generate. */
    Builder& tokens(std::uint32_t prompt, std::uint32_t maximum)
    {
        this->request.promptTokenCount = prompt;
        this->request.maximumTokenCount = maximum;
        return *this;
    }
    /** \brief Sets the hash of the prompt's prefix. */
    Builder& prefixHash(std::uint64_t hash)
    {
        this->request.prefix = hash;
        return *this;
    }
    /** \returns the request */
    PlanRequest build() const { return this->request; }

private:
    PlanRequest request;
};

}

#endif
