#ifndef FILBERTSPOKE_COMPLETION_HANDLER_H
#define FILBERTSPOKE_COMPLETION_HANDLER_H

#include "Event.h"
#include "RouterContext.h"

#include <filbertspoke/Pipeline>
#include <filbertspoke/Routing>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace filbertspoke::internal {

/** \brief Takes completions from their arrival through admission and their pipeline to the last token. */
class CompletionHandler {
public:
    explicit CompletionHandler(RouterContext& context)
        : context(context)
    {
    }

    void handle(const CompletionReceived&, const Now&, Actions&);
    void handle(const CallerDisconnected&, const Now&, Actions&);
    void handle(const StepAnswered&, const Now&, Actions&);
    void handle(const StepFailed&, const Now&, Actions&);
    void handle(const Tick&, const Now&, Actions&);
    /** \brief Moves every run off an endpoint that membership has lost. */
    void endpointLost(const EndpointId&, const Now&, Actions&);
    std::optional<TimePoint> nextWake() const;

    /** \returns requests that wait or run */
    std::size_t inProgress() const { return this->completions.size(); }
    std::size_t queued() const { return this->admission ? this->admission->queued() : 0; }
    /** \returns what holds the account limits; null before the first request */
    AccountLimiter* limiter() { return this->admission ? &this->admission->limiter() : nullptr; }
    /** \brief Starts requests that waited for a part of their account's limit that has grown. */
    void startWaiting(const Now&, Actions&);
    /** \brief Refuses what is left when a stop can wait no longer. */
    void abandon(const Now&, Actions&);

private:
    struct Completion {
        PipelineRun run;
        std::vector<EndpointId> excluded; ///< endpoints that failed this run
        std::uint32_t replacements = 0;
        TimePoint stepSent {};
    };

    std::optional<Refusal> check(const CompletionReceived&) const;
    AdmissionController& currentAdmission();
    /** \brief Holds the requests in progress to what the model's engines can carry. */
    void limitConcurrency(const ModelId&);
    void admit(const CompletionReceived&, TimePoint deadline, const Now&, Actions&);
    void startAll(const std::vector<RequestId>&, const Now&, Actions&);
    void plan(Completion&, const Now&, Actions&);
    void carryOut(Completion&, const RunOutputs&, const Now&, Actions&);
    void sendStep(Completion&, const StepDue&, const Now&, Actions&);
    void replaceChain(Completion&, const ChainNeeded&, const Now&, Actions&);
    void finish(const Completion&, const Now&, Actions&);
    void stepLost(Completion&, const Now&, Actions&);
    /** \brief Ends the outstanding step at \a asked, of a run that has lost an endpoint. */
    void giveUp(const EndpointId& asked, const EndpointId& lost, const Now&);
    void timeOutSteps(const Now&, Actions&);
    void refuse(RequestId, const Refusal&, const Now&, Actions&);
    void end(RequestId, const Now&, Actions&);
    Completion* find(const RequestId&);

    RouterContext& context;
    std::optional<AdmissionController> admission; ///< from the first configuration on
    LogOffset admissionRevision = 0;
    ModelConcurrency concurrency;
    std::unordered_map<RequestId, Completion> completions;
    DeadlineQueue<RequestId> deadlines; ///< of whole requests
    DeadlineQueue<RequestId> stepTimeouts; ///< of the outstanding step of each request
};

}

#endif
