#ifndef FILBERTSPOKE_GATEWAY_CONTEXT_H
#define FILBERTSPOKE_GATEWAY_CONTEXT_H

#include "CallerCodec.h"
#include "CapacityWaiters.h"
#include "EngineCodec.h"
#include "LossDiagnosis.h"
#include "StoreCodec.h"
#include "StreamWatch.h"
#include "UpstreamPool.h"

#include <filbertspoke/Configuration>
#include <filbertspoke/Gateway>
#include <filbertspoke/Observability>

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace filbertspoke {

/** \brief How long the store may take to answer, beside what a read waits for records: a hundred times its usual 4 ms. */
constexpr Duration storeTimeout = std::chrono::milliseconds(400);

/** \brief The translations that a gateway works through. */
struct GatewayWires {
    std::shared_ptr<const CallerCodec> caller;
    std::shared_ptr<const EngineCodec> engine;
    std::shared_ptr<const StoreCodec> store;
};

/** \brief What the parts of one gateway share, all on one thread. */
class GatewayContext {
public:
    GatewayContext(boost::asio::io_context&, GatewaySettings, GatewayWires);

    /** \returns this daemon's part of the budget of retries at the service */
    SharedRetryBudget& retryBudget(const ServiceId&);
    /** \returns how many gateways share the retry budgets, or nothing while this one can't tell */
    std::optional<std::size_t> siteGateways() const;
    /** \returns whether this daemon has to follow the store itself: it is the hub, or has no hub that does */
    bool followsStore() const;
    /** \returns a number in [0, 1) */
    double draw();
    /** \brief Puts a configuration in force if it is newer than the one that is.
     * \param source who gave it, for the log */
    void takeDocument(const ConfigurationDocument&, const std::string& source);

    boost::asio::io_context& io;
    GatewaySettings settings; ///< replaced as a whole when their file changes
    const GatewayWires wires;
    std::shared_ptr<const ForwardingTable> table; ///< in force; empty until one is known
    ConfigurationDocument document; ///< from which the table was read
    EndpointRegistry registry;
    bool registryKnown = false;
    LoadTracker loads;
    std::optional<TimePoint> loadsHeardAt; ///< when another daemon last told of its work
    PeerTable roster;
    std::optional<TimePoint> hubHeardAt; ///< when the hub last said that it follows the store
    CapacityWaiters waiters;
    StreamWatch streams;
    LossDiagnosis diagnosis;
    std::uint64_t capacityChanges = 1; ///< grows when there may be more room at engines than before
    UpstreamPool pool;
    Metrics metrics;
    Random random;
    bool stopping = false;
    unsigned requestsInProgress = 0;

private:
    std::map<ServiceId, SharedRetryBudget> budgets;
};

/** \brief Writes a log line. */
void logLine(WriteLog::Level, const std::string& event, std::vector<std::pair<std::string, std::string>> fields);

/** \returns whole milliseconds as text, for log lines */
std::string milliseconds(Duration);

}

#endif
