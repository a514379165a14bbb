#ifndef FILBERTSPOKE_GATEWAY_CONTEXT_H
#define FILBERTSPOKE_GATEWAY_CONTEXT_H

#include "CallerCodec.h"
#include "CapacityWaiters.h"
#include "EngineCodec.h"
#include "EngineFailureDetector.h"
#include "StoreCodec.h"
#include "StreamRegistry.h"
#include "UpstreamPool.h"

#include <filbertspoke/Configuration>
#include <filbertspoke/Gateway>
#include <filbertspoke/Observability>

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace filbertspoke {

class ForwardTask;

/** \brief Timeout of requests to the store, in addition to the time for which a read waits for records: a hundred times the
 * usual response time of 4 ms. */
constexpr Duration storeTimeout = std::chrono::milliseconds(400);
/** \brief Retry-After of refusals sent before a configuration is known, while it offers no service or while this daemon stops; a read of the
 * store takes about this long, and the caller's next attempt reaches another daemon. */
constexpr Duration unavailableRetryAfter = std::chrono::milliseconds(500);

/** \brief The codecs for the protocols that a gateway uses. */
struct GatewayCodecs {
    std::shared_ptr<const CallerCodec> caller;
    std::shared_ptr<const EngineCodec> engine;
    std::shared_ptr<const StoreCodec> store;
};

/** \brief State shared by the components of one gateway; all of them run on one thread. */
class GatewayContext {
public:
    GatewayContext(boost::asio::io_context&, GatewaySettings, GatewayCodecs);

    /** \returns this daemon's share of the retry budget of the service */
    SharedRetryBudget& retryBudget(const ServiceId&);
    /** \returns the number of gateways that share the retry budgets, or nothing while it is unknown */
    std::optional<std::size_t> siteGateways() const;
    /** \returns whether the gateway was told to stop, so that callers' connections are closed after their responses */
    bool isStopping() const { return this->stopSchedule.has_value(); }
    /** \returns whether this daemon must read the store itself */
    bool followsStore() const;
    /** \returns a uniformly distributed random number in [0, 1) */
    double randomFraction();
    /** \brief Activates a configuration if its version is higher than that of the active one.
     * \param source of the document, for the log */
    void applyConfiguration(const ConfigurationDocument&, const std::string& source);
    /** \brief Takes note of the store's era that an answer or a message names.
     * \param source of the era, for the log
     * \returns its relation to the highest era known before; what comes with an outdated era must not be used */
    EraRelation noteStoreEra(std::optional<StoreEra>, const std::string& source);
    /** \brief Records that the list of endpoints matches the registry now.
     * \returns the age of the list before, or nothing if there was none */
    std::optional<Duration> noteRegistryCurrent(TimePoint now);
    /** \brief Applies the complete list of the registry's entries.
     * \param source of the list, for the log */
    void applyEndpoints(const std::vector<RegisteredEndpoint>&, const std::string& source);
    /** \brief Logs the removal of an endpoint.
     * \param viewAge age of this daemon's list of endpoints before the read that shows the removal */
    static void logRemoval(const EndpointId&, Removal, const std::string& source, const std::optional<Duration>& viewAge);
    /** \brief Records that an endpoint crashed while it was to begin the answer to a request with these traits.
     * \param sentAt when the request was sent to it */
    void noteCrash(const std::vector<RequestTraitId>&, const EndpointRun&, TimePoint sentAt, TimePoint brokenAt);
    /** \returns the time for which requests with these traits are refused, or nothing when they may be sent */
    std::optional<Duration> refusalTime(const std::vector<RequestTraitId>&);
    /** \brief Records that an endpoint refused a request of this daemon.
     * \param sentAt when the request was sent */
    void noteRefusal(const EndpointId&, TimePoint sentAt);
    /** \brief Records that an endpoint refuses the requests of another daemon. */
    void noteRemoteRefusal(const RefusingEndpoint&, const DaemonId& reporter);
    /** \brief Takes note of what an endpoint says about itself in an answer. */
    void noteSignals(const EndpointId&, const EndpointSignals&);

    /** \brief Takes note of the request rate that an endpoint accepts according to an answer to a request; nothing if the answer names
     * none. */
    void noteRateLimit(const EndpointId&, std::optional<double> requestsPerSecond);
    /** \brief Divides the request rates that endpoints accept anew. */
    void updateRateLimits(TimePoint now);

    /** \returns this daemon's belief of its paths to the endpoints of the service */
    EndpointReachability& reachability(const ServiceId& service) { return this->reachabilities[service]; }
    /** \brief Records that the endpoint accepted a new connection. */
    void noteConnected(const EndpointId&);
    /** \brief Records that the endpoint accepted no connection. */
    void noteUnreachable(const EndpointId&);
    /** \returns the services from whose endpoints this daemon is cut off */
    std::vector<ServiceId> unreachableServices() const;
    /** \returns the services to whose endpoints this daemon has sent requests */
    std::vector<ServiceId> observedServices() const;
    /** \returns whether this daemon is cut off from engines, so that it can't give orders to them */
    bool isCutOffFromEngines() const;

    boost::asio::io_context& io;
    GatewaySettings settings; ///< replaced as a whole when the settings file is reloaded
    const GatewayCodecs codecs;
    Random random;
    std::shared_ptr<const ForwardingTable> table; ///< of the active configuration; null until one is known
    ConfigurationDocument document; ///< from which the table was decoded
    EndpointRegistry registry; ///< known endpoints of all services
    StoreEraTracker storeEra; ///< changed only through noteStoreEra()
    RegistryView registryView;
    bool registryLoaded = false; ///< whether the registry has been filled once, from the store or a peer
    RequestRateLimits rateLimits;
    std::map<ServiceId, unsigned> rateLimitedCalls; ///< calls that wait until a rate limit accepts them
    RequestQuarantine requestQuarantine; ///< traits of requests that crash endpoints
    RequestMemory requestMemory; ///< that callers' requests share
    LoadTracker loads; ///< work in progress at the endpoints, of this daemon and of the others
    std::optional<TimePoint> lastLoadReportAt; ///< when another daemon last reported its load
    PeerTable roster; ///< the other gateways of the site
    HandoverTargets handoverTargets;
    StoreReaderPolicy storeReading;
    CapacityWaiters waiters; ///< generations that wait for free capacity
    StreamRegistry streams;
    EngineFailureDetector failureDetector;
    std::uint64_t capacityChanges = 1; ///< incremented when the free capacity of the engines may have grown
    UpstreamPool pool; ///< idle connections to endpoints
    Metrics metrics;
    std::optional<StopSchedule> stopSchedule; ///< set once the gateway was told to stop
    unsigned requestsInProgress = 0; ///< requests of callers without a complete response
    std::set<ForwardTask*> tasks; ///< requests that are being forwarded

private:
    void noteReachabilityChange(const ServiceId&, Reachability before);

    std::map<ServiceId, SharedRetryBudget> budgets;
    std::map<ServiceId, EndpointReachability> reachabilities;
};

/** \brief Writes a structured log line. */
void logLine(WriteLog::Level, const std::string& event, std::vector<std::pair<std::string, std::string>> fields);

/** \returns the duration in whole milliseconds as text, for log lines */
std::string milliseconds(Duration);

}

#endif
