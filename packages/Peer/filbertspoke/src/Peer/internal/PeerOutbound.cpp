#include "PeerOutbound.h"

#include "FrameLength.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace filbertspoke::internal {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

PeerOutbound::PeerOutbound(boost::asio::io_context& context, const PeerLinkSettings& settings,
    PeerLinkCounters& counters, ListedDaemon peer, FailureHandler handleFailure)
    : settings(settings)
    , counters(counters)
    , peer(std::move(peer))
    , handleFailure(std::move(handleFailure))
    , socket(context)
    , timer(context)
{
}

void PeerOutbound::send(const std::string& frame)
{
    if (this->queued.size() + frame.size() > this->settings.maximumQueuedBytes) {
        ++this->counters.droppedFrames;
        return;
    }
    this->queued += frameLength(frame.size());
    this->queued += frame;
    ++this->queuedFrames;
    if (this->state == State::Closed)
        this->connect();
    else if (this->state == State::Connected && this->inFlight.empty())
        this->write();
}

void PeerOutbound::connect()
{
    this->state = State::Connecting;
    ++this->connectionNumber;
    auto self = this->shared_from_this();
    ErrorCode error;
    const auto address = boost::asio::ip::make_address(this->peer.address, error);
    const tcp::endpoint remote(address, this->peer.port);
    if (!error)
        error = this->open(remote);
    if (error) {
        boost::asio::post(this->socket.get_executor(), [self, attempt = this->connectionNumber] {
            if (attempt == self->connectionNumber)
                self->fail();
        });
        return;
    }
    this->startTimeout(this->settings.connectTimeout);
    this->socket.async_connect(remote, [self, attempt = this->connectionNumber](const ErrorCode& error) {
        if (attempt != self->connectionNumber)
            return;
        if (error)
            return self->fail();
        self->state = State::Connected;
        self->watchForClose();
        self->write();
    });
}

ErrorCode PeerOutbound::open(const tcp::endpoint& remote)
{
    ErrorCode error;
    this->socket.open(remote.protocol(), error);
    if (!error)
        this->socket.set_option(tcp::no_delay(true), error);
    if (!error)
        error = setSocketTimeouts(this->socket.native_handle(), this->settings.socketTimeouts);
    const auto own = error ? boost::asio::ip::address() : boost::asio::ip::make_address(this->settings.address, error);
    if (!error && own.is_v4() == remote.address().is_v4())
        this->socket.bind(tcp::endpoint(own, 0), error);
    return error;
}

void PeerOutbound::write()
{
    if (this->queued.empty())
        return this->startIdleTimeout();
    this->inFlight = std::exchange(this->queued, {});
    this->framesInFlight = std::exchange(this->queuedFrames, 0);
    this->startTimeout(this->settings.writeTimeout);
    auto self = this->shared_from_this();
    boost::asio::async_write(this->socket, boost::asio::buffer(this->inFlight),
        [self, attempt = this->connectionNumber](const ErrorCode& error, std::size_t bytes) {
            if (attempt != self->connectionNumber)
                return;
            self->counters.bytesSent += bytes;
            if (error)
                return self->fail();
            self->counters.framesSent += self->framesInFlight;
            self->inFlight.clear();
            self->write();
        });
}

/** Treats any completed read as a failure: the peer sends nothing on this connection, so the end of the stream means
 * that its process ended. */
void PeerOutbound::watchForClose()
{
    auto self = this->shared_from_this();
    this->socket.async_read_some(boost::asio::buffer(this->readBuffer),
        [self, attempt = this->connectionNumber](const ErrorCode&, std::size_t) {
            if (attempt == self->connectionNumber)
                self->fail();
        });
}

void PeerOutbound::startTimeout(Duration duration)
{
    this->timer.expires_after(duration);
    auto self = this->shared_from_this();
    this->timer.async_wait([self, attempt = this->connectionNumber](const ErrorCode& error) {
        if (!error && attempt == self->connectionNumber)
            self->fail();
    });
}

void PeerOutbound::startIdleTimeout()
{
    this->timer.expires_after(this->settings.idleTimeout);
    auto self = this->shared_from_this();
    this->timer.async_wait([self, attempt = this->connectionNumber](const ErrorCode& error) {
        if (!error && attempt == self->connectionNumber)
            self->close();
    });
}

void PeerOutbound::fail()
{
    this->counters.droppedFrames += this->framesInFlight + this->queuedFrames;
    this->close();
    this->handleFailure(this->peer.id);
}

void PeerOutbound::close()
{
    ++this->connectionNumber;
    this->state = State::Closed;
    this->timer.cancel();
    ErrorCode ignored;
    this->socket.close(ignored);
    this->queued.clear();
    this->inFlight.clear();
    this->queuedFrames = 0;
    this->framesInFlight = 0;
}

}
