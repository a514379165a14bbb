#include <filbertspoke/Gateway>

#include <cstddef>

namespace filbertspoke {

namespace {

// Engines that crashed for a common cause did so within this time.
constexpr Duration burstLength = std::chrono::milliseconds(300);
// Two engines are lost within 300 ms on sites with many crashes by chance, and by a prompt part of which two requests are in progress.
constexpr std::ptrdiff_t burstCrashes = 3;
// Gateways learn the time of a crash up to this much too late or too early from each other.
constexpr Duration clockTolerance = std::chrono::milliseconds(25);
// After this time at most, the first engine of a chain answers that it has lost a later one.
constexpr Duration noticeTime = std::chrono::milliseconds(300);
// That of a quarantine, which rests on the crashes.
constexpr Duration crashLifetime = std::chrono::minutes(10);
constexpr std::size_t maximumCrashes = 4096;

}

void CrashTimes::note(const EndpointRun& run, TimePoint at, TimePoint sentAt)
{
    const Crash crash { at, sentAt < at };
    const auto known = this->crashes.find(run);
    if (known != this->crashes.end()) {
        const bool better = crash.exact ? !known->second.exact || at < known->second.at : !known->second.exact && at > known->second.at;
        if (!better)
            return;
        this->erase(known);
    } else if (this->crashes.size() >= maximumCrashes) {
        this->erase(this->crashes.find(this->byTime.begin()->second));
    }
    this->crashes.emplace(run, crash);
    this->byTime.emplace(at, run);
}

std::optional<CrashInterval> CrashTimes::when(const EndpointRun& run) const
{
    const auto entry = this->crashes.find(run);
    if (entry == this->crashes.end())
        return std::nullopt;
    const Crash& crash = entry->second;
    return CrashInterval { crash.at, crash.exact ? crash.at : crash.at + noticeTime };
}

bool CrashTimes::isAfterCrash(const EndpointRun& run, TimePoint sentAt) const
{
    const auto crash = this->crashes.find(run);
    return crash != this->crashes.end() && crash->second.exact && sentAt > crash->second.at + clockTolerance;
}

bool CrashTimes::areTogether(TimePoint first, TimePoint second) const
{
    for (auto start = this->byTime.lower_bound({ second - burstLength, {} }); start != this->byTime.end() && start->first <= first; ++start) {
        auto last = start;
        for (std::ptrdiff_t further = 1; further < burstCrashes && last != this->byTime.end(); ++further)
            ++last;
        if (last != this->byTime.end() && last->first <= start->first + burstLength)
            return true;
    }
    return false;
}

std::vector<EndpointRun> CrashTimes::around(TimePoint time) const
{
    std::vector<EndpointRun> runs;
    for (auto crash = this->byTime.lower_bound({ time - burstLength, {} }); crash != this->byTime.end() && crash->first <= time + burstLength; ++crash)
        runs.push_back(crash->second);
    return runs;
}

void CrashTimes::forget(TimePoint now)
{
    while (!this->byTime.empty() && now - this->byTime.begin()->first >= crashLifetime)
        this->erase(this->crashes.find(this->byTime.begin()->second));
}

void CrashTimes::erase(std::map<EndpointRun, Crash>::iterator crash)
{
    this->byTime.erase({ crash->second.at, crash->first });
    this->crashes.erase(crash);
}

}
