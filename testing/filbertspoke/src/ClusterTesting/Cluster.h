#ifndef FILBERTSPOKE_CLUSTER_H
#define FILBERTSPOKE_CLUSTER_H

#include "Completion.h"

#include <filbertspoke/ProcessTesting>

#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace filbertspoke {

/** \returns a new idempotency key: a UUIDv7 of now */
std::string newKey();

/** \brief How many processes a Cluster starts. */
struct ClusterOptions {
    std::uint32_t daemons = 2;
    std::uint32_t stages = 3;
    std::uint32_t replicas = 2; ///< engines for each stage
    std::uint32_t services = 1;
    std::uint32_t engineDelayUs = 1000; ///< of one token position
    std::uint32_t drainMs = 20'000; ///< how long a graceful stop waits
    bool relayLog = false; ///< puts a relay between each daemon and the log; the host list is reached directly
};

/** \brief A daemon process and where it listens. */
struct DaemonProcess {
    Process process;
    HttpAddress callers;
    HttpAddress peers;
    HttpAddress operators;
};

/** \brief Real processes on loopback addresses: the log with the host list, engines, plain services and daemons.
 *
 * The constructor returns once every daemon is ready and sees every endpoint. The model is
 * "assistant", version "1"; its layers are spread evenly over the stages. The plain service is
 * "bench-app": POST /bookings may not be repeated, GET /stock may and is
 * hedged but for GET /stock/list.
 */
class Cluster {
public:
    static constexpr std::uint32_t layersPerStage = 4;
    static constexpr std::uint32_t maximumTokens = 400;
    static const std::string defaultPrompt;

    explicit Cluster(const ClusterOptions& = {});
    ~Cluster();

    StandInProcess& log() { return *this->logProcess; }
    StandInProcess& engine(std::uint32_t stage, std::uint32_t replica);
    StandInProcess& service(std::uint32_t index) { return *this->services.at(index); }
    DaemonProcess& daemon(std::uint32_t index) { return this->daemons.at(index); }
    HttpAddress logAddress() const { return this->logProcess->address; }

    /** \brief Puts a relay between the daemons and an endpoint; call listHosts() to announce it. */
    StandInProcess& relay(const std::string& endpoint);
    /** \returns the relay that stands before the endpoint */
    StandInProcess& relayOf(const std::string& endpoint) { return *this->relays.at(endpoint); }

    /** \returns the relay between a daemon and the log */
    StandInProcess& logRelay(std::uint32_t daemon) { return *this->logRelays.at(daemon); }

    /** \brief Writes the host list, without the endpoints that are left out and with the leaving ones marked. */
    void listHosts();
    void leave(const std::string& endpoint) { this->leaving[endpoint] = true; }

    /** \brief Ends a daemon by SIGKILL and starts it again at the same addresses. */
    void restartDaemon(std::uint32_t index);

    /** \brief Sends a streamed completion.
     * \param received the tokens that the caller has already, when it resumes
     */
    std::shared_ptr<PendingExchange> complete(std::uint32_t daemon, std::uint32_t tokens, const std::string& prompt = defaultPrompt, const std::vector<std::string>& received = {});

    /** \brief Calls the plain service, with an idempotency key unless it is empty.
     * \param firstUse says that no other request carried the key
     */
    std::shared_ptr<PendingExchange> call(std::uint32_t daemon, const std::string& method, const std::string& path, const std::string& body, const std::string& key = {}, bool firstUse = false);

    /** \returns the tokens that complete() must give */
    std::vector<std::string> reference(std::uint32_t tokens, const std::string& prompt = defaultPrompt) const;

    /** \brief Gives a stand-in an order. */
    void control(const HttpAddress&, const boost::json::value&);

    /** \returns what a stand-in ran */
    boost::json::array runs(const HttpAddress&);

    /** \returns how many calls of all service replicas ran with the body */
    std::size_t runsWithBody(const std::string& body);

    /** \returns the replica of a stage that ran the most steps so far */
    std::uint32_t busiestReplica(std::uint32_t stage);

    /** \returns a daemon's status, null when it doesn't answer */
    boost::json::value status(std::uint32_t daemon);

    /** \brief Waits until the condition holds.
     * \returns whether it did before a generous time limit against hanging
     */
    bool await(const std::function<bool()>&);

    /** \brief Starts filbertspokectl to approve a questionnaire.
     * \param base the revision that the change rests on, the one in force when empty
     */
    Process startApproval(const std::string& author, const std::string& base = {});

    /** \returns whether the daemon is ready and sees every endpoint that isn't leaving */
    bool ready(std::uint32_t daemon);

private:
    void startEndpoints();
    void startDaemon(std::uint32_t index, const DaemonProcess* previous);
    HttpAddress logAddressOf(std::uint32_t daemon);
    std::string writeFile(const std::string& name, const std::string& text);
    std::shared_ptr<PendingExchange> send(const HttpAddress&, HttpRequest);
    boost::json::value endpointLine(const std::string& id, const StandInProcess&, const boost::json::value& role) const;

    ClusterOptions options;
    boost::asio::io_context context;
    std::string directory;
    std::unique_ptr<StandInProcess> logProcess;
    std::vector<std::unique_ptr<StandInProcess>> engines;
    std::vector<std::unique_ptr<StandInProcess>> services;
    std::map<std::string, std::unique_ptr<StandInProcess>> relays;
    std::map<std::uint32_t, std::unique_ptr<StandInProcess>> logRelays;
    std::map<std::string, bool> leaving;
    std::vector<DaemonProcess> daemons;
    std::vector<std::unique_ptr<HttpConnection>> connections;
};

}

#endif
