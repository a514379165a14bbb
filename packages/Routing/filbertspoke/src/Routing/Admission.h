#ifndef FILBERTSPOKE_ADMISSION_H
#define FILBERTSPOKE_ADMISSION_H

#include "AdmissionRequest.h"

#include <filbertspoke/Configuration>
#include <filbertspoke/Core>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace filbertspoke {

/** \brief Limits of one daemon, over all client accounts. */
struct AdmissionLimits {
    std::uint32_t concurrent = 256; ///< requests in progress
    std::size_t queuedPerAccount = 256; ///< requests that wait

    auto operator<=>(const AdmissionLimits&) const = default;
};

using AdmissionDecision = std::variant<Admitted, Queued, Refusal>;

/** \brief Decides which request starts, waits or is refused, fairly among client accounts.
 *
 * Weighted fair queueing over the cost of requests; priorities order requests within an account.
 */
class Admission {
public:
    Admission(const Configuration&, AdmissionLimits);

    /** \brief Takes new weights and limits into force; requests that wait or run stay. */
    void configure(const Configuration&);
    void setLimits(AdmissionLimits);

    /** \returns the decision; a Refusal carries when to come back */
    AdmissionDecision offer(const AdmissionRequest&, TimePoint);
    /** \returns the requests that start now in its place */
    std::vector<RequestId> finished(const RequestId&, TimePoint);
    /** \brief Drops a request whose caller is gone, be it waiting or in progress.
     * \returns the requests that start now in its place */
    std::vector<RequestId> cancel(const RequestId&, TimePoint);
    /** \returns the waiting requests whose deadline has passed, each with its final answer */
    std::vector<RefusedRequest> expire(TimePoint);
    /** \returns when expire() has something to do at the earliest */
    std::optional<TimePoint> nextWake() const;

    std::size_t queued() const { return this->waiting.size(); }
    std::size_t inProgress() const { return this->running.size(); }

private:
    struct Waiting {
        AdmissionRequest request;
        std::uint64_t arrival = 0;
    };

    struct WaitingOrder {
        bool operator()(const Waiting& left, const Waiting& right) const
        {
            if (left.request.priority != right.request.priority)
                return left.request.priority > right.request.priority;
            return left.arrival < right.arrival;
        }
    };

    struct Account {
        AccountConfiguration configuration;
        std::set<Waiting, WaitingOrder> queue;
        double virtualTime = 0; ///< cost started so far over weight
        std::uint32_t inProgress = 0;
    };

    struct Running {
        AccountId account;
        TimePoint startedAt;
    };

    bool mayStart(const Account&) const;
    void start(Account&, const AdmissionRequest&, TimePoint);
    void removeWaiting(const Waiting&);
    std::vector<RequestId> endRunning(std::unordered_map<RequestId, Running>::iterator, TimePoint);
    std::vector<RequestId> startWaiting(TimePoint);
    /** \returns the account whose next waiting request starts, or null */
    Account* nextAccount();
    Duration expectedWait(const Account&) const;

    AdmissionLimits limits;
    std::map<AccountId, Account> accounts;
    std::unordered_map<RequestId, Waiting> waiting;
    std::set<std::pair<TimePoint, RequestId>> deadlines;
    std::unordered_map<RequestId, Running> running;
    double virtualTime = 0; ///< that of the request started last
    std::uint64_t arrivals = 0;
    Duration serviceTime {}; ///< smoothed time that a request is in progress
};

}

#endif
