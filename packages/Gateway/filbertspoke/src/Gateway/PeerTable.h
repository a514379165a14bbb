#ifndef FILBERTSPOKE_PEER_TABLE_H
#define FILBERTSPOKE_PEER_TABLE_H

#include <filbertspoke/Configuration>
#include <filbertspoke/Core>

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace filbertspoke {

/** \brief Number of gateways of a site, and the age of this information. */
struct SiteSize {
    std::size_t gateways = 0; ///< reachable or not
    Duration age {}; ///< since a gateway that had heard from most seeds reported it

    auto operator<=>(const SiteSize&) const = default;
};

/** \brief What this gateway knows of a peer. */
struct KnownPeer {
    bool seed = false; ///< whether the settings name it
    FailureDomainId failureDomain; ///< empty until the peer has been heard from
    std::uint32_t failures = 0; ///< consecutive exchanges without a response
    std::optional<TimePoint> lastExchangeAt; ///< when the last exchange started

    auto operator<=>(const KnownPeer&) const = default;
};

/** \brief The gateways of a site, and with which of them this gateway exchanges state.
 *
 * In each failure domain the reachable gateway with the lowest address is the hub: it reads the store on behalf of the other gateways
 * (the members) and sums up their work. Members exchange state with their hub, and hubs with each other. Therefore neither the calls
 * to the store nor the traffic between failure domains grow with the number of gateways. Each gateway determines the hub from the
 * peers that it can reach itself. Two gateways that both consider themselves the hub only duplicate work.
 */
class PeerTable {
public:
    PeerTable(SocketAddress self, FailureDomainId failureDomain);

    /** \brief Adds the address of a possible gateway. */
    void addPeer(const SocketAddress&);
    /** \brief Adds a gateway that the settings name. */
    void addSeed(const SocketAddress&);
    /** \brief Records the size of the site that another gateway reported. */
    void noteReportedSize(const SiteSize&, TimePoint now);
    /** \brief Records a message from the gateway at the address. */
    void notePeerAlive(const SocketAddress&, const FailureDomainId&);
    /** \brief Records an exchange without a response. */
    void noteFailure(const SocketAddress&);
    /** \brief Records the start of an exchange. */
    void noteExchangeStart(const SocketAddress&, TimePoint now);

    /** \returns the hub of the failure domain, which may be this gateway itself, or nothing when none is reachable */
    std::optional<SocketAddress> hub(const FailureDomainId&) const;
    /** \returns whether this gateway is the hub of its failure domain */
    bool isHub() const { return this->hub(this->domain) == this->self; }
    /** \returns whether the gateway at the address is known and reachable */
    bool isReachable(const SocketAddress&) const;
    /** \returns the failure domain of the gateway at the address, or nothing */
    std::optional<FailureDomainId> domainOf(const SocketAddress&) const;
    /** \returns the gateways with which an exchange is due */
    std::vector<SocketAddress> due(TimePoint now) const;
    /** \returns the addresses of the reachable gateways, excluding this one */
    std::vector<SocketAddress> reachable() const;
    /** \returns the number of reachable gateways, including this one */
    std::size_t size() const { return this->reachable().size() + 1; }
    /** \returns the number of known gateways, including the unreachable ones and this one */
    std::size_t known() const { return this->peers.size() + 1; }
    /** \returns the number of gateways of the site, or nothing while this gateway has neither heard from most seeds nor received the
     * number from a gateway that had
     *
     * A majority of the seeds is required because during a network partition at most one side can reach it. */
    std::optional<SiteSize> siteSize(TimePoint now) const;
    /** \returns the number of other reachable gateways in the failure domain of this gateway */
    std::size_t neighbours() const;

private:
    /** \returns whether this gateway exchanges state with the peer regularly: a hub with other hubs, a member with its hub */
    bool isPartner(const SocketAddress&, const KnownPeer&) const;
    bool heardSeedMajority() const;

    SocketAddress self;
    FailureDomainId domain;
    std::map<SocketAddress, KnownPeer> peers;
    std::size_t selfSeedCount = 0; ///< 1 when this gateway is a seed itself
    std::size_t reportedGateways = 0; ///< size of the site as reported by other gateways; 0 for none
    TimePoint reportedAt {}; ///< when a gateway that had heard from most seeds determined reportedGateways
};

}

#endif
