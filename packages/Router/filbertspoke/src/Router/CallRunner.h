#ifndef FILBERTSPOKE_CALL_RUNNER_H
#define FILBERTSPOKE_CALL_RUNNER_H

#include "Event.h"
#include "RouterContext.h"
#include "ServiceCall.h"

#include <filbertspoke/Routing>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace filbertspoke::internal {

/** \brief The result of running a call: the service's answer, or the reason why there is none.
 *
 * The refusal's Ran is No only when no attempt can have run at an endpoint.
 */
using CallResult = std::variant<ServiceAnswer, Refusal>;

/** \brief How a call may be sent, from the route rule that matches it. */
struct CallPolicy {
    bool idempotent = false; ///< may be retried after a failure
    bool hedged = false; ///< is also sent to a second replica when the first is slow

    bool operator==(const CallPolicy&) const = default;
};

/** \brief Sends a call to a replica of its service, with retries and hedged requests.
 *
 * An attempt of which any byte may have been sent is retried only if the call is idempotent and the retry
 * budget allows it. An attempt that is known not to have run is retried for every call. A hedged call is sent
 * to a second replica when the first takes much longer than usual; hedges are charged to the same budget.
 */
class CallRunner {
public:
    explicit CallRunner(RouterContext& context)
        : context(context)
        , budget(retryRatio, retryReserve)
    {
    }

    /** \brief Starts a run.
     *
     * \returns the result, if no replica was available
     */
    std::optional<CallResult> start(const RequestId&, const ServiceCall&, CallPolicy, const Now&, Actions&);
    /** \returns the result of the run, or nothing if the run continues or is unknown */
    std::optional<CallResult> handle(const CallAnswered&, const Now&, Actions&);
    std::optional<CallResult> handle(const CallFailed&, const Now&, Actions&);
    /** \brief Ends a run and cancels its outstanding attempts.
     *
     * \returns whether any attempt may have run; No also for an unknown run
     */
    Ran cancel(const RequestId&, const Now&, Actions&);

    /** \brief Sends the hedges that are due. */
    void handle(const Tick&, const Now&, Actions&);
    std::optional<TimePoint> nextWake() const { return this->hedges.next(); }

    std::size_t inProgress() const { return this->runs.size(); }

private:
    static constexpr double retryRatio = 0.2; ///< retries allowed per first attempt
    static constexpr double retryReserve = 10; ///< retries that can be saved up
    static constexpr std::uint32_t maximumAttempts = 4;

    struct Attempt {
        EndpointId endpoint;
        TimePoint sentAt;
    };

    // Several attempts may be outstanding at once; the first answer other than "not run" ends the run.
    struct Run {
        ServiceCall call;
        CallPolicy policy;
        bool mayHaveRun = false; ///< an attempt failed without an answer after it may have reached an endpoint
        std::uint32_t attempts = 0;
        std::vector<EndpointId> triedEndpoints;
        std::map<std::uint32_t, Attempt> outstanding;
    };

    std::optional<CallResult> send(const RequestId&, Run&, ErrorCode failure, const Now&, Actions&);
    /** \returns whether a replica that wasn't tried yet was available */
    bool tryReplica(const RequestId&, Run&, const char* decision, const Now&, Actions&);
    Duration hedgeDelay(const EndpointId&) const;
    std::optional<CallResult> end(const RequestId&, CallResult, const Now&, Actions&);
    void cancelOutstanding(const RequestId&, Run&, const Now&, Actions&);

    RouterContext& context;
    RetryBudget budget;
    std::unordered_map<RequestId, Run> runs;
    DeadlineQueue<RequestId> hedges; ///< when a second replica is asked
};

}

#endif
