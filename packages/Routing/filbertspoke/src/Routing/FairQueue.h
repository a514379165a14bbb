#ifndef FILBERTSPOKE_FAIR_QUEUE_H
#define FILBERTSPOKE_FAIR_QUEUE_H

#include "AdmissionRequest.h"

#include <filbertspoke/Core>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace filbertspoke {

/** \brief Weighted fair queue of the requests that wait for one pool, by client account.
 *
 * An account's virtual time is the cost of its started requests divided by its weight; the backlogged
 * account with the least virtual time goes next. An account that was idle resumes at the queue's virtual
 * time, so that it gains no credit for its idle time.
 */
class FairQueue {
public:
    /** \brief Sets an account's weight relative to the others; accounts without one have weight 1. */
    void setWeight(const AccountId&, double weight);

    /** \brief Adds a waiting request. */
    void push(const AdmissionRequest&);
    /** \brief Removes a waiting request; no effect when it is not in the queue. */
    void erase(const AdmissionRequest&);
    /** \brief Removes the next request of the accounts that \a mayStart allows and charges its cost.
     * \returns the request; nothing when no allowed account has one */
    std::optional<AdmissionRequest> pop(const std::function<bool(const AccountId&)>& mayStart);
    /** \brief Charges the cost of a request that started without waiting. */
    void charge(const AdmissionRequest&);
    /** \brief Adds the difference between actual and offered cost to what an account was charged. */
    void adjustCharge(const AccountId&, double costDifference);

    /** \returns whether no request waits */
    bool empty() const { return this->backlogged.empty(); }
    /** \returns the number of waiting requests of an account */
    std::size_t queued(const AccountId&) const;
    /** \returns the fraction of the pool, in (0, 1], that the account would get beside the accounts backlogged now */
    double share(const AccountId&) const;

private:
    struct Entry {
        AdmissionRequest request;
        std::uint64_t arrival = 0;
    };

    struct EntryOrder {
        bool operator()(const Entry& left, const Entry& right) const
        {
            if (left.request.priority != right.request.priority)
                return left.request.priority > right.request.priority;
            return left.arrival < right.arrival;
        }
    };

    struct Account {
        double weight = 1;
        double virtualTime = 0;
        std::set<Entry, EntryOrder> entries;
    };

    void addCost(const AccountId&, Account&, double cost);

    std::map<AccountId, Account> accounts;
    std::map<RequestId, std::uint64_t> arrivals;
    std::set<std::pair<double, AccountId>> backlogged; ///< accounts with waiting requests, ordered by virtual time
    double backloggedWeight = 0;
    double virtualTime = 0; ///< largest virtual time of an account at the start of one of its requests
    std::uint64_t nextArrival = 0;
};

}

#endif
