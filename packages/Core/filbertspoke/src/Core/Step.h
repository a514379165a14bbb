#ifndef FILBERTSPOKE_STEP_H
#define FILBERTSPOKE_STEP_H

#include "Identifier.h"
#include "LayerRange.h"

#include <cstdint>
#include <string>
#include <utility>

namespace filbertspoke {

/** \brief A request to an engine to run a range of layers over a range of token positions.
 *
 * Request, generation and sequence identify the step; the engine echoes them in its receipt.
 * The first stage's input is a JSON array with the tokens at the positions; a later stage's
 * input is the output of the stage before it, which the daemon doesn't parse.
 * \sa StepReceipt
 */
class Step {
public:
    class Builder;

    const RequestId& request() const { return this->requestId; }
    /** \returns the number of times the request's pipeline was replaced before this step */
    std::uint32_t generation() const { return this->generationNumber; }
    /** \returns the step's number, unique within the request */
    std::uint64_t sequence() const { return this->sequenceNumber; }
    const ModelId& model() const { return this->modelId; }
    const std::string& version() const { return this->modelVersion; }
    const LayerRange& layers() const { return this->layerRange; }
    /** \returns the first token position that the step runs */
    std::uint32_t position() const { return this->firstPosition; }
    /** \returns the number of token positions that the step runs */
    std::uint32_t count() const { return this->positionCount; }
    const std::string& input() const { return this->inputData; }

    bool operator==(const Step&) const = default;

private:
    Step() = default;

    RequestId requestId;
    std::uint32_t generationNumber = 0;
    std::uint64_t sequenceNumber = 0;
    ModelId modelId;
    std::string modelVersion;
    LayerRange layerRange;
    std::uint32_t firstPosition = 0;
    std::uint32_t positionCount = 0;
    std::string inputData;
};

/** \brief Builds a Step. */
class Step::Builder {
public:
    explicit Builder(RequestId request) { this->step.requestId = std::move(request); }

    Builder& generation(std::uint32_t number)
    {
        this->step.generationNumber = number;
        return *this;
    }
    Builder& sequence(std::uint64_t number)
    {
        this->step.sequenceNumber = number;
        return *this;
    }
    Builder& model(ModelId id, std::string version)
    {
        this->step.modelId = std::move(id);
        this->step.modelVersion = std::move(version);
        return *this;
    }
    Builder& layers(LayerRange range)
    {
        this->step.layerRange = range;
        return *this;
    }
    Builder& positions(std::uint32_t first, std::uint32_t count)
    {
        this->step.firstPosition = first;
        this->step.positionCount = count;
        return *this;
    }
    Builder& input(std::string data)
    {
        this->step.inputData = std::move(data);
        return *this;
    }
    Step build() const { return this->step; }

private:
    Step step;
};

}

#endif
