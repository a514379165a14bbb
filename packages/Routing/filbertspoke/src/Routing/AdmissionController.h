#ifndef FILBERTSPOKE_ADMISSION_CONTROLLER_H
#define FILBERTSPOKE_ADMISSION_CONTROLLER_H

#include "AccountLimiter.h"
#include "AdmissionRequest.h"
#include "FairQueue.h"

#include <filbertspoke/Configuration>
#include <filbertspoke/Core>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace filbertspoke {

/** \brief Admission limits of one daemon. */
struct AdmissionLimits {
    std::uint32_t concurrentPerPool = 256; ///< requests in progress in a pool without a concurrency of its own
    std::size_t queuedPerAccount = 256; ///< requests of one account that may wait for a pool

    auto operator<=>(const AdmissionLimits&) const = default;
};

/** \brief Outcome of AdmissionController::offer(). */
using AdmissionDecision = std::variant<Admitted, Queued, Refusal>;

/** \brief Admission control: decides which requests start, wait or are refused.
 *
 * Client accounts share each pool by weighted fair queueing over the cost of requests; priorities order
 * the requests of one account. A new request whose expected end, estimated from earlier requests of the
 * pool, lies after its deadline is refused at once. A waiting request is refused as soon as its expected
 * service time no longer fits before its deadline.
 */
class AdmissionController {
public:
    AdmissionController(const Configuration&, AdmissionLimits);

    /** \brief Applies new weights and limits; waiting and running requests are kept. */
    void configure(const Configuration&);
    /** \brief Replaces the limits of this daemon. */
    void setLimits(AdmissionLimits);
    /** \brief Sets how many requests of a pool this daemon may have in progress. */
    void setConcurrency(const AdmissionPool&, std::uint32_t);

    /** \brief Admits, queues or refuses a request.
     * \returns the decision. A Refusal has one of the codes UnknownAccount, AccountLimit, QueueFull or
     * DeadlineUnreachable; all but the first carry a retry delay. */
    AdmissionDecision offer(const AdmissionRequest&, TimePoint);
    /** \brief Ends a running request.
     * \param actualCost the measured cost, when it differs from the cost that was offered
     * \returns the requests that start now in its place */
    std::vector<RequestId> finished(const RequestId&, TimePoint, std::optional<double> actualCost = std::nullopt);
    /** \brief Drops a waiting or running request whose caller has disconnected.
     * \returns the requests that start now in its place */
    std::vector<RequestId> cancel(const RequestId&, TimePoint);
    /** \brief Starts waiting requests after limits or shares have grown.
     * \returns the requests that start now */
    std::vector<RequestId> startWaiting(TimePoint);
    /** \brief Removes the waiting requests that can no longer be answered by their deadline.
     * \returns the removed requests, each with its refusal */
    std::vector<RefusedRequest> expire(TimePoint);
    /** \returns the earliest time at which expire() may have a request to remove; nothing when none waits */
    std::optional<TimePoint> nextWake() const;

    /** \returns the number of waiting requests */
    std::size_t queued() const { return this->waiting.size(); }
    /** \returns the number of running requests */
    std::size_t inProgress() const { return this->running.size(); }

    /** \returns the limiter of the cluster-wide account limits, which exchanges demand with other daemons */
    AccountLimiter& limiter() { return this->accountLimiter; }
    const AccountLimiter& limiter() const { return this->accountLimiter; }

private:
    struct Pool {
        FairQueue queue;
        std::optional<std::uint32_t> concurrency;
        std::uint32_t inProgress = 0;
        std::set<std::pair<TimePoint, RequestId>> deadlines; ///< deadlines of the waiting requests
        double serviceTime = 0; ///< smoothed time that a request is in progress, in microseconds
        double timePerCost = 0; ///< smoothed time in progress for each unit of cost, in microseconds
    };

    struct Running {
        AdmissionRequest request;
        TimePoint startedAt;
    };

    Pool& pool(const AdmissionPool&);
    bool hasFreeSlot(const Pool&) const;
    void start(const AdmissionRequest&, Pool&, TimePoint);
    void removeWaiting(const AdmissionRequest&);
    std::vector<RequestId> endRunning(std::unordered_map<RequestId, Running>::iterator, TimePoint);
    void startQueued(Pool&, TimePoint, std::vector<RequestId>& started);
    void expireQueued(Pool&, TimePoint, std::vector<RefusedRequest>&);
    /** \returns the expected time from the start of a request to its end */
    Duration expectedService(const AdmissionRequest&, const Pool&) const;
    Duration expectedWait(const AdmissionRequest&, const Pool&, TimePoint) const;
    Refusal refusal(ErrorCode, Duration delay) const;

    AdmissionLimits limits;
    std::set<AccountId> knownAccounts;
    std::vector<AccountConfiguration> accountConfigurations;
    AccountLimiter accountLimiter;
    std::map<AdmissionPool, Pool> pools;
    std::unordered_map<RequestId, AdmissionRequest> waiting;
    std::unordered_map<RequestId, Running> running;
};

}

#endif
