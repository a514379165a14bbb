#include "PeerDatagrams.h"

#include <boost/asio/buffer.hpp>

#include <utility>

namespace filbertspoke::internal {

using boost::asio::ip::udp;
using ErrorCode = boost::system::error_code;

PeerDatagrams::PeerDatagrams(boost::asio::io_context& context, PeerLinkCounters& counters, FrameHandler handleFrame)
    : counters(counters)
    , handleFrame(std::move(handleFrame))
    , socket(context)
{
}

ErrorCode PeerDatagrams::start(const udp::endpoint& local)
{
    ErrorCode error;
    this->socket.open(local.protocol(), error);
    if (!error)
        this->socket.bind(local, error);
    if (!error)
        this->socket.non_blocking(true, error);
    if (!error)
        this->receive();
    return error;
}

/** Counts a datagram that can't be sent as dropped; the heartbeat's time-out then handles the loss. */
void PeerDatagrams::send(const ListedDaemon& peer, const std::string& bytes)
{
    ErrorCode error;
    const auto address = boost::asio::ip::make_address(peer.address, error);
    if (!error)
        this->socket.send_to(boost::asio::buffer(bytes), udp::endpoint(address, peer.port), 0, error);
    if (error) {
        ++this->counters.droppedFrames;
        return;
    }
    ++this->counters.framesSent;
    this->counters.bytesSent += bytes.size();
}

void PeerDatagrams::receive()
{
    auto self = this->shared_from_this();
    this->socket.async_receive_from(boost::asio::buffer(this->buffer), this->remote,
        [self](const ErrorCode& error, std::size_t bytes) {
            if (!self->socket.is_open())
                return;
            if (!error) {
                self->counters.bytesReceived += bytes;
                self->handleFrame(std::string_view(self->buffer.data(), bytes));
            }
            if (self->socket.is_open())
                self->receive();
        });
}

void PeerDatagrams::close()
{
    ErrorCode ignored;
    this->socket.close(ignored);
}

}
