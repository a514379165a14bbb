#ifndef FILBERTSPOKE_SOAK_SITE_H
#define FILBERTSPOKE_SOAK_SITE_H

#include "SoakRecord.h"

#include <filbertspoke/Core>
#include <filbertspoke/PlatformTesting>
#include <filbertspoke/ProcessTesting>
#include <filbertspoke/StandIns>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace filbertspoke::soak {

/** \brief A gateway's process and the link over which it reaches the store. */
struct SoakGateway {
    GatewayText text;
    std::unique_ptr<RelayStandIn> storeLink;
    std::optional<Process> process;
    std::vector<std::string> log; ///< of the processes that have ended
    unsigned starts = 0;
    bool handled = false; ///< a fault is stopping, pausing or starting the process
    Clock::time_point disturbedAt; ///< when it was last stopped, paused or killed, or went on from that
};

/** \brief Which gateways share their paths to the endpoints. */
enum class SoakPaths {
    Shared, ///< all
    ByDomain, ///< those of a failure domain; the first one has two gateways, the other two have one each
};

/** \brief Four gateways in two failure domains, or in three with paths of their own, with a store, three replicas of a plain service and two chains of two
 * engines, each behind a link that can fail. */
class SoakSite {
public:
    SoakSite(boost::asio::io_context&, SoakRecord&, SoakPaths, std::uint64_t seed);
    ~SoakSite();

    void start(SoakGateway&);
    /** \brief Writes the next version of the configuration, which keeps all routes and adds one. */
    void changeConfiguration();
    /** \brief Says that the last replica of the plain service leaves. */
    void drainLastReplica();
    /** \brief Restarts the store from a copy that lacks the last \a lost records of each topic. */
    void restartStore(std::size_t lost);
    /** \brief Makes the store answer 503 to everything, or ends that. */
    void setStoreAway(bool);
    /** \brief Gives an order to the links of an endpoint. */
    void controlLinks(const std::string& endpoint, const boost::json::object& order);
    /** \brief Gives an order to the links between the gateways of a failure domain and all endpoints. */
    void controlPaths(const std::string& domain, const boost::json::object& order);
    /** \brief Writes the configuration and the entries of all endpoints again, as the operator and the endpoints do. */
    void writeAgain();
    /** \brief Writes the entries of all endpoints again, as their heartbeats do while the store takes them. */
    void renewEndpoints();
    /** \brief Makes an endpoint say in all answers that it is leaving. */
    void announceLeaving(const std::string& endpoint) { this->leaving.insert(endpoint); }
    /** \brief Restarts an endpoint that said it was leaving. */
    void restartEndpoint(const std::string& endpoint);
    /** \brief Makes an endpoint refuse its requests with a time for which it wants no others, or ends that. */
    void setPushback(const std::string& endpoint, std::chrono::milliseconds pushback) { this->pushbacks[endpoint] = pushback; }
    /** \brief Makes endpoints answer some requests wrongly, or not at all. */
    void setTrouble(bool value) { this->trouble = value; }

    /** \returns what the gateway wrote since its first start; ends the process */
    static std::vector<std::string> logOf(SoakGateway&);

    std::vector<SoakGateway> gateways;
    std::vector<std::string> endpointNames;
    int version = 0; ///< of the newest configuration
    bool drained = false;

private:
    /** \brief The store with the addresses at which some gateways reach the endpoints, and the links behind these addresses. */
    struct View {
        View(boost::asio::io_context&, std::string domain);

        std::string domain; ///< whose gateways use it; empty for all
        StoreStandIn store;
        std::map<std::string, std::unique_ptr<RelayStandIn>> links; ///< by endpoint
    };

    View& viewOf(const std::string& domain);
    ReplicaScript answer(const std::string& endpoint, const HttpRequest&);
    ReplicaScript answerInTrouble(const std::string& endpoint, const HttpRequest&);
    ReplicaScript answerWell(const HttpRequest&) const;
    void spoil(ReplicaScript&);
    /** \brief Gives a response a head that is none of HTTP. */
    void makeMalformed(ReplicaScript&);
    void putEndpoint(const std::string& id, const std::string& state);
    /** \returns the endpoint's entry in a store */
    std::string entryOf(const std::string& id, const View&);
    void putConfiguration();
    double draw() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

    boost::asio::io_context& context;
    SoakRecord& record;
    std::mt19937_64 random;
    std::map<std::string, std::unique_ptr<ReplicaStandIn>> endpoints;
    std::vector<std::unique_ptr<View>> views;
    std::map<std::string, std::string> states; ///< by endpoint, as its entry has it
    std::map<std::string, unsigned> starts; ///< by endpoint
    std::map<std::string, std::chrono::milliseconds> pushbacks; ///< by endpoint; 0 for none
    std::set<std::string> leaving;
    std::uint64_t heartbeat = 0;
    bool trouble = false;
    bool storeAway = false;
    bool entriesLost = false; ///< since the store's restart; the endpoints have not written them again yet
    std::string folder;
};

}

#endif
