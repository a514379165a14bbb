#ifndef FILBERTSPOKE_CALLER_SERVER_STATE_H
#define FILBERTSPOKE_CALLER_SERVER_STATE_H

#include "CallerSession.h"

#include <filbertspoke/Caller>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace filbertspoke::internal {

/** \brief Holds the listening socket, the open sessions, and the session of each pending request. */
class CallerServerState : public std::enable_shared_from_this<CallerServerState> {
public:
    CallerServerState(boost::asio::io_context&, const std::string& address, std::uint16_t port, CallerServerLimits, std::string requestPrefix, CallerServer::Sink);

    void accept();
    void drain();
    /** \brief Releases all sessions and replaces the sink, so that handlers that still run emit no events. */
    void shutDown();
    std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

    const CallerServerLimits& limits() const { return this->callerLimits; }
    RequestId nextRequestId();
    void dispatch(const RequestId&, std::shared_ptr<CallerSession>, Event);
    void callerDisconnected(const RequestId&);
    void removeRequest(const RequestId&);
    void sessionClosed(const std::shared_ptr<CallerSession>&);
    /** \returns the session that awaits the answer to the request, or null when the request is no longer pending */
    std::shared_ptr<CallerSession> find(const RequestId&) const;

private:
    boost::asio::ip::tcp::acceptor acceptor;
    CallerServerLimits callerLimits;
    std::string requestPrefix;
    CallerServer::Sink sink;
    std::uint64_t requestCount = 0;
    std::set<std::shared_ptr<CallerSession>> sessions;
    std::unordered_map<RequestId, std::shared_ptr<CallerSession>> pendingRequests;
};

}

#endif
