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

/** \brief How a run of a call ended: the service's answer, or why there is none.
 *
 * The refusal's Ran is No only when no attempt can have run.
 */
using CallEnd = std::variant<ServiceAnswer, Refusal>;

/** \brief How the rule of a call lets it be sent. */
struct CallPolicy {
    bool idempotent = false; ///< may be sent again after a failure
    bool hedged = false; ///< a second replica is asked when the first is slow

    bool operator==(const CallPolicy&) const = default;
};

/** \brief Takes a call to a replica of its service, and to another one where that is allowed.
 *
 * An attempt of which a byte may have left is repeated only for an idempotent call, by budget. An
 * attempt that surely did not run is repeated for every call. A hedged call asks a second replica
 * when the first takes much longer than it usually does; hedges come out of the same budget.
 */
class CallRunner {
public:
    explicit CallRunner(RouterContext& context)
        : context(context)
        , budget(retryPart, retryReserve)
    {
    }

    /** \returns the end, when no replica could be asked */
    std::optional<CallEnd> start(const RequestId&, const ServiceCall&, CallPolicy, const Now&, Actions&);
    /** \returns the end of the run, unless it goes on or is unknown */
    std::optional<CallEnd> handle(const CallAnswered&, const Now&, Actions&);
    std::optional<CallEnd> handle(const CallFailed&, const Now&, Actions&);
    /** \brief Ends a run and closes its connections.
     *
     * \returns whether any attempt may have run
     */
    Ran cancel(const RequestId&, const Now&, Actions&);

    /** \brief Sends the hedges that are due. */
    void handle(const Tick&, const Now&, Actions&);
    std::optional<TimePoint> nextWake() const { return this->hedges.next(); }

    std::size_t inProgress() const { return this->runs.size(); }

private:
    static constexpr double retryPart = 0.2; ///< retries for each first attempt
    static constexpr double retryReserve = 10; ///< retries
    static constexpr std::uint32_t maximumAttempts = 4;

    struct Attempt {
        EndpointId endpoint;
        TimePoint sentAt;
    };

    // Several attempts may be outstanding at once; the first answer ends the run.
    struct Run {
        ServiceCall call;
        CallPolicy policy;
        bool mayHaveRun = false; ///< an attempt that got no answer
        std::uint32_t attempts = 0;
        std::vector<EndpointId> tried;
        std::map<std::uint32_t, Attempt> outstanding;
    };

    std::optional<CallEnd> send(const RequestId&, Run&, ErrorCode failure, const Now&, Actions&);
    /** \returns whether there was a replica left to ask */
    bool tryReplica(const RequestId&, Run&, const char* decision, const Now&, Actions&);
    Duration hedgeDelay(const EndpointId&) const;
    std::optional<CallEnd> end(const RequestId&, CallEnd, const Now&, Actions&);
    void close(const RequestId&, Run&, const Now&, Actions&);

    RouterContext& context;
    RetryBudget budget;
    std::unordered_map<RequestId, Run> runs;
    DeadlineQueue<RequestId> hedges; ///< when a run's first replica counts as slow
};

}

#endif
