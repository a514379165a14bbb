#include <filbertspoke/Gateway>

#include <algorithm>
#include <cmath>

namespace filbertspoke {

namespace {

// Callers honor a Retry-After of up to a third of their time, which is 30 s by default: those that a burst displaced are back within 10 s.
// Started tokens have decayed to a third by then, and an account without a start for as long counts as inactive.
constexpr Duration memory = std::chrono::seconds(10);
// Smaller differences between accounts are usual. Among accounts of equal size, chance takes one beyond twice its share at under 3% of its starts.
constexpr double tolerance = 2;

}

double AccountShares::decayed(const Started& started, TimePoint now)
{
    const Duration age = std::max<Duration>(now - started.at, Duration::zero());
    return started.tokens * std::exp(-std::chrono::duration<double>(age) / std::chrono::duration<double>(memory));
}

void AccountShares::forgetInactive(TimePoint now)
{
    std::erase_if(this->accounts, [now](const auto& entry) { return now - entry.second.at > memory; });
}

void AccountShares::noteStarted(const AccountId& account, double tokens, TimePoint now)
{
    this->forgetInactive(now);
    Started& started = this->accounts[account];
    started = { decayed(started, now) + tokens, now };
}

bool AccountShares::isBeyondShare(const AccountId& account, TimePoint now)
{
    this->forgetInactive(now);
    const auto own = this->accounts.find(account);
    if (own == this->accounts.end())
        return false;
    double total = 0;
    for (const auto& [other, started] : this->accounts)
        total += decayed(started, now);
    const double equalShare = total / static_cast<double>(this->accounts.size());
    return decayed(own->second, now) > tolerance * equalShare;
}

std::size_t AccountShares::activeAccounts(TimePoint now)
{
    this->forgetInactive(now);
    return this->accounts.size();
}

}
