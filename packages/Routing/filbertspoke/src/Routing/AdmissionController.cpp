#include "AdmissionController.h"

#include <algorithm>
#include <chrono>

namespace filbertspoke {

namespace internal {

constexpr double serviceGain = 1.0 / 16; ///< part by which one request moves the smoothed times
constexpr Duration shortestRetryDelay = std::chrono::milliseconds(100);
constexpr double fewestSlots = 1e-3; ///< keeps divisions by slots finite
constexpr double leastCost = 1e-6; ///< keeps divisions by costs finite

void smooth(double& mean, double sample)
{
    mean += (sample - mean) * (mean == 0 ? 1.0 : serviceGain);
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
    if (const std::optional<Duration> delay = this->accountLimiter.take(request.account, now))
        return this->refusal(ErrorCode::AccountLimit, *delay);

    Pool& pool = this->pool(request.pool);
    const std::size_t ahead = pool.queue.queued(request.account);
    if (ahead == 0 && this->hasRoom(pool) && this->accountLimiter.mayStart(request.account, now)) {
        pool.queue.charge(request);
        this->start(request, pool, now);
        return Admitted {};
    }

    const Duration wait = this->expectedWait(request, pool, now);
    if (ahead >= this->limits.queuedPerAccount)
        return this->refusal(ErrorCode::QueueFull, wait);
    const TimePoint expectedEnd = now + wait + this->expectedService(request, pool);
    if (expectedEnd > request.deadline)
        return this->refusal(ErrorCode::DeadlineUnreachable, expectedEnd - request.deadline);

    pool.queue.push(request);
    this->accountLimiter.queued(request.account);
    this->waiting.emplace(request.request, request);
    pool.deadlines.emplace(request.deadline, request.request);
    return Queued { wait };
}

std::vector<RequestId> AdmissionController::finished(const RequestId& id, TimePoint now, std::optional<double> usedCost)
{
    auto place = this->running.find(id);
    if (place == this->running.end())
        return {};
    const AdmissionRequest& request = place->second.request;
    Pool& pool = this->pool(request.pool);
    const auto taken = static_cast<double>((now - place->second.startedAt).count());
    internal::smooth(pool.serviceTime, taken);
    internal::smooth(pool.timePerCost, taken / std::max(usedCost.value_or(request.cost), internal::leastCost));
    if (usedCost)
        pool.queue.correct(request.account, *usedCost - request.cost);
    return this->endRunning(place, now);
}

std::vector<RequestId> AdmissionController::cancel(const RequestId& id, TimePoint now)
{
    if (auto place = this->running.find(id); place != this->running.end())
        return this->endRunning(place, now);
    if (auto place = this->waiting.find(id); place != this->waiting.end())
        this->removeWaiting(AdmissionRequest(place->second));
    return {};
}

std::vector<RequestId> AdmissionController::startWaiting(TimePoint now)
{
    std::vector<RequestId> started;
    for (auto& [id, pool] : this->pools)
        this->startFrom(pool, now, started);
    return started;
}

std::vector<RefusedRequest> AdmissionController::expire(TimePoint now)
{
    std::vector<RefusedRequest> refused;
    for (auto& [id, pool] : this->pools)
        this->expireFrom(pool, now, refused);
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
    auto [place, isNew] = this->pools.try_emplace(id);
    if (isNew) {
        for (const AccountConfiguration& account : this->accountConfigurations)
            place->second.queue.setWeight(account.id, account.weight);
    }
    return place->second;
}

bool AdmissionController::hasRoom(const Pool& pool) const
{
    return pool.inProgress < pool.concurrency.value_or(this->limits.concurrent);
}

void AdmissionController::start(const AdmissionRequest& request, Pool& pool, TimePoint now)
{
    ++pool.inProgress;
    this->accountLimiter.started(request.account);
    this->running.emplace(request.request, Running { request, now });
}

void AdmissionController::removeWaiting(const AdmissionRequest& request)
{
    this->pool(request.pool).queue.erase(request);
    this->accountLimiter.unqueued(request.account);
    this->pool(request.pool).deadlines.erase({ request.deadline, request.request });
    this->waiting.erase(request.request);
}

std::vector<RequestId> AdmissionController::endRunning(std::unordered_map<RequestId, Running>::iterator place, TimePoint now)
{
    const AdmissionRequest request = place->second.request;
    this->running.erase(place);
    this->accountLimiter.finished(request.account);
    Pool& pool = this->pool(request.pool);
    --pool.inProgress;

    std::vector<RequestId> started;
    this->startFrom(pool, now, started);
    // An account at its concurrency limit may have been waiting for another pool.
    if (started.empty() && this->accountLimiter.concurrency(request.account, now))
        return this->startWaiting(now);
    return started;
}

void AdmissionController::startFrom(Pool& pool, TimePoint now, std::vector<RequestId>& started)
{
    const auto mayStart = [&](const AccountId& id) { return this->accountLimiter.mayStart(id, now); };
    while (this->hasRoom(pool)) {
        const std::optional<AdmissionRequest> request = pool.queue.pop(mayStart);
        if (!request)
            return;
        this->removeWaiting(*request);
        this->start(*request, pool, now);
        started.push_back(request->request);
    }
}

void AdmissionController::expireFrom(Pool& pool, TimePoint now, std::vector<RefusedRequest>& refused)
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
    double slots = pool.queue.share(request.account) * pool.concurrency.value_or(this->limits.concurrent);
    if (const std::optional<std::uint32_t> limit = this->accountLimiter.concurrency(request.account, now))
        slots = std::min<double>(slots, *limit);
    const double rounds = static_cast<double>(pool.queue.queued(request.account) + 1) / std::max(slots, internal::fewestSlots);
    return internal::microseconds(rounds * pool.serviceTime);
}

Refusal AdmissionController::refusal(ErrorCode code, Duration delay) const
{
    return Refusal(code, Ran::No).retryAfter(std::max(delay, internal::shortestRetryDelay));
}

}
