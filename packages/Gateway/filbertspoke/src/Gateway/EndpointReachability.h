#ifndef FILBERTSPOKE_ENDPOINT_REACHABILITY_H
#define FILBERTSPOKE_ENDPOINT_REACHABILITY_H

#include <filbertspoke/Core>

#include <cstddef>
#include <map>
#include <string_view>

namespace filbertspoke {

/** \brief What a daemon believes of its own paths to the endpoints of a service. */
enum class Reachability {
    Reachable,
    Suspect, ///< several endpoints were unreachable and none has accepted a connection since
    CutOff, ///< endpoints that had shown no fault don't accept connections either
};

/** \returns the name for log lines */
std::string_view name(Reachability);

/** \brief Tells whether this daemon is cut off from the endpoints of one service, rather than the endpoints being lost.
 *
 * Load pattern: a daemon is partitioned from all endpoints for some seconds, while callers, the store and the other daemons still reach it. It would go
 * on taking requests that it can't serve, spend retries on them and tell other daemons that sound endpoints are unreachable.
 *
 * Only new connections count as evidence that endpoints are reachable or not: during some partitions, old ones live on while new ones are refused, and an
 * endpoint that is silent for a moment still accepts connections. An endpoint that is silent is probed, since a request that must not be repeated would otherwise tell nothing until its deadline. When several endpoints fail, others are probed, so that the loss of a few endpoints is told from a partition. After a partition, the daemon sends a share
 * of the requests itself that grows with each connection which an endpoint accepts.
 *
 * Does no input or output.
 */
class EndpointReachability {
public:
    /** \brief Records that an endpoint accepted a new connection.
     * \returns whether the state changed */
    bool noteConnected();
    /** \brief Records that an endpoint accepted no connection.
     * \param endpoints number of the service's endpoints
     * \returns whether the state changed */
    bool noteUnreachable(const EndpointId&, std::size_t endpoints, TimePoint now);

    Reachability state() const { return this->current; }
    /** \returns the number of endpoints to which a connection is to be tried now; they count as being tried */
    std::size_t takeProbes(TimePoint now);
    /** \returns whether a connection to the endpoint, at which a request is without a response, is to be tried now; it counts as being tried */
    bool takeSilenceProbe(const EndpointId&, TimePoint now);
    /** \returns whether the last failures include the endpoint, so that another one tells more */
    bool hasFailed(const EndpointId& endpoint) const { return this->failures.contains(endpoint); }
    /** \returns the share of the requests that this daemon sends to endpoints itself, from 0 to 1 */
    double ownShare() const;

private:
    Reachability current = Reachability::Reachable;
    std::map<EndpointId, TimePoint> failures; ///< since an endpoint last accepted a connection
    unsigned confirmations = 0; ///< connections accepted in a row while cut off
    TimePoint probedAt;
    std::map<EndpointId, TimePoint> silenceProbes; ///< when a connection was last tried because of a silence
};

}

#endif
