#include <filbertspoke/Gateway>

#include <algorithm>

namespace filbertspoke {

namespace {

// Distinct endpoints that must be unreachable within the window; one or two may be lost by themselves.
constexpr std::size_t suspectThreshold = 2;
constexpr std::size_t cutOffThreshold = 5;
// Longer than the timeout of several connections one after the other.
constexpr Duration failureWindow = std::chrono::seconds(4);
constexpr std::size_t probesWhenSuspect = cutOffThreshold - suspectThreshold;
// Interval between probes; longer than the timeout of a connection to an endpoint, so that each probe has its result.
constexpr Duration probeInterval = std::chrono::milliseconds(300);
// Connections in a row that must be accepted after a partition.
constexpr unsigned requiredConfirmations = 4;

}

std::string_view name(Reachability reachability)
{
    switch (reachability) {
    case Reachability::Reachable:
        return "reachable";
    case Reachability::Suspect:
        return "suspect";
    case Reachability::CutOff:
        return "cut-off";
    }
    return {};
}

bool EndpointReachability::noteConnected()
{
    if (this->current == Reachability::CutOff && ++this->confirmations < requiredConfirmations)
        return false;
    const bool changed = this->current != Reachability::Reachable;
    this->current = Reachability::Reachable;
    this->failures.clear();
    this->confirmations = 0;
    return changed;
}

bool EndpointReachability::noteUnreachable(const EndpointId& endpoint, std::size_t endpoints, TimePoint now)
{
    this->confirmations = 0;
    this->failures.insert_or_assign(endpoint, now);
    std::erase_if(this->failures, [now](const auto& failure) { return now - failure.second >= failureWindow; });
    if (this->current == Reachability::CutOff)
        return false;
    const Reachability before = this->current;
    if (this->failures.size() >= std::min(cutOffThreshold, endpoints))
        this->current = Reachability::CutOff;
    else if (this->failures.size() >= suspectThreshold)
        this->current = Reachability::Suspect;
    return this->current != before;
}

std::size_t EndpointReachability::takeProbes(TimePoint now)
{
    if (this->current == Reachability::Reachable || now - this->probedAt < probeInterval)
        return 0;
    this->probedAt = now;
    return this->current == Reachability::Suspect ? probesWhenSuspect : 1;
}

bool EndpointReachability::takeSilenceProbe(const EndpointId& endpoint, TimePoint now)
{
    std::erase_if(this->silenceProbes, [now](const auto& probe) { return now - probe.second >= probeInterval; });
    return this->silenceProbes.emplace(endpoint, now).second;
}

double EndpointReachability::ownShare() const
{
    if (this->current == Reachability::Reachable)
        return 1;
    return static_cast<double>(this->confirmations) / requiredConfirmations;
}

}
