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

/** \brief Address and failure domain of a gateway. */
struct PeerAddress {
    SocketAddress address;
    FailureDomainId failureDomain; ///< empty when it is unknown

    auto operator<=>(const PeerAddress&) const = default;
};

/** \brief What this gateway knows of a peer. */
struct KnownPeer {
    bool seed = false; ///< whether the settings name it
    bool heard = false; ///< whether the peer itself has sent a message
    FailureDomainId failureDomain; ///< empty until the peer, or a gateway that knows it, has named it
    std::uint32_t failures = 0; ///< consecutive exchanges without a response
    std::optional<TimePoint> lastExchangeAt; ///< when the last exchange started, on either side

    auto operator<=>(const KnownPeer&) const = default;
};

/** \brief The gateways of a site, and with which of them this gateway exchanges state.
 *
 * In each failure domain the reachable gateway with the lowest address is the hub: it reads the store on behalf of the other gateways
 * (the members) and sums up their work. Members exchange state with their hub, and hubs with each other. Therefore neither the calls
 * to the store nor the traffic between failure domains grow with the number of gateways. Each gateway determines the hub from the
 * peers that it can reach itself. Two gateways that both consider themselves the hub only duplicate work.
 *
 * Exchanges with all other gateways only detect which of them are reachable. Their rate is limited for each gateway, whatever the number
 * of gateways, except towards those that would take a hub's place.
 */
class PeerTable {
public:
    PeerTable(SocketAddress self, FailureDomainId failureDomain);

    /** \brief Adds a gateway that another one knows. Its failure domain is taken from there until the gateway has named it itself. */
    void addPeer(const PeerAddress&);
    /** \brief Adds a gateway that the settings name. */
    void addSeed(const SocketAddress&);
    /** \brief Records the size of the site that another gateway reported. */
    void noteReportedSize(const SiteSize&, TimePoint now);
    /** \brief Records a message from the gateway at the address. */
    void notePeerAlive(const SocketAddress&, const FailureDomainId&);
    /** \brief Records an exchange without a response. */
    void noteFailure(const SocketAddress&);
    /** \brief Records the start of an exchange, by this gateway or by the peer. */
    void noteExchangeStart(const SocketAddress&, TimePoint now);

    /** \returns the hub of the failure domain, which may be this gateway itself, or nothing when none is reachable */
    std::optional<SocketAddress> hub(const FailureDomainId&) const;
    /** \returns whether this gateway is the hub of its failure domain */
    bool isHub() const { return this->hub(this->domain) == this->self; }
    /** \returns the number of reachable gateways of the own failure domain with lower addresses, which is 0 for the hub */
    std::size_t rank() const;
    /** \returns whether the gateway at the address is known and reachable */
    bool isReachable(const SocketAddress&) const;
    /** \returns the failure domain of the gateway at the address, or nothing */
    std::optional<FailureDomainId> domainOf(const SocketAddress&) const;
    /** \returns the gateways with which an exchange is due */
    std::vector<SocketAddress> due(TimePoint now) const;
    /** \returns the reachable gateways in the order of their addresses, excluding this one */
    std::vector<PeerAddress> reachable() const;
    /** \returns the number of reachable gateways by failure domain, including this one */
    std::map<FailureDomainId, std::size_t> reachableByDomain() const;
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
    /** \brief The hub of each failure domain, and the number of unresponsive peers. */
    struct Overview {
        std::map<FailureDomainId, SocketAddress> hubs;
        std::size_t unresponsive = 0;
    };

    Overview overview() const;
    /** \returns whether this gateway exchanges state regularly with the hub of the domain: a hub with other hubs, a member with its hub */
    bool hasPartnerIn(const FailureDomainId&, const Overview&) const;
    /** \returns the interval between two exchanges with the peer */
    Duration exchangeInterval(const SocketAddress&, const KnownPeer&, const Overview&) const;
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
