#include <filbertspoke/Caller>

#include "internal/CallerServerState.h"

#include <utility>

namespace filbertspoke {

CallerServer::CallerServer(boost::asio::io_context& io, const std::string& address, std::uint16_t port, CallerServerLimits limits, std::string requestPrefix, Sink sink)
    : state(std::make_shared<internal::CallerServerState>(io, address, port, limits, std::move(requestPrefix), std::move(sink)))
{
    this->state->accept();
}

CallerServer::~CallerServer()
{
    this->state->shutDown();
}

std::uint16_t CallerServer::port() const
{
    return this->state->port();
}

void CallerServer::carryOut(const EmitToken& action)
{
    if (auto session = this->state->find(action.request))
        session->emitToken(action);
}

void CallerServer::carryOut(const CompleteRequest& action)
{
    if (auto session = this->state->find(action.request))
        session->complete(action);
}

void CallerServer::carryOut(const AnswerCall& action)
{
    if (auto session = this->state->find(action.request))
        session->answer(action);
}

void CallerServer::carryOut(const RefuseRequest& action)
{
    if (auto session = this->state->find(action.request))
        session->refuse(action);
}

void CallerServer::drain()
{
    this->state->drain();
}

}
