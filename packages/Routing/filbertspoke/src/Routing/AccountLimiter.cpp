#include "AccountLimiter.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace filbertspoke {

namespace internal {

constexpr Duration demandWindow = std::chrono::milliseconds(500); ///< time constant of the smoothed demand
constexpr Duration demandLifetime = std::chrono::seconds(3); ///< a peer that is silent longer counts as unheard
constexpr Duration longestPromise = std::chrono::seconds(30);
constexpr double demandFloor = 0.05; ///< part of an even share that a daemon keeps without any demand
constexpr double burstSeconds = 1; ///< of the account's rate that may pass at once

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

Duration fromSeconds(double value) { return Duration(static_cast<Duration::rep>(value * 1e6)); }

}

void AccountLimiter::configure(const Configuration& configuration)
{
    for (const AccountConfiguration& account : configuration.accounts())
        this->accounts[account.id].configuration = account;
    std::erase_if(this->accounts, [&](const auto& entry) {
        return !configuration.findAccount(entry.first) && entry.second.waiting + entry.second.inProgress == 0;
    });
}

void AccountLimiter::setDaemons(std::uint32_t count)
{
    this->daemons = std::max<std::uint32_t>(count, 1);
}

void AccountLimiter::updatePeerDemand(const DaemonId& id, const std::vector<AccountDemand>& demands, TimePoint now)
{
    Peer& peer = this->peers[id];
    peer.heardAt = now;
    peer.demands.clear();
    for (const AccountDemand& demand : demands)
        peer.demands.emplace(demand.account, demand);
}

void AccountLimiter::forgetPeer(const DaemonId& id)
{
    this->peers.erase(id);
}

std::vector<AccountDemand> AccountLimiter::demand(TimePoint now) const
{
    std::vector<AccountDemand> demands;
    for (const auto& [id, account] : this->accounts) {
        const bool limited = account.configuration.requestsPerSecond > 0 || account.configuration.maximumConcurrent > 0;
        const double rate = this->decayedRate(account, now);
        if (limited && (rate > 0 || account.waiting + account.inProgress > 0))
            demands.push_back({ id, rate, account.waiting + account.inProgress });
    }
    return demands;
}

std::optional<Duration> AccountLimiter::take(const AccountId& id, TimePoint now)
{
    auto place = this->accounts.find(id);
    if (place == this->accounts.end())
        return std::nullopt;
    Account& account = place->second;
    account.offeredRate = this->decayedRate(account, now) + 1 / internal::seconds(internal::demandWindow);
    account.offeredAt = now;
    if (account.configuration.requestsPerSecond <= 0)
        return std::nullopt;

    const double rate = account.configuration.requestsPerSecond * this->rateShare(account, now);
    const double burst = std::max(1.0, rate * internal::burstSeconds);
    const bool first = account.refilledAt == TimePoint();
    account.tokens = first ? burst : std::min(burst, account.tokens + rate * internal::seconds(now - account.refilledAt));
    account.refilledAt = now;
    if (account.tokens >= 1) {
        account.tokens -= 1;
        return std::nullopt;
    }
    const TimePoint nextToken = now + internal::fromSeconds((1 - account.tokens) / rate);
    const TimePoint afterOthers = account.promised + internal::fromSeconds(1 / rate);
    account.promised = std::min(std::max(nextToken, afterOthers), now + internal::longestPromise);
    return account.promised - now;
}

bool AccountLimiter::mayStart(const AccountId& id, TimePoint now) const
{
    const std::optional<std::uint32_t> limit = this->concurrency(id, now);
    return !limit || this->accounts.at(id).inProgress < *limit;
}

std::optional<std::uint32_t> AccountLimiter::concurrency(const AccountId& id, TimePoint now) const
{
    auto place = this->accounts.find(id);
    if (place == this->accounts.end() || place->second.configuration.maximumConcurrent == 0)
        return std::nullopt;
    const Account& account = place->second;
    const double limit = account.configuration.maximumConcurrent;
    const double demand = account.waiting + account.inProgress;
    const auto inProgress = [](const AccountDemand& peer) { return static_cast<double>(peer.inProgress); };
    const double part = limit * this->share(account, demand, limit / this->daemons, inProgress, now);
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::lround(part)));
}

void AccountLimiter::queued(const AccountId& id) { ++this->accounts[id].waiting; }

void AccountLimiter::unqueued(const AccountId& id) { --this->accounts[id].waiting; }

void AccountLimiter::started(const AccountId& id) { ++this->accounts[id].inProgress; }

void AccountLimiter::finished(const AccountId& id) { --this->accounts[id].inProgress; }

double AccountLimiter::decayedRate(const Account& account, TimePoint now) const
{
    return account.offeredRate * std::exp(-internal::seconds(now - account.offeredAt) / internal::seconds(internal::demandWindow));
}

template <typename Measure>
double AccountLimiter::share(const Account& account, double ownDemand, double evenDemand, const Measure& measure, TimePoint now) const
{
    const double floor = evenDemand * internal::demandFloor;
    double heardDemand = ownDemand + floor;
    std::uint32_t heard = 1;
    for (const auto& [id, peer] : this->peers) {
        if (now - peer.heardAt > internal::demandLifetime || heard >= this->daemons)
            continue;
        ++heard;
        auto demand = peer.demands.find(account.configuration.id);
        heardDemand += floor + (demand == peer.demands.end() ? 0 : measure(demand->second));
    }
    const double heardPart = static_cast<double>(heard) / this->daemons;
    return heardPart * (ownDemand + floor) / heardDemand;
}

double AccountLimiter::rateShare(const Account& account, TimePoint now) const
{
    const auto rate = [](const AccountDemand& peer) { return peer.requestsPerSecond; };
    const double even = account.configuration.requestsPerSecond / this->daemons;
    return this->share(account, this->decayedRate(account, now), even, rate, now);
}

}
