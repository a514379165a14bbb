#include "CallerServerState.h"

#include <boost/asio/ip/address.hpp>

#include <utility>

namespace filbertspoke::internal {

namespace asio = boost::asio;
using asio::ip::tcp;

CallerServerState::CallerServerState(asio::io_context& io, const std::string& address, std::uint16_t port, CallerServerLimits limits, std::string requestPrefix, CallerServer::Sink sink)
    : acceptor(io, tcp::endpoint(asio::ip::make_address(address), port))
    , callerLimits(limits)
    , prefix(std::move(requestPrefix))
    , sink(std::move(sink))
{
}

void CallerServerState::accept()
{
    this->acceptor.async_accept([self = this->shared_from_this()](boost::system::error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || !self->acceptor.is_open())
            return;
        if (!error && self->sessions.size() < self->callerLimits.connections) {
            auto session = std::make_shared<CallerSession>(std::move(socket), self);
            self->sessions.insert(session);
            session->start();
        }
        self->accept();
    });
}

void CallerServerState::drain()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    const std::set<std::shared_ptr<CallerSession>> copy = this->sessions;
    for (const std::shared_ptr<CallerSession>& session : copy)
        session->drain();
}

void CallerServerState::shutDown()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    this->sink = [](Event) {};
    this->waiting.clear();
    this->sessions.clear();
}

RequestId CallerServerState::nextRequestId()
{
    return RequestId(this->prefix + "-" + std::to_string(++this->requestCount));
}

void CallerServerState::dispatch(const RequestId& request, std::shared_ptr<CallerSession> session, Event event)
{
    this->waiting.emplace(request, std::move(session));
    this->sink(std::move(event));
}

void CallerServerState::callerGone(const RequestId& request)
{
    if (this->waiting.erase(request))
        this->sink(CallerDisconnected { request });
}

void CallerServerState::forget(const RequestId& request)
{
    this->waiting.erase(request);
}

void CallerServerState::sessionClosed(const std::shared_ptr<CallerSession>& session)
{
    this->sessions.erase(session);
}

std::shared_ptr<CallerSession> CallerServerState::find(const RequestId& request) const
{
    auto entry = this->waiting.find(request);
    return entry == this->waiting.end() ? nullptr : entry->second;
}

}
