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

/** \brief Runs completions: admission, planning of the chain, the steps of the pipeline, and replacement of lost stages. */
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
    /** \brief Replaces the chain of every run that uses an endpoint which is gone or no longer listed. */
    void endpointLost(const EndpointId&, const Now&, Actions&);
    std::optional<TimePoint> nextWake() const;

    /** \returns the number of queued and running requests */
    std::size_t inProgress() const { return this->completions.size(); }
    std::size_t queued() const { return this->admission ? this->admission->queued() : 0; }
    /** \returns the limiter of the account limits, or null until the first request that passes validation */
    AccountLimiter* limiter() { return this->admission ? &this->admission->limiter() : nullptr; }
    /** \brief Starts queued requests that fit after this daemon's share of an account limit has grown. */
    void startQueued(const Now&, Actions&);
    /** \brief Refuses all remaining completions when a graceful stop is cut short. */
    void abandon(const Now&, Actions&);

private:
    struct Completion {
        PipelineRun run;
        std::vector<EndpointId> excluded; ///< endpoints that failed during this run
        std::vector<EndpointId> late; ///< excluded endpoints that only did not answer in time
        std::uint32_t replacements = 0;
        TimePoint stepSent {};
    };

    std::optional<Refusal> check(const CompletionReceived&) const;
    AdmissionController& currentAdmission();
    /** \brief Limits the requests in progress to the capacity of the model's engines. */
    void limitConcurrency(const ModelId&);
    void admit(const CompletionReceived&, TimePoint deadline, const Now&, Actions&);
    void planAll(const std::vector<RequestId>&, const Now&, Actions&);
    void plan(Completion&, const Now&, Actions&);
    Result<Chain> findChain(const Completion&, const std::vector<EndpointId>& excluded, const Now&);
    /** \brief Ends the exclusion of endpoints that were only late; those that are late again and again are held back by their breakers. */
    Result<Chain> findChainWithLate(Completion&, const Now&);
    void carryOut(Completion&, const RunOutputs&, const Now&, Actions&);
    void sendStep(Completion&, const StepDue&, const Now&, Actions&);
    void replaceChain(Completion&, const ChainNeeded&, const Now&, Actions&);
    void finish(const Completion&, const Now&, Actions&);
    void failTimedOutStep(Completion&, const Now&, Actions&);
    /** \brief Releases the work in progress at \a target after its run lost \a lost; counted as failed only if both are the same. */
    void releaseOutstandingStep(const EndpointId& target, const EndpointId& lost, const Now&);
    void expireSteps(const Now&, Actions&);
    void refuse(RequestId, const Refusal&, const Now&, Actions&);
    void end(RequestId, const Now&, Actions&);
    Completion* find(const RequestId&);

    RouterContext& context;
    std::optional<AdmissionController> admission; ///< set by the first request that passes validation
    LogOffset admissionRevision = 0;
    ModelConcurrency concurrency;
    std::unordered_map<RequestId, Completion> completions;
    DeadlineQueue<RequestId> deadlines; ///< of whole requests
    DeadlineQueue<RequestId> stepTimeouts; ///< of the outstanding step of each request
};

}

#endif
