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

/** \brief The listening socket, and which connection waits for which request. */
class CallerServerState : public std::enable_shared_from_this<CallerServerState> {
public:
    CallerServerState(boost::asio::io_context&, const std::string& address, std::uint16_t port, CallerServerLimits, std::string requestPrefix, CallerServer::Sink);

    void accept();
    void drain();
    /** \brief Lets go of every connection, so that their handlers call nobody any more. */
    void shutDown();
    std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

    const CallerServerLimits& limits() const { return this->callerLimits; }
    RequestId nextRequestId();
    void dispatch(const RequestId&, std::shared_ptr<CallerSession>, Event);
    void callerGone(const RequestId&);
    void forget(const RequestId&);
    void sessionClosed(const std::shared_ptr<CallerSession>&);
    /** \returns the connection that waits for the request, or null when it is gone */
    std::shared_ptr<CallerSession> find(const RequestId&) const;

private:
    boost::asio::ip::tcp::acceptor acceptor;
    CallerServerLimits callerLimits;
    std::string prefix;
    CallerServer::Sink sink;
    std::uint64_t requestCount = 0;
    std::set<std::shared_ptr<CallerSession>> sessions;
    std::unordered_map<RequestId, std::shared_ptr<CallerSession>> waiting;
};

}

#endif
