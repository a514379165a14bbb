#include "PeerInbound.h"

#include "../PeerFrame.h"

#include <boost/asio/read.hpp>

#include <utility>

namespace filbertspoke::internal {

using ErrorCode = boost::system::error_code;

namespace {

/** The sender closes an idle connection first, so that the end of a stream is a sign of failure. */
constexpr int idleTimeoutFactor = 2;

}

PeerInbound::PeerInbound(boost::asio::ip::tcp::socket socket, const PeerLinkSettings& settings,
    PeerLinkCounters& counters, Frame frame, Closed closed)
    : settings(settings)
    , counters(counters)
    , frame(std::move(frame))
    , closed(std::move(closed))
    , socket(std::move(socket))
    , timer(this->socket.get_executor())
{
}

void PeerInbound::readLength()
{
    this->limit(this->settings.idleTimeout * idleTimeoutFactor);
    auto self = this->shared_from_this();
    boost::asio::async_read(this->socket, boost::asio::buffer(this->length, 1),
        [self](const ErrorCode& error, std::size_t) {
            if (error)
                return self->end();
            self->readRestOfLength();
        });
}

void PeerInbound::readRestOfLength()
{
    this->limit(this->settings.readTimeout);
    auto self = this->shared_from_this();
    boost::asio::async_read(this->socket, boost::asio::buffer(this->length.data() + 1, this->length.size() - 1),
        [self](const ErrorCode& error, std::size_t) {
            if (error)
                return self->end();
            self->readBody();
        });
}

void PeerInbound::readBody()
{
    const std::size_t bytes = frameLength(this->length);
    if (bytes == 0 || bytes > maxPeerFrameBytes) {
        ++this->counters.malformedFrames;
        return this->end();
    }
    this->body.resize(bytes);
    auto self = this->shared_from_this();
    boost::asio::async_read(this->socket, boost::asio::buffer(this->body),
        [self](const ErrorCode& error, std::size_t) {
            if (error || !self->open)
                return self->end();
            self->counters.bytesReceived += self->length.size() + self->body.size();
            self->frame(self->body);
            if (self->open)
                self->readLength();
        });
}

void PeerInbound::limit(Duration duration)
{
    this->timer.expires_after(duration);
    auto self = this->shared_from_this();
    this->timer.async_wait([self](const ErrorCode& error) {
        if (!error)
            self->end();
    });
}

void PeerInbound::end()
{
    if (!this->open)
        return;
    this->close();
    this->closed(this);
}

void PeerInbound::close()
{
    this->open = false;
    this->timer.cancel();
    ErrorCode ignored;
    this->socket.close(ignored);
}

}
