#include <filbertspoke/Gateway>

#include <algorithm>

namespace filbertspoke {

std::optional<SocketAddress> HandoverTargets::choose(const ServiceId& service, const std::vector<PeerAddress>& reachable, const std::set<SocketAddress>& tried, const FailureDomainId& ownDomain, double draw) const
{
    std::vector<SocketAddress> near;
    std::vector<SocketAddress> far;
    for (const PeerAddress& peer : reachable) {
        const auto entry = this->targets.find(peer.address);
        if (entry == this->targets.end())
            continue;
        const HandoverTarget& target = entry->second;
        if (!tried.contains(target.address) && !target.unreachableServices.contains(service))
            (target.failureDomain == ownDomain ? near : far).push_back(target.address);
    }
    const std::vector<SocketAddress>& candidates = near.empty() ? far : near;
    if (candidates.empty())
        return std::nullopt;
    return candidates[std::min(candidates.size() - 1, static_cast<std::size_t>(draw * static_cast<double>(candidates.size())))];
}

}
