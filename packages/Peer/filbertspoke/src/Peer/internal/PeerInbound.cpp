#include "PeerInbound.h"

#include "../PeerFrame.h"

#include <boost/asio/read.hpp>

#include <utility>

namespace filbertspoke::internal {

using ErrorCode = boost::system::error_code;

namespace {

/** Lets the sender close an idle connection first, so that it can take a close by the receiver for a failure. */
constexpr int idleTimeoutFactor = 2;

}

PeerInbound::PeerInbound(boost::asio::ip::tcp::socket socket, const PeerLinkSettings& settings,
    PeerLinkCounters& counters, FrameHandler handleFrame, ClosedHandler handleClosed)
    : settings(settings)
    , counters(counters)
    , handleFrame(std::move(handleFrame))
    , handleClosed(std::move(handleClosed))
    , socket(std::move(socket))
    , timer(this->socket.get_executor())
{
}

void PeerInbound::readLength()
{
    this->startTimeout(this->settings.idleTimeout * idleTimeoutFactor);
    auto self = this->shared_from_this();
    boost::asio::async_read(this->socket, boost::asio::buffer(this->lengthBytes, 1),
        [self](const ErrorCode& error, std::size_t) {
            if (error)
                return self->closeAndNotify();
            self->readRestOfLength();
        });
}

void PeerInbound::readRestOfLength()
{
    this->startTimeout(this->settings.readTimeout);
    auto self = this->shared_from_this();
    boost::asio::async_read(this->socket, boost::asio::buffer(this->lengthBytes.data() + 1, this->lengthBytes.size() - 1),
        [self](const ErrorCode& error, std::size_t) {
            if (error)
                return self->closeAndNotify();
            self->readBody();
        });
}

void PeerInbound::readBody()
{
    const std::size_t bytes = frameLength(this->lengthBytes);
    if (bytes == 0 || bytes > maxPeerFrameBytes) {
        ++this->counters.malformedFrames;
        return this->closeAndNotify();
    }
    this->body.resize(bytes);
    auto self = this->shared_from_this();
    boost::asio::async_read(this->socket, boost::asio::buffer(this->body),
        [self](const ErrorCode& error, std::size_t) {
            if (error || !self->open)
                return self->closeAndNotify();
            self->counters.bytesReceived += self->lengthBytes.size() + self->body.size();
            self->handleFrame(self->body);
            if (self->open)
                self->readLength();
        });
}

void PeerInbound::startTimeout(Duration duration)
{
    this->timer.expires_after(duration);
    auto self = this->shared_from_this();
    this->timer.async_wait([self](const ErrorCode& error) {
        if (!error)
            self->closeAndNotify();
    });
}

void PeerInbound::closeAndNotify()
{
    if (!this->open)
        return;
    this->close();
    this->handleClosed(this);
}

void PeerInbound::close()
{
    this->open = false;
    this->timer.cancel();
    ErrorCode ignored;
    this->socket.close(ignored);
}

}
