#ifndef FILBERTSPOKE_STEP_RECEIPT_H
#define FILBERTSPOKE_STEP_RECEIPT_H

#include "Step.h"

#include <string_view>

namespace filbertspoke {

/** \brief The result of a step as reported by the engine. */
enum class StepStatus {
    Ok,
    CacheMissing, ///< the engine lacks KV cache for positions before the step; nothing ran
    WrongLayers, ///< the engine doesn't hold the layers; nothing ran
    WrongVersion, ///< the engine runs another model or version; nothing ran
    Cancelled, ///< the request was cancelled before the step ran
    Overloaded, ///< the engine's queue is full; nothing ran
    Draining, ///< the engine takes no new requests; nothing ran
    Failed, ///< the engine failed; the step may have run
};

/** \returns the status as written in an engine's answer, for example "cache-missing" */
constexpr std::string_view name(StepStatus status)
{
    switch (status) {
    case StepStatus::Ok:
        return "ok";
    case StepStatus::CacheMissing:
        return "cache-missing";
    case StepStatus::WrongLayers:
        return "wrong-layers";
    case StepStatus::WrongVersion:
        return "wrong-version";
    case StepStatus::Cancelled:
        return "cancelled";
    case StepStatus::Overloaded:
        return "overloaded";
    case StepStatus::Draining:
        return "draining";
    case StepStatus::Failed:
        return "failed";
    }
    return "failed";
}

/** \brief An engine's answer to one Step: an echo of the step as received, and the output.
 *
 * The echoed step carries no input. The last stage's output is the next token's text, an earlier
 * stage's output the activations for the next stage.
 */
class StepReceipt {
public:
    StepReceipt(Step echoed, StepStatus status, std::string output)
        : echoedStep(std::move(echoed))
        , stepStatus(status)
        , outputData(std::move(output))
    {
    }

    const Step& step() const { return this->echoedStep; }
    StepStatus status() const { return this->stepStatus; }
    const std::string& output() const { return this->outputData; }

    bool operator==(const StepReceipt&) const = default;

private:
    Step echoedStep;
    StepStatus stepStatus;
    std::string outputData;
};

}

#endif
