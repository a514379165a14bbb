#include "AdmissionController.h"

#include <algorithm>
#include <chrono>

namespace filbertspoke {

namespace internal {

constexpr double smoothingGain = 1.0 / 16; ///< weight of the latest request in the smoothed times
constexpr Duration minimumRetryDelay = std::chrono::milliseconds(100);
constexpr double minimumSlots = 1e-3; ///< keeps divisions by slots finite
constexpr double minimumCost = 1e-6; ///< keeps divisions by costs finite

void smooth(double& mean, double sample)
{
    mean += (sample - mean) * (mean == 0 ? 1.0 : smoothingGain);
}

Duration microseconds(double value) { return Duration(static_cast<Duration::rep>(value)); }

}

AdmissionController::AdmissionController(const Configuration& configuration, AdmissionLimits limits)
    : limits(limits)
{
    this->configure(configuration);
}

void AdmissionController::configure(const Configuration& configuration)
{
    this->knownAccounts.clear();
    this->accountConfigurations = configuration.accounts();
    for (const AccountConfiguration& account : this->accountConfigurations) {
        this->knownAccounts.insert(account.id);
        for (auto& [id, pool] : this->pools)
            pool.queue.setWeight(account.id, account.weight);
    }
    this->accountLimiter.configure(configuration);
}

void AdmissionController::setLimits(AdmissionLimits newLimits)
{
    this->limits = newLimits;
}

void AdmissionController::setConcurrency(const AdmissionPool& id, std::uint32_t concurrency)
{
    this->pool(id).concurrency = concurrency;
}

AdmissionDecision AdmissionController::offer(const AdmissionRequest& request, TimePoint now)
{
    if (!this->knownAccounts.contains(request.account))
        return Refusal(ErrorCode::UnknownAccount, Ran::No);
    if (const std::optional<Duration> delay = this->accountLimiter.throttle(request.account, now))
        return this->refusal(ErrorCode::AccountLimit, *delay);

    Pool& pool = this->pool(request.pool);
    const std::size_t queuedAhead = pool.queue.queued(request.account);
    if (queuedAhead == 0 && this->hasFreeSlot(pool) && this->accountLimiter.mayStart(request.account, now)) {
        pool.queue.charge(request);
        this->start(request, pool, now);
        return Admitted {};
    }

    const Duration wait = this->expectedWait(request, pool, now);
    if (queuedAhead >= this->limits.queuedPerAccount)
        return this->refusal(ErrorCode::QueueFull, wait);
    const TimePoint expectedEnd = now + wait + this->expectedService(request, pool);
    if (expectedEnd > request.deadline)
        return this->refusal(ErrorCode::DeadlineUnreachable, expectedEnd - request.deadline);

    pool.queue.push(request);
    this->accountLimiter.requestQueued(request.account);
    this->waiting.emplace(request.request, request);
    pool.deadlines.emplace(request.deadline, request.request);
    return Queued { wait };
}

std::vector<RequestId> AdmissionController::finished(const RequestId& id, TimePoint now, std::optional<double> actualCost)
{
    auto entry = this->running.find(id);
    if (entry == this->running.end())
        return {};
    const AdmissionRequest& request = entry->second.request;
    Pool& pool = this->pool(request.pool);
    const auto elapsed = static_cast<double>((now - entry->second.startedAt).count());
    internal::smooth(pool.serviceTime, elapsed);
    internal::smooth(pool.timePerCost, elapsed / std::max(actualCost.value_or(request.cost), internal::minimumCost));
    if (actualCost)
        pool.queue.adjustCharge(request.account, *actualCost - request.cost);
    return this->endRunning(entry, now);
}

std::vector<RequestId> AdmissionController::cancel(const RequestId& id, TimePoint now)
{
    if (auto entry = this->running.find(id); entry != this->running.end())
        return this->endRunning(entry, now);
    if (auto entry = this->waiting.find(id); entry != this->waiting.end())
        this->removeWaiting(AdmissionRequest(entry->second));
    return {};
}

std::vector<RequestId> AdmissionController::startWaiting(TimePoint now)
{
    std::vector<RequestId> started;
    for (auto& [id, pool] : this->pools)
        this->startQueued(pool, now, started);
    return started;
}

std::vector<RefusedRequest> AdmissionController::expire(TimePoint now)
{
    std::vector<RefusedRequest> refused;
    for (auto& [id, pool] : this->pools)
        this->expireQueued(pool, now, refused);
    return refused;
}

std::optional<TimePoint> AdmissionController::nextWake() const
{
    std::optional<TimePoint> earliest;
    for (const auto& [id, pool] : this->pools) {
        if (pool.deadlines.empty())
            continue;
        const auto& [deadline, request] = *pool.deadlines.begin();
        const TimePoint latestStart = deadline - this->expectedService(this->waiting.at(request), pool) + Duration(1);
        earliest = earliest ? std::min(*earliest, latestStart) : latestStart;
    }
    return earliest;
}

AdmissionController::Pool& AdmissionController::pool(const AdmissionPool& id)
{
    auto [entry, isNew] = this->pools.try_emplace(id);
    if (isNew) {
        for (const AccountConfiguration& account : this->accountConfigurations)
            entry->second.queue.setWeight(account.id, account.weight);
    }
    return entry->second;
}

bool AdmissionController::hasFreeSlot(const Pool& pool) const
{
    return pool.inProgress < pool.concurrency.value_or(this->limits.concurrentPerPool);
}

void AdmissionController::start(const AdmissionRequest& request, Pool& pool, TimePoint now)
{
    ++pool.inProgress;
    this->accountLimiter.requestStarted(request.account);
    this->running.emplace(request.request, Running { request, now });
}

void AdmissionController::removeWaiting(const AdmissionRequest& request)
{
    this->pool(request.pool).queue.erase(request);
    this->accountLimiter.requestDequeued(request.account);
    this->pool(request.pool).deadlines.erase({ request.deadline, request.request });
    this->waiting.erase(request.request);
}

std::vector<RequestId> AdmissionController::endRunning(std::unordered_map<RequestId, Running>::iterator entry, TimePoint now)
{
    const AdmissionRequest request = entry->second.request;
    this->running.erase(entry);
    this->accountLimiter.requestFinished(request.account);
    Pool& pool = this->pool(request.pool);
    --pool.inProgress;

    std::vector<RequestId> started;
    this->startQueued(pool, now, started);
    // An account at its concurrency limit may have been waiting for another pool.
    if (started.empty() && this->accountLimiter.concurrencyLimit(request.account, now))
        return this->startWaiting(now);
    return started;
}

void AdmissionController::startQueued(Pool& pool, TimePoint now, std::vector<RequestId>& started)
{
    const auto mayStart = [&](const AccountId& id) { return this->accountLimiter.mayStart(id, now); };
    while (this->hasFreeSlot(pool)) {
        const std::optional<AdmissionRequest> request = pool.queue.pop(mayStart);
        if (!request)
            return;
        this->removeWaiting(*request);
        this->start(*request, pool, now);
        started.push_back(request->request);
    }
}

void AdmissionController::expireQueued(Pool& pool, TimePoint now, std::vector<RefusedRequest>& refused)
{
    while (!pool.deadlines.empty()) {
        const auto& [deadline, id] = *pool.deadlines.begin();
        const AdmissionRequest request = this->waiting.at(id);
        const Duration service = this->expectedService(request, pool);
        if (now + service <= deadline)
            return;
        this->removeWaiting(request);
        refused.push_back({ request.request, this->refusal(ErrorCode::DeadlineUnreachable, this->expectedWait(request, pool, now) + service) });
    }
}

Duration AdmissionController::expectedService(const AdmissionRequest& request, const Pool& pool) const
{
    return internal::microseconds(pool.timePerCost * request.cost);
}

Duration AdmissionController::expectedWait(const AdmissionRequest& request, const Pool& pool, TimePoint now) const
{
    double slots = pool.queue.share(request.account) * pool.concurrency.value_or(this->limits.concurrentPerPool);
    if (const std::optional<std::uint32_t> limit = this->accountLimiter.concurrencyLimit(request.account, now))
        slots = std::min<double>(slots, *limit);
    const double rounds = static_cast<double>(pool.queue.queued(request.account) + 1) / std::max(slots, internal::minimumSlots);
    return internal::microseconds(rounds * pool.serviceTime);
}

Refusal AdmissionController::refusal(ErrorCode code, Duration delay) const
{
    return Refusal(code, Ran::No).retryAfter(std::max(delay, internal::minimumRetryDelay));
}

}
