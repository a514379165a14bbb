#include "FairQueue.h"

#include <algorithm>

namespace filbertspoke {

namespace internal {

constexpr double minimumWeight = 1e-6; ///< keeps divisions by weights finite

}

void FairQueue::setWeight(const AccountId& id, double weight)
{
    Account& account = this->accounts[id];
    const double newWeight = std::max(weight, internal::minimumWeight);
    if (!account.entries.empty())
        this->backloggedWeight += newWeight - account.weight;
    account.weight = newWeight;
}

void FairQueue::push(const AdmissionRequest& request)
{
    Account& account = this->accounts[request.account];
    if (account.entries.empty()) {
        account.virtualTime = std::max(account.virtualTime, this->virtualTime);
        this->backlogged.emplace(account.virtualTime, request.account);
        this->backloggedWeight += account.weight;
    }
    this->arrivals[request.request] = this->nextArrival;
    account.entries.insert({ request, this->nextArrival++ });
}

void FairQueue::erase(const AdmissionRequest& request)
{
    auto arrival = this->arrivals.find(request.request);
    if (arrival == this->arrivals.end())
        return;
    Account& account = this->accounts[request.account];
    account.entries.erase({ request, arrival->second });
    this->arrivals.erase(arrival);
    if (!account.entries.empty())
        return;
    this->backlogged.erase({ account.virtualTime, request.account });
    this->backloggedWeight -= account.weight;
}

std::optional<AdmissionRequest> FairQueue::pop(const std::function<bool(const AccountId&)>& mayStart)
{
    for (const auto& [virtualTime, id] : this->backlogged) {
        if (!mayStart(id))
            continue;
        const AdmissionRequest request = this->accounts[id].entries.begin()->request;
        this->erase(request);
        this->charge(request);
        return request;
    }
    return std::nullopt;
}

void FairQueue::charge(const AdmissionRequest& request)
{
    Account& account = this->accounts[request.account];
    if (account.entries.empty())
        account.virtualTime = std::max(account.virtualTime, this->virtualTime);
    this->virtualTime = std::max(this->virtualTime, account.virtualTime);
    this->addCost(request.account, account, request.cost);
}

void FairQueue::adjustCharge(const AccountId& id, double costDifference)
{
    this->addCost(id, this->accounts[id], costDifference);
}

std::size_t FairQueue::queued(const AccountId& id) const
{
    auto account = this->accounts.find(id);
    return account == this->accounts.end() ? 0 : account->second.entries.size();
}

double FairQueue::share(const AccountId& id) const
{
    auto account = this->accounts.find(id);
    const double weight = account == this->accounts.end() ? 1 : account->second.weight;
    const bool counted = account != this->accounts.end() && !account->second.entries.empty();
    return weight / (this->backloggedWeight + (counted ? 0 : weight));
}

void FairQueue::addCost(const AccountId& id, Account& account, double cost)
{
    const double before = account.virtualTime;
    account.virtualTime += cost / account.weight;
    if (account.entries.empty())
        return;
    this->backlogged.erase({ before, id });
    this->backlogged.emplace(account.virtualTime, id);
}

}
