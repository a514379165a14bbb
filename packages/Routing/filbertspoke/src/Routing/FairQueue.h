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

/** \brief Requests that wait for one pool, in the order of weighted fair queueing by client account.
 *
 * An account's virtual time is the cost that it has started over its weight; the backlogged account
 * with the least goes next. An account that was idle starts at the queue's virtual time: it gets no
 * credit for the time that it asked for nothing.
 */
class FairQueue {
public:
    /** \brief Sets an account's share relative to the others; unknown accounts weigh 1. */
    void setWeight(const AccountId&, double weight);

    void push(const AdmissionRequest&);
    /** \brief Removes a waiting request; no effect when it doesn't wait. */
    void erase(const AdmissionRequest&);
    /** \brief Removes the next request among the accounts that \a mayStart allows and charges its cost. */
    std::optional<AdmissionRequest> pop(const std::function<bool(const AccountId&)>& mayStart);
    /** \brief Charges a request that started without waiting. */
    void charge(const AdmissionRequest&);
    /** \brief Corrects what an account was charged, when a request turned out to cost more or less. */
    void correct(const AccountId&, double costDifference);

    bool empty() const { return this->backlogged.empty(); }
    std::size_t queued(const AccountId&) const;
    /** \returns the account's part of the pool, in (0, 1], while the accounts that wait now keep waiting */
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
    std::set<std::pair<double, AccountId>> backlogged; ///< by virtual time
    double backloggedWeight = 0;
    double virtualTime = 0; ///< that of the request started last
    std::uint64_t nextArrival = 0;
};

}

#endif
