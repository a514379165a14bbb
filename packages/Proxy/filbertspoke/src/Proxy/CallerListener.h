#ifndef FILBERTSPOKE_CALLER_LISTENER_H
#define FILBERTSPOKE_CALLER_LISTENER_H

#include "CallerConnection.h"
#include "GatewayContext.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace filbertspoke {

/** \brief Who sends the requests that a CallerListener reads. */
enum class RequestSource {
    Callers,
    Gateways, ///< which hand over requests that they can't serve themselves
};

/** \brief Accepts connections from callers or other gateways, reads their requests and forwards each request along its route. */
class CallerListener {
public:
    /** \throws boost::system::system_error when the address can't be bound */
    CallerListener(GatewayContext&, const SocketAddress&, RequestSource);

    /** \brief Starts to accept connections. */
    void start();
    /** \brief Stops accepting connections. Those that callers have opened before are served. */
    void stopListening();
    /** \brief Closes connections without a request in progress.
     * \param unused whether to close those too on which no request has arrived yet */
    void closeIdle(bool unused);
    /** \brief Logs the requests that are still arriving when the gateway ends. */
    void logUnread() const;
    /** \returns whether no connection is open and none can be opened any more */
    bool idle() const { return !this->accepting && this->connections.empty(); }

private:
    boost::asio::awaitable<void> listen();
    void admit(boost::asio::ip::tcp::socket);
    boost::asio::awaitable<void> serve(std::shared_ptr<CallerConnection>);
    boost::asio::awaitable<bool> handleRequest(std::shared_ptr<CallerConnection>, HttpRequest, RequestMemory::Reservation&);
    boost::asio::awaitable<void> forward(std::shared_ptr<CallerConnection>, CallerRequest, TimePoint received, RequestMemory::Reservation&);
    boost::asio::awaitable<void> refuse(std::shared_ptr<CallerConnection>, const Refusal&, const CallerRequest&);
    /** \brief Tells another gateway that this one does not serve the request that it hands over. */
    boost::asio::awaitable<void> declineHandover(std::shared_ptr<CallerConnection>, const CallerRequest&, std::string_view reason);
    /** \brief Refuses a request that does not fit into the memory that requests share.
     * \param phase "reading" or "forwarding", for the log */
    boost::asio::awaitable<void> refuseForMemory(std::shared_ptr<CallerConnection>, const CallerRequest&, std::string phase);
    boost::asio::awaitable<void> refuseUnread(std::shared_ptr<CallerConnection>);
    void noteIncomplete(const std::string& reason) const;
    boost::asio::awaitable<void> rejectUnread(std::shared_ptr<CallerConnection>, CallerReadFailure);

    GatewayContext& context;
    RequestSource source;
    boost::asio::ip::tcp::acceptor acceptor;
    bool accepting = false; ///< whether a connection may still be accepted, also one whose handler is pending
    std::set<std::shared_ptr<CallerConnection>> connections;
};

}

#endif
