#include <filbertspoke/Gateway>

#include <algorithm>

namespace filbertspoke {

namespace {

// A gateway that is cut off probes an endpoint each 300 ms and needs four connections, so that by its probes alone it does not serve again within a second.
constexpr Duration cutOffLifetime = std::chrono::seconds(1);
// One gateway alone may have lost its path; of two and more, the cause is likely common to the failure domain.
constexpr std::size_t cutOffGatewaysOfADomain = 2;
// Two gateways that decline show that more than one is cut off; each further try would cost the caller time and the service a retry.
constexpr std::size_t declinedHandoversLimit = 2;

}

void HandoverTargets::note(const SocketAddress& peer, HandoverTarget target, TimePoint now)
{
    for (const ServiceId& service : target.unreachableServices)
        this->noteDeclined(target.address, service, now);
    std::erase_if(this->cutOffSince, [&](const auto& entry) {
        return now - entry.second >= cutOffLifetime || (entry.first.first == target.address && !target.unreachableServices.contains(entry.first.second));
    });
    this->targets.insert_or_assign(peer, std::move(target));
}

void HandoverTargets::noteDeclined(const SocketAddress& target, const ServiceId& service, TimePoint now)
{
    this->cutOffSince.insert_or_assign({ target, service }, now);
}

bool HandoverTargets::isCutOff(const SocketAddress& target, const ServiceId& service, TimePoint now) const
{
    const auto since = this->cutOffSince.find({ target, service });
    return since != this->cutOffSince.end() && now - since->second < cutOffLifetime;
}

std::optional<SocketAddress> HandoverTargets::choose(const ServiceId& service, const std::vector<PeerAddress>& reachable, const std::set<SocketAddress>& tried, const FailureDomainId& ownDomain, double draw, TimePoint now) const
{
    std::vector<SocketAddress> near;
    std::vector<SocketAddress> far;
    std::size_t cutOffNear = 0;
    bool declinedNear = false;
    for (const PeerAddress& peer : reachable) {
        const auto entry = this->targets.find(peer.address);
        if (entry == this->targets.end())
            continue;
        const HandoverTarget& target = entry->second;
        const bool sameDomain = target.failureDomain == ownDomain;
        const bool cutOff = this->isCutOff(target.address, service, now);
        cutOffNear += sameDomain && cutOff ? 1 : 0;
        declinedNear = declinedNear || (sameDomain && cutOff && tried.contains(target.address));
        if (!tried.contains(target.address) && !cutOff)
            (sameDomain ? near : far).push_back(target.address);
    }
    const bool preferFar = declinedNear || cutOffNear >= cutOffGatewaysOfADomain;
    const std::vector<SocketAddress>& first = preferFar ? far : near;
    const std::vector<SocketAddress>& candidates = first.empty() ? (preferFar ? near : far) : first;
    if (candidates.empty())
        return std::nullopt;
    return candidates[std::min(candidates.size() - 1, static_cast<std::size_t>(draw * static_cast<double>(candidates.size())))];
}

bool endsHandovers(std::size_t declined, bool notRun)
{
    return notRun && declined >= declinedHandoversLimit;
}

}
