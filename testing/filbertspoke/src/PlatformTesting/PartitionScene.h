#ifndef FILBERTSPOKE_PARTITION_SCENE_H
#define FILBERTSPOKE_PARTITION_SCENE_H

#include "EndpointLink.h"
#include "GatewayScene.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace filbertspoke {

/** \brief What became of a caller's request. */
enum class CallEnd {
    Pending,
    Served,
    Refused, ///< the gateway answered that it has not run, or may have run
    Unread, ///< the connection was closed before any answer
    BrokenOff, ///< the connection was closed within the answer
};

/** \brief A caller's first try at one of the gateways. */
struct PlacedCall {
    std::size_t gateway = 0;
    std::string path;
    std::string id;
    std::chrono::steady_clock::time_point sentAt;
    std::unique_ptr<RawCaller> caller;

    CallEnd end() const;
};

/** \brief How many of the first tries at some gateways were served. */
struct ServedCount {
    std::size_t served = 0;
    std::size_t sent = 0;

    double share() const { return this->sent == 0 ? 0 : static_cast<double>(this->served) / static_cast<double>(this->sent); }
    auto operator<=>(const ServedCount&) const = default;
};

/** \brief How often a request reached endpoints. */
struct ArrivalCount {
    std::size_t requests = 0;
    std::size_t endpoints = 0; ///< that it reached at least once

    auto operator<=>(const ArrivalCount&) const = default;
};

/** \brief Gateway processes in several failure domains, each of which reaches the same endpoints over links of its own.
 *
 * Gateways of one domain get the list of endpoints from their hub, so that they share their links. Callers, the stores and the other gateways reach a
 * gateway whose links are partitioned.
 */
class PartitionScene {
public:
    /** \brief Starts a gateway in each of the failure domains, of which one may occur several times, and waits until all are ready.
     * \param retryRatio retries that a gateway saves up for with each request */
    explicit PartitionScene(const std::vector<std::string>& failureDomains, double retryRatio = 0.2);
    ~PartitionScene();

    /** \brief Sets the links between the gateways of the failure domain and all endpoints. */
    void setLinks(const std::string& failureDomain, LinkState);
    /** \brief Sends a request: a generation ("/chat/"), a booking ("/book/") or a look-up ("/stock/"). */
    PlacedCall call(std::size_t gateway, const std::string& path);
    /** \brief Sends requests at all gateways that run, each time one at each, for the paths in turn. */
    std::vector<PlacedCall> callAll(std::chrono::milliseconds duration, std::chrono::milliseconds interval = std::chrono::milliseconds(25), const std::vector<std::string>& paths = { "/chat/x", "/book/x", "/stock/x" });
    /** \brief Waits until each of the requests has an answer or its connection is closed. */
    void awaitEnds(const std::vector<PlacedCall>&);
    /** \returns how often, and how many endpoints, the request reached */
    ArrivalCount arrivals(const std::string& id) const;
    /** \returns how many connections to endpoints ended before their answer was whole */
    int abandoned() const;
    /** \brief Ends the gateway's process at once. */
    void kill(std::size_t gateway);

    bool await(const std::function<bool()>& condition) { return runUntil(this->context, condition); }

    /** \brief Ends all gateways.
     * \returns what they wrote on the request */
    std::string logOf(const std::string& id);

    std::chrono::milliseconds eventPause { 5 }; ///< between the events of a generation
    int eventsOfAStream = 6;

    struct Gateway {
        GatewayText text;
        std::unique_ptr<Process> process;
    };
    std::vector<Gateway> gateways;

private:
    /** \brief What the gateways of one failure domain reach. */
    struct Domain {
        std::unique_ptr<StoreStandIn> store;
        std::map<std::string, std::unique_ptr<EndpointLink>> links; ///< by endpoint
    };

    void addDomain(const std::string& failureDomain);
    ReplicaScript answer(const HttpRequest&) const;

    boost::asio::io_context context;
    std::map<std::string, std::unique_ptr<ReplicaStandIn>> endpoints;
    std::map<std::string, Domain> domains;
    std::size_t calls = 0;
    std::string log; ///< of the gateways that were ended
    std::string folder;
};

/** \returns how many requests that were sent at the gateways from \a since on were served */
ServedCount servedAt(const std::vector<PlacedCall>&, const std::vector<std::size_t>& gateways, std::chrono::steady_clock::time_point since);

}

#endif
