#ifndef FILBERTSPOKE_ADMISSION_H
#define FILBERTSPOKE_ADMISSION_H

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

/** \brief Limits of one daemon. */
struct AdmissionLimits {
    std::uint32_t concurrent = 256; ///< requests in progress in a pool whose concurrency isn't set
    std::size_t queuedPerAccount = 256; ///< requests of an account that wait for a pool

    auto operator<=>(const AdmissionLimits&) const = default;
};

using AdmissionDecision = std::variant<Admitted, Queued, Refusal>;

/** \brief Decides which request starts, waits or is refused, fairly among client accounts.
 *
 * Each pool is shared by weighted fair queueing over the cost of requests; priorities order requests
 * within an account. A request that can't be answered by its deadline, as far as the pool's past tells,
 * is refused at once, and so is one that waits as soon as that shows.
 */
class AdmissionController {
public:
    AdmissionController(const Configuration&, AdmissionLimits);

    /** \brief Takes new weights and limits into force; requests that wait or run stay. */
    void configure(const Configuration&);
    void setLimits(AdmissionLimits);
    /** \brief Sets how many requests of a pool this daemon may have in progress. */
    void setConcurrency(const AdmissionPool&, std::uint32_t);

    /** \returns the decision; a Refusal carries when to come back */
    AdmissionDecision offer(const AdmissionRequest&, TimePoint);
    /** \param usedCost what the request really cost, when it was not the cost that was offered
     * \returns the requests that start now in its place */
    std::vector<RequestId> finished(const RequestId&, TimePoint, std::optional<double> usedCost = std::nullopt);
    /** \brief Drops a request whose caller is gone, be it waiting or in progress.
     * \returns the requests that start now in its place */
    std::vector<RequestId> cancel(const RequestId&, TimePoint);
    /** \returns the requests that start now because limits or shares have grown */
    std::vector<RequestId> startWaiting(TimePoint);
    /** \returns the waiting requests that can't be answered by their deadline any more, each with its
     * final answer */
    std::vector<RefusedRequest> expire(TimePoint);
    /** \returns when expire() has something to do at the earliest */
    std::optional<TimePoint> nextWake() const;

    std::size_t queued() const { return this->waiting.size(); }
    std::size_t inProgress() const { return this->running.size(); }

    /** \returns the part that holds the accounts' limits over all daemons, for the demand of peers */
    AccountLimiter& limiter() { return this->accountLimiter; }
    const AccountLimiter& limiter() const { return this->accountLimiter; }

private:
    struct Pool {
        FairQueue queue;
        std::optional<std::uint32_t> concurrency;
        std::uint32_t inProgress = 0;
        std::set<std::pair<TimePoint, RequestId>> deadlines; ///< of waiting requests
        double serviceTime = 0; ///< smoothed microseconds that a request is in progress
        double timePerCost = 0; ///< smoothed microseconds in progress for each unit of cost
    };

    struct Running {
        AdmissionRequest request;
        TimePoint startedAt;
    };

    Pool& pool(const AdmissionPool&);
    bool hasRoom(const Pool&) const;
    void start(const AdmissionRequest&, Pool&, TimePoint);
    void removeWaiting(const AdmissionRequest&);
    std::vector<RequestId> endRunning(std::unordered_map<RequestId, Running>::iterator, TimePoint);
    void startFrom(Pool&, TimePoint, std::vector<RequestId>& started);
    void expireFrom(Pool&, TimePoint, std::vector<RefusedRequest>&);
    /** \returns the time from the start of a request to its end */
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
