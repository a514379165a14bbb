#include "ProbeTable.h"

#include <algorithm>
#include <cstddef>

namespace filbertspoke::internal {

namespace {

constexpr std::size_t maximumRelays = 1024;

}

ProbeTable::ProbeTable(const PeerDirectorySettings& settings)
    : settings(settings)
{
}

std::uint64_t ProbeTable::open(const DaemonId& target, bool askOthers, TimePoint now)
{
    this->probes.push_back({ target, ++this->lastSequence, now, askOthers });
    return this->lastSequence;
}

std::optional<std::uint64_t> ProbeTable::openRelay(const ListedDaemon& requester, std::uint64_t requested, TimePoint now)
{
    if (this->relays.size() >= maximumRelays)
        return std::nullopt;
    this->relays.push_back({ requester, requested, ++this->lastSequence, now });
    return this->lastSequence;
}

void ProbeTable::answered(const DaemonId& target, std::uint64_t sequence)
{
    std::erase_if(this->probes, [&](const OpenProbe& probe) { return probe.sequence == sequence && probe.target == target; });
}

std::optional<Relay> ProbeTable::takeRelay(std::uint64_t sequence)
{
    const auto entry = std::find_if(this->relays.begin(), this->relays.end(),
        [&](const Relay& relay) { return relay.sequence == sequence; });
    if (entry == this->relays.end())
        return std::nullopt;
    const Relay relay = *entry;
    this->relays.erase(entry);
    return relay;
}

std::vector<OpenProbe> ProbeTable::takeFailed(TimePoint now)
{
    const auto isExpired = [&](const auto& entry) { return now >= entry.sent + this->settings.probeInterval; };
    std::erase_if(this->relays, isExpired);
    std::vector<OpenProbe> failed;
    std::copy_if(this->probes.begin(), this->probes.end(), std::back_inserter(failed), isExpired);
    std::erase_if(this->probes, isExpired);
    return failed;
}

std::vector<OpenProbe> ProbeTable::takeSlow(TimePoint now)
{
    std::vector<OpenProbe> slow;
    for (OpenProbe& probe : this->probes) {
        if (!probe.askOthers || now < probe.sent + this->settings.probeTimeout)
            continue;
        probe.askOthers = false;
        slow.push_back(probe);
    }
    return slow;
}

void ProbeTable::clear()
{
    this->probes.clear();
    this->relays.clear();
}

std::optional<TimePoint> ProbeTable::nextWake() const
{
    std::optional<TimePoint> wake;
    for (const OpenProbe& probe : this->probes) {
        const TimePoint due = probe.sent + (probe.askOthers ? this->settings.probeTimeout : this->settings.probeInterval);
        wake = std::min(wake.value_or(due), due);
    }
    return wake;
}

}
