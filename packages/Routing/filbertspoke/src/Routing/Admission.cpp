#include "Admission.h"

#include <algorithm>
#include <chrono>

namespace filbertspoke {

namespace internal {

constexpr int serviceTimeSmoothing = 16; ///< one request moves the smoothed time by a sixteenth
constexpr Duration minimumRetryDelay = std::chrono::milliseconds(100);
constexpr double minimumWeight = 1e-6; ///< keeps divisions by weights finite

}

Admission::Admission(const Configuration& configuration, AdmissionLimits limits)
    : limits(limits)
{
    this->configure(configuration);
}

void Admission::configure(const Configuration& configuration)
{
    for (const AccountConfiguration& account : configuration.accounts())
        this->accounts[account.id].configuration = account;
    std::erase_if(this->accounts, [&](const auto& entry) {
        const Account& account = entry.second;
        return !configuration.findAccount(entry.first) && account.queue.empty() && account.inProgress == 0;
    });
}

void Admission::setLimits(AdmissionLimits newLimits)
{
    this->limits = newLimits;
}

AdmissionDecision Admission::offer(const AdmissionRequest& request, TimePoint now)
{
    auto place = this->accounts.find(request.account);
    if (place == this->accounts.end())
        return Refusal(ErrorCode::UnknownAccount, Ran::No);
    Account& account = place->second;

    if (account.queue.empty() && this->mayStart(account)) {
        this->start(account, request, now);
        return Admitted {};
    }

    const Duration wait = this->expectedWait(account);
    if (account.queue.size() >= this->limits.queuedPerAccount)
        return Refusal(ErrorCode::QueueFull, Ran::No).retryAfter(std::max(wait, internal::minimumRetryDelay));
    if (now + wait > request.deadline)
        return Refusal(ErrorCode::DeadlineUnreachable, Ran::No).retryAfter(std::max(now + wait - request.deadline, internal::minimumRetryDelay));

    if (account.queue.empty())
        account.virtualTime = std::max(account.virtualTime, this->virtualTime);
    const Waiting entry { request, this->arrivals++ };
    account.queue.insert(entry);
    this->waiting.emplace(request.request, entry);
    this->deadlines.emplace(request.deadline, request.request);
    return Queued { wait };
}

std::vector<RequestId> Admission::finished(const RequestId& request, TimePoint now)
{
    auto place = this->running.find(request);
    if (place == this->running.end())
        return {};
    const Duration taken = now - place->second.startedAt;
    this->serviceTime = this->serviceTime == Duration::zero()
        ? taken
        : this->serviceTime + (taken - this->serviceTime) / internal::serviceTimeSmoothing;
    return this->endRunning(place, now);
}

std::vector<RequestId> Admission::cancel(const RequestId& request, TimePoint now)
{
    if (auto place = this->running.find(request); place != this->running.end())
        return this->endRunning(place, now);
    if (auto place = this->waiting.find(request); place != this->waiting.end())
        this->removeWaiting(Waiting(place->second));
    return {};
}

std::vector<RefusedRequest> Admission::expire(TimePoint now)
{
    std::vector<RefusedRequest> refused;
    while (!this->deadlines.empty() && this->deadlines.begin()->first < now) {
        const RequestId request = this->deadlines.begin()->second;
        const Waiting entry = this->waiting.at(request);
        this->removeWaiting(entry);
        const Duration wait = this->expectedWait(this->accounts.at(entry.request.account));
        refused.push_back({ request, Refusal(ErrorCode::DeadlineExceeded, Ran::No).retryAfter(std::max(wait, internal::minimumRetryDelay)) });
    }
    return refused;
}

std::optional<TimePoint> Admission::nextWake() const
{
    if (this->deadlines.empty())
        return std::nullopt;
    return this->deadlines.begin()->first + Duration(1);
}

bool Admission::mayStart(const Account& account) const
{
    const std::uint32_t limit = account.configuration.maximumConcurrent;
    return this->running.size() < this->limits.concurrent && (limit == 0 || account.inProgress < limit);
}

void Admission::start(Account& account, const AdmissionRequest& request, TimePoint now)
{
    account.virtualTime = std::max(account.virtualTime, this->virtualTime);
    this->virtualTime = account.virtualTime;
    account.virtualTime += request.cost / std::max(account.configuration.weight, internal::minimumWeight);
    ++account.inProgress;
    this->running.emplace(request.request, Running { request.account, now });
}

void Admission::removeWaiting(const Waiting& entry)
{
    this->accounts.at(entry.request.account).queue.erase(entry);
    this->deadlines.erase({ entry.request.deadline, entry.request.request });
    this->waiting.erase(entry.request.request);
}

std::vector<RequestId> Admission::endRunning(std::unordered_map<RequestId, Running>::iterator place, TimePoint now)
{
    --this->accounts.at(place->second.account).inProgress;
    this->running.erase(place);
    return this->startWaiting(now);
}

std::vector<RequestId> Admission::startWaiting(TimePoint now)
{
    std::vector<RequestId> started;
    while (Account* account = this->nextAccount()) {
        const Waiting entry = *account->queue.begin();
        this->removeWaiting(entry);
        this->start(*account, entry.request, now);
        started.push_back(entry.request.request);
    }
    return started;
}

Admission::Account* Admission::nextAccount()
{
    Account* next = nullptr;
    for (auto& [id, account] : this->accounts) {
        if (!account.queue.empty() && this->mayStart(account) && (!next || account.virtualTime < next->virtualTime))
            next = &account;
    }
    return next;
}

Duration Admission::expectedWait(const Account& account) const
{
    double backloggedWeight = account.configuration.weight;
    for (const auto& [id, other] : this->accounts) {
        if (&other != &account && !other.queue.empty())
            backloggedWeight += other.configuration.weight;
    }
    const double share = account.configuration.weight / std::max(backloggedWeight, internal::minimumWeight);
    double slots = share * this->limits.concurrent;
    if (account.configuration.maximumConcurrent != 0)
        slots = std::min<double>(slots, account.configuration.maximumConcurrent);
    const double rounds = static_cast<double>(account.queue.size() + 1) / std::max(slots, internal::minimumWeight);
    return Duration(static_cast<Duration::rep>(rounds * static_cast<double>(this->serviceTime.count())));
}

}
