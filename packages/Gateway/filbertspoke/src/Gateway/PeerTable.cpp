#include <filbertspoke/Gateway>

#include <algorithm>
#include <utility>

namespace filbertspoke {

namespace {

// Interval between exchanges with a partner; limits the age of load reports to a fifth of a second.
constexpr Duration partnerInterval = std::chrono::milliseconds(200);
// Shortest interval between exchanges with a gateway that is no partner; they only detect whether it is reachable.
constexpr Duration nonPartnerInterval = std::chrono::seconds(5);
// Interval between any two exchanges with gateways that are no partners. With 1,400 gateways each of them is contacted every 12 minutes.
constexpr Duration nonPartnerSpacing = std::chrono::milliseconds(500);
// Shortest interval between exchanges with a gateway that does not respond or has not been heard from yet.
constexpr Duration unreachableInterval = std::chrono::seconds(1);
// Interval between any two exchanges with gateways that do not respond.
constexpr Duration unreachableSpacing = std::chrono::milliseconds(100);
constexpr std::uint32_t unreachableThreshold = 2;
// Longer than the longest network partitions, which last an hour. The limit ensures that replaced hosts are eventually no longer
// counted.
constexpr Duration reportedSizeLifetime = std::chrono::hours(2);

bool isResponsive(const KnownPeer& peer)
{
    return !peer.failureDomain.empty() && peer.failures < unreachableThreshold;
}

}

PeerTable::PeerTable(SocketAddress self, FailureDomainId failureDomain)
    : self(std::move(self))
    , domain(std::move(failureDomain))
{
}

void PeerTable::addPeer(const PeerAddress& known)
{
    if (known.address == this->self)
        return;
    KnownPeer& peer = this->peers[known.address];
    if (peer.failureDomain.empty())
        peer.failureDomain = known.failureDomain;
}

void PeerTable::addSeed(const SocketAddress& address)
{
    if (address == this->self)
        this->selfSeedCount = 1;
    else
        this->peers[address].seed = true;
}

void PeerTable::noteReportedSize(const SiteSize& size, TimePoint now)
{
    const bool expired = now - this->reportedAt >= reportedSizeLifetime;
    if (expired || size.gateways > this->reportedGateways) {
        this->reportedGateways = size.gateways;
        this->reportedAt = now - size.age;
    } else if (size.gateways == this->reportedGateways) {
        this->reportedAt = std::max(this->reportedAt, now - size.age);
    }
}

bool PeerTable::heardSeedMajority() const
{
    std::size_t seeds = this->selfSeedCount;
    std::size_t heard = this->selfSeedCount;
    for (const auto& [address, peer] : this->peers) {
        seeds += peer.seed ? 1 : 0;
        heard += peer.seed && peer.heard ? 1 : 0;
    }
    return seeds == 0 || 2 * heard > seeds;
}

std::map<FailureDomainId, std::size_t> PeerTable::reachableByDomain() const
{
    std::map<FailureDomainId, std::size_t> gateways { { this->domain, 1 } };
    for (const PeerAddress& peer : this->reachable())
        ++gateways[peer.failureDomain];
    return gateways;
}

std::optional<SiteSize> PeerTable::siteSize(TimePoint now) const
{
    const bool reported = this->reportedGateways > 0 && now - this->reportedAt < reportedSizeLifetime;
    const bool authoritative = this->heardSeedMajority();
    if (authoritative && (!reported || this->known() >= this->reportedGateways))
        return SiteSize { this->known(), Duration::zero() };
    if (reported)
        return SiteSize { std::max(this->known(), this->reportedGateways), now - this->reportedAt };
    return std::nullopt;
}

void PeerTable::notePeerAlive(const SocketAddress& address, const FailureDomainId& failureDomain)
{
    if (address == this->self)
        return;
    KnownPeer& peer = this->peers[address];
    peer.failureDomain = failureDomain;
    peer.heard = true;
    peer.failures = 0;
}

void PeerTable::noteFailure(const SocketAddress& address)
{
    const auto peer = this->peers.find(address);
    if (peer != this->peers.end())
        ++peer->second.failures;
}

void PeerTable::noteExchangeStart(const SocketAddress& address, TimePoint now)
{
    const auto peer = this->peers.find(address);
    if (peer != this->peers.end())
        peer->second.lastExchangeAt = now;
}

std::optional<SocketAddress> PeerTable::hub(const FailureDomainId& failureDomain) const
{
    std::optional<SocketAddress> lowest;
    if (failureDomain == this->domain)
        lowest = this->self;
    for (const auto& [address, peer] : this->peers) {
        if (peer.failureDomain == failureDomain && isResponsive(peer) && (!lowest || address < *lowest))
            lowest = address;
    }
    return lowest;
}

bool PeerTable::isReachable(const SocketAddress& address) const
{
    const auto peer = this->peers.find(address);
    return peer != this->peers.end() && isResponsive(peer->second);
}

std::optional<FailureDomainId> PeerTable::domainOf(const SocketAddress& address) const
{
    const auto peer = this->peers.find(address);
    if (peer == this->peers.end() || peer->second.failureDomain.empty())
        return std::nullopt;
    return peer->second.failureDomain;
}

PeerTable::Overview PeerTable::overview() const
{
    Overview overview;
    overview.hubs.emplace(this->domain, this->self);
    for (const auto& [address, peer] : this->peers) {
        if (!isResponsive(peer)) {
            ++overview.unresponsive;
            continue;
        }
        const auto [hub, added] = overview.hubs.emplace(peer.failureDomain, address);
        if (address < hub->second)
            hub->second = address;
    }
    return overview;
}

bool PeerTable::hasPartnerIn(const FailureDomainId& failureDomain, const Overview& overview) const
{
    const bool sameDomain = failureDomain == this->domain;
    const bool hub = overview.hubs.at(this->domain) == this->self;
    // The partners of a hub are the hubs of other domains; the partner of a member is the hub of its own.
    return hub != sameDomain;
}

Duration PeerTable::exchangeInterval(const SocketAddress& address, const KnownPeer& peer, const Overview& overview) const
{
    const auto hub = overview.hubs.find(peer.failureDomain);
    if (!isResponsive(peer)) {
        const bool wouldBeHub = hub == overview.hubs.end() || address < hub->second;
        const bool awaited = peer.seed || (wouldBeHub && (peer.failureDomain == this->domain || this->hasPartnerIn(peer.failureDomain, overview)));
        return awaited ? unreachableInterval : std::max<Duration>(unreachableInterval, unreachableSpacing * overview.unresponsive);
    }
    if (address == hub->second && this->hasPartnerIn(peer.failureDomain, overview))
        return partnerInterval;
    // The size of the site is known only once most seeds have been heard from.
    const bool awaited = peer.seed && !peer.heard;
    return awaited ? unreachableInterval : std::max<Duration>(nonPartnerInterval, nonPartnerSpacing * (this->peers.size() - overview.unresponsive));
}

std::vector<SocketAddress> PeerTable::due(TimePoint now) const
{
    const Overview overview = this->overview();
    std::vector<SocketAddress> addresses;
    for (const auto& [address, peer] : this->peers) {
        if (!peer.lastExchangeAt || now - *peer.lastExchangeAt >= this->exchangeInterval(address, peer, overview))
            addresses.push_back(address);
    }
    return addresses;
}

std::size_t PeerTable::neighbours() const
{
    return static_cast<std::size_t>(std::count_if(this->peers.begin(), this->peers.end(), [this](const auto& entry) {
        return entry.second.failureDomain == this->domain && isResponsive(entry.second);
    }));
}

std::size_t PeerTable::rank() const
{
    return static_cast<std::size_t>(std::count_if(this->peers.begin(), this->peers.end(), [this](const auto& entry) {
        return entry.second.failureDomain == this->domain && entry.first < this->self && isResponsive(entry.second);
    }));
}

std::vector<PeerAddress> PeerTable::reachable() const
{
    std::vector<PeerAddress> addresses;
    for (const auto& [address, peer] : this->peers) {
        if (isResponsive(peer))
            addresses.push_back({ address, peer.failureDomain });
    }
    return addresses;
}

}
