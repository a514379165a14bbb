#include <filbertspoke/Gateway>

#include <algorithm>
#include <utility>

namespace filbertspoke {

namespace {

// Between two exchanges with a partner; a fifth of a second bounds the age of what is known of others' work.
constexpr Duration partnerPause = std::chrono::milliseconds(200);
// Between two exchanges with a gateway that is no partner, to learn of its coming and going.
constexpr Duration acquaintancePause = std::chrono::seconds(5);
// A gateway that does not answer is tried again after this time.
constexpr Duration unreachablePause = std::chrono::seconds(1);
constexpr std::uint32_t failuresForUnreachable = 2;
// A word on the site's size outlives the longest cuts, of an hour, and hosts that were replaced are forgotten in the end.
constexpr Duration toldLifetime = std::chrono::hours(2);

bool answers(const KnownPeer& peer)
{
    return !peer.failureDomain.empty() && peer.failures < failuresForUnreachable;
}

}

PeerTable::PeerTable(SocketAddress self, FailureDomainId failureDomain)
    : self(std::move(self))
    , domain(std::move(failureDomain))
{
}

void PeerTable::meet(const SocketAddress& address)
{
    if (address != this->self)
        this->peers.try_emplace(address);
}

void PeerTable::addSeed(const SocketAddress& address)
{
    if (address == this->self)
        this->ownSeeds = 1;
    else
        this->peers[address].seed = true;
}

void PeerTable::noteReportedSize(const SiteSize& size, TimePoint now)
{
    const bool expired = now - this->toldAt >= toldLifetime;
    if (expired || size.gateways > this->toldGateways) {
        this->toldGateways = size.gateways;
        this->toldAt = now - size.age;
    } else if (size.gateways == this->toldGateways) {
        this->toldAt = std::max(this->toldAt, now - size.age);
    }
}

bool PeerTable::heardMostSeeds() const
{
    std::size_t seeds = this->ownSeeds;
    std::size_t heard = this->ownSeeds;
    for (const auto& [address, peer] : this->peers) {
        seeds += peer.seed ? 1 : 0;
        heard += peer.seed && !peer.failureDomain.empty() ? 1 : 0;
    }
    return seeds == 0 || 2 * heard > seeds;
}

std::optional<SiteSize> PeerTable::siteSize(TimePoint now) const
{
    const bool told = this->toldGateways > 0 && now - this->toldAt < toldLifetime;
    const bool knows = this->heardMostSeeds();
    if (knows && (!told || this->known() >= this->toldGateways))
        return SiteSize { this->known(), Duration::zero() };
    if (told)
        return SiteSize { std::max(this->known(), this->toldGateways), now - this->toldAt };
    return std::nullopt;
}

void PeerTable::notePeerAlive(const SocketAddress& address, const FailureDomainId& failureDomain)
{
    if (address == this->self)
        return;
    KnownPeer& peer = this->peers[address];
    peer.failureDomain = failureDomain;
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
        peer->second.askedAt = now;
}

std::optional<SocketAddress> PeerTable::hub(const FailureDomainId& failureDomain) const
{
    std::optional<SocketAddress> lowest;
    if (failureDomain == this->domain)
        lowest = this->self;
    for (const auto& [address, peer] : this->peers) {
        if (peer.failureDomain == failureDomain && answers(peer) && (!lowest || address < *lowest))
            lowest = address;
    }
    return lowest;
}

bool PeerTable::isReachable(const SocketAddress& address) const
{
    const auto peer = this->peers.find(address);
    return peer != this->peers.end() && answers(peer->second);
}

std::optional<FailureDomainId> PeerTable::domainOf(const SocketAddress& address) const
{
    const auto peer = this->peers.find(address);
    if (peer == this->peers.end() || peer->second.failureDomain.empty())
        return std::nullopt;
    return peer->second.failureDomain;
}

bool PeerTable::isPartner(const SocketAddress& address, const KnownPeer& peer) const
{
    if (peer.failureDomain.empty())
        return false;
    const bool near = peer.failureDomain == this->domain;
    return this->isHub() ? !near && this->hub(peer.failureDomain) == address : near && this->hub(this->domain) == address;
}

std::vector<SocketAddress> PeerTable::due(TimePoint now) const
{
    std::vector<SocketAddress> asked;
    for (const auto& [address, peer] : this->peers) {
        const bool unheard = peer.failureDomain.empty() || peer.failures >= failuresForUnreachable;
        const Duration pause = unheard ? unreachablePause : this->isPartner(address, peer) ? partnerPause
                                                                                           : acquaintancePause;
        if (!peer.askedAt || now - *peer.askedAt >= pause)
            asked.push_back(address);
    }
    return asked;
}

std::size_t PeerTable::neighbours() const
{
    return static_cast<std::size_t>(std::count_if(this->peers.begin(), this->peers.end(), [this](const auto& entry) {
        return entry.second.failureDomain == this->domain && answers(entry.second);
    }));
}

std::vector<SocketAddress> PeerTable::reachable() const
{
    std::vector<SocketAddress> addresses;
    for (const auto& [address, peer] : this->peers) {
        if (answers(peer))
            addresses.push_back(address);
    }
    return addresses;
}

}
