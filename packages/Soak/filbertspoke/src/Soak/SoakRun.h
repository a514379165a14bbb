#ifndef FILBERTSPOKE_SOAK_RUN_H
#define FILBERTSPOKE_SOAK_RUN_H

#include "SoakCaller.h"
#include "SoakRecord.h"
#include "SoakSite.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace filbertspoke::soak {

/** \brief What a run did and found. */
struct SoakOutcome {
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::vector<std::string> faults; ///< injected, in order
    std::vector<std::string> violations; ///< of promises; empty for a run that kept all
    std::vector<std::string> log; ///< lines of the gateways on the first violation's request
    std::map<std::string, std::vector<std::string>> logs; ///< all lines of a run with violations, by gateway

    bool operator==(const SoakOutcome&) const = default;
};

/** \brief Callers send requests to a site while faults come at random, alone and overlapping; then all faults end, and
 * the site has to serve everything again. */
class SoakRun {
public:
    /** \param seed decides which faults come when and where
     * \param paths ByDomain adds cuts between all gateways of a domain and all endpoints */
    SoakRun(std::uint64_t seed, std::chrono::seconds length, SoakPaths paths = SoakPaths::Shared);

    SoakOutcome run();

private:
    using Task = boost::asio::awaitable<void>;

    Task inject();
    /** \brief Injects restarts of the store from a copy, and what endpoints say about themselves. It draws from a generator of its own, so
     * that the other faults of a seed stay the same. */
    Task injectSignals();
    /** \brief Cuts the gateways of one domain after the other off from all endpoints, with a generator of its own. */
    Task injectCutOffs();
    Task cutOff(std::string domain, std::string mode, std::chrono::milliseconds);
    Task watchProcesses();
    Task keepHeartbeats();
    Task finish();
    /** \brief Carries a fault out, and counts it as in progress meanwhile. */
    Task runFault(std::string name, Task);
    void beginSignal();
    void begin();

    /** \returns the log line in which an ended program gave the reason, or nothing */
    static std::string failureLine(Process&);
    Task hangUp(SoakGateway&);
    Task pauseGateway(SoakGateway&, std::chrono::milliseconds);
    Task killGateway(SoakGateway&, std::chrono::milliseconds);
    Task stopGateway(SoakGateway&);
    /** \returns the order that begins the fault */
    boost::json::object linkOrder(const std::string& mode);
    Task breakStoreLink(RelayStandIn&, std::string mode, std::chrono::milliseconds);
    Task breakEndpointLink(std::string endpoint, std::string mode, std::chrono::milliseconds);
    Task loseStore(std::chrono::milliseconds);
    Task troubleEndpoints(std::chrono::milliseconds);
    Task restartStore(std::chrono::milliseconds away, std::chrono::milliseconds rewritten);
    Task letEndpointLeave(std::string endpoint, std::chrono::milliseconds);
    Task pushBack(std::string endpoint, std::chrono::milliseconds duration, std::chrono::milliseconds pushback);
    Task changeConfigurations(int count);
    Task sleep(std::chrono::milliseconds);
    /** \returns the first request that is not served, of one of each kind at each gateway */
    boost::asio::awaitable<std::optional<CallRecord>> firstUnserved(SoakCaller&);
    Task checkRecovery();
    Task checkDraining();

    int drawSignal(int from, int to) { return std::uniform_int_distribution<int>(from, to)(this->signalRandom); }
    int draw(int from, int to) { return std::uniform_int_distribution<int>(from, to)(this->random); }

    boost::asio::io_context context;
    std::mt19937_64 random;
    std::mt19937_64 signalRandom;
    std::mt19937_64 cutOffRandom;
    SoakPaths paths;
    std::chrono::seconds length;
    SoakRecord record;
    SoakSite site;
    std::vector<std::unique_ptr<SoakCaller>> callers;
    std::vector<std::string> faults;
    int faultsInProgress = 0;
    bool callersStop = false;
    bool over = false;
};

}

#endif
