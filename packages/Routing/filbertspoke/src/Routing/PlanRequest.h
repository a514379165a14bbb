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

/** \brief What a chain is wanted for. */
class PlanRequest {
public:
    class Builder;

    const ModelId& model() const { return this->modelId; }
    const std::string& version() const { return this->modelVersion; }
    /** \returns the layers to cover: all of the model, or the range of a lost stage */
    const LayerRange& layers() const { return this->layerRange; }
    const std::vector<EndpointId>& excluded() const { return this->excludedEndpoints; }
    std::uint32_t promptTokens() const { return this->promptTokenCount; }
    std::uint32_t maximumTokens() const { return this->maximumTokenCount; }
    /** \returns the hash of the prompt's prefix, as engines name it in cache events */
    std::optional<std::uint64_t> prefixHash() const { return this->prefix; }

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
    Builder(ModelId model, std::string version)
    {
        this->request.modelId = std::move(model);
        this->request.modelVersion = std::move(version);
    }

    Builder& layers(LayerRange range)
    {
        this->request.layerRange = range;
        return *this;
    }
    Builder& exclude(EndpointId id)
    {
        this->request.excludedEndpoints.push_back(std::move(id));
        return *this;
    }
    Builder& tokens(std::uint32_t prompt, std::uint32_t maximum)
    {
        this->request.promptTokenCount = prompt;
        this->request.maximumTokenCount = maximum;
        return *this;
    }
    Builder& prefixHash(std::uint64_t hash)
    {
        this->request.prefix = hash;
        return *this;
    }
    PlanRequest build() const { return this->request; }

private:
    PlanRequest request;
};

}

#endif
