#ifndef FILBERTSPOKE_PEER_ROSTER_H
#define FILBERTSPOKE_PEER_ROSTER_H

#include <filbertspoke/Configuration>
#include <filbertspoke/Core>

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace filbertspoke {

/** \brief How many gateways a site may have, and how long ago a gateway that could know said so. */
struct SiteSize {
    std::size_t gateways = 0;
    Duration age {};

    auto operator<=>(const SiteSize&) const = default;
};

/** \brief Another gateway as this one knows it. */
struct KnownPeer {
    bool seed = false; ///< named in the settings
    FailureDomainId failureDomain; ///< empty until it has been heard
    std::uint32_t failures = 0; ///< exchanges without an answer, since the last answer
    std::optional<TimePoint> askedAt; ///< when the last exchange began

    auto operator<=>(const KnownPeer&) const = default;
};

/** \brief The gateways of a site, and who speaks with whom.
 *
 * In each failure domain the reachable gateway with the lowest address is the hub: it follows the store for the
 * others and adds up their work. Members speak with their hub, hubs with each other, so that neither the calls to
 * the store nor the traffic between failure domains grow with the number of gateways. Each gateway works out the hub
 * from what it sees itself; two that both think that they are the hub only do work twice.
 */
class PeerTable {
public:
    PeerTable(SocketAddress self, FailureDomainId failureDomain);

    /** \brief Learns that there may be a gateway at the address. */
    void meet(const SocketAddress&);
    /** \brief Learns of a gateway that the settings name. */
    void addSeed(const SocketAddress&);
    /** \brief Takes another gateway's word on the size of the site. */
    void noteReportedSize(const SiteSize&, TimePoint now);
    void notePeerAlive(const SocketAddress&, const FailureDomainId&);
    void noteFailure(const SocketAddress&);
    void noteExchangeStart(const SocketAddress&, TimePoint now);

    /** \returns the hub of the failure domain, which may be this gateway itself, or nothing when none is reachable */
    std::optional<SocketAddress> hub(const FailureDomainId&) const;
    bool isHub() const { return this->hub(this->domain) == this->self; }
    /** \returns whether the gateway at the address is reachable, as far as it is known */
    bool isReachable(const SocketAddress&) const;
    /** \returns the failure domain of the gateway at the address, or nothing */
    std::optional<FailureDomainId> domainOf(const SocketAddress&) const;
    /** \returns the gateways that are to be asked now */
    std::vector<SocketAddress> due(TimePoint now) const;
    /** \returns the addresses of the reachable gateways, without this one */
    std::vector<SocketAddress> reachable() const;
    /** \returns how many gateways are reachable, this one included */
    std::size_t size() const { return this->reachable().size() + 1; }
    /** \returns how many gateways there may be, the unreachable ones and this one included */
    std::size_t known() const { return this->peers.size() + 1; }
    /** \returns how many gateways there may be, or nothing while this one knows too few to tell: it has neither heard
     * from most seeds nor been told by a gateway that knows. Behind a cut only one side can hear from most seeds. */
    std::optional<SiteSize> siteSize(TimePoint now) const;
    /** \returns how many other gateways of this one's failure domain are reachable */
    std::size_t neighbours() const;

private:
    bool isPartner(const SocketAddress&, const KnownPeer&) const;
    bool heardMostSeeds() const;

    SocketAddress self;
    FailureDomainId domain;
    std::map<SocketAddress, KnownPeer> peers;
    std::size_t ownSeeds = 0; ///< 1 when the settings name this gateway itself
    std::size_t toldGateways = 0;
    TimePoint toldAt {}; ///< when the gateway that could know said so
};

}

#endif
