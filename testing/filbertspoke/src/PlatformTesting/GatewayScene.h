#ifndef FILBERTSPOKE_GATEWAY_SCENE_H
#define FILBERTSPOKE_GATEWAY_SCENE_H

#include "ReplicaStandIn.h"
#include "StoreStandIn.h"

#include <filbertspoke/ProcessTesting>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace filbertspoke {

/** \brief A caller's connection and what came over it. */
class RawCaller {
public:
    RawCaller(boost::asio::io_context&, const HttpAddress&, const std::string& text);
    /** \brief Closes the connection. Descriptors that stay open would make the system enlarge the descriptor table, which can hold a program
     * with several threads up for seconds. */
    ~RawCaller();
    RawCaller(const RawCaller&) = delete;
    RawCaller& operator=(const RawCaller&) = delete;

    /** \returns all bytes that arrived */
    const std::string& received() const;
    /** \returns whether the gateway closed the connection */
    bool closed() const;
    /** \brief Sends more bytes, after the text with which the connection was opened. */
    void send(const std::string& text);
    /** \brief Closes the connection. */
    void leave();

private:
    class State;
    std::shared_ptr<State> state;
};

/** \brief One or two gateway processes before stores that hold the same records, two replicas of a plain service and
 * two copies of a two-engine chain. */
class GatewayScene {
public:
    GatewayScene();
    ~GatewayScene();

    /** \brief Starts the gateway and waits until it is ready. */
    void start();
    /** \brief Starts another gateway that can't reach a store, and knows the first one. */
    void startSecondWithoutStore();
    /** \brief Starts another gateway, which knows the first one, and waits until it is ready.
     * \param storeAddress of its store: the second one, the first one or a link to either */
    void startSecond(const std::string& failureDomain, const HttpAddress& storeAddress);

    bool await(const std::function<bool()>& condition) { return runUntil(this->context, condition); }
    /** \brief Sends a request for a path as a caller with a sound key. */
    std::unique_ptr<RawCaller> call(const std::string& method, const std::string& path, const std::string& extraHeaders = {}, const std::string& key = "key-1");
    /** \brief Sends a POST request with the body, as a caller with a sound key whose connection ends with the answer. */
    std::unique_ptr<RawCaller> upload(const std::string& path, const std::string& body);
    /** \brief Waits until the caller has an answer that ends with \a ending or the connection is closed. */
    std::string answer(RawCaller&, const std::string& ending);

    void putConfiguration(int version, const std::string& bookingService = "app");
    void putEndpoint(const std::string& id, const std::string& state = "ready");
    /** \brief Writes the entry of another run of the endpoint, with the same id and address. */
    void restartEndpoint(const std::string& id);
    /** \brief Writes the entry of an engine.
     * \param layers that it holds; empty for none */
    void putEngine(const std::string& id, const LayerRange& layers);

    boost::asio::io_context context;
    StoreStandIn store;
    StoreStandIn secondStore; ///< gives the duty to place layers for itself
    std::map<std::string, std::unique_ptr<ReplicaStandIn>> replicas; ///< by id
    std::optional<Process> gateway;
    std::optional<Process> second;
    HttpAddress callers;
    HttpAddress secondCallers;
    HttpAddress readiness;
    std::map<std::string, GatewayText> started; ///< gateways, by name, with the addresses at which they listen
    std::chrono::milliseconds stopTimeout { 8000 }; ///< within which a gateway ends after SIGTERM, whatever is in progress
    double retryRatio = 10; ///< retries that a gateway saves up for with each request: by default the first one suffices
    std::optional<unsigned> requestMemoryMb; ///< setting of the gateways; the product's default without it

private:
    HttpAddress free(const std::string& address) const;
    Process launch(GatewayText);
    void put(EndpointText);
    bool ready(const HttpAddress&);

    HttpAddress peers;
    HttpAddress secondPeers; ///< the higher of the two, so that the first gateway is the hub of a domain that they share
    std::uint64_t heartbeat = 0;
    std::map<std::string, std::int64_t> restarts; ///< by endpoint
    int calls = 0;
    std::string folder;
};

}

#endif
