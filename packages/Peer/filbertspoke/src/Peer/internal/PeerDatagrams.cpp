#include "PeerDatagrams.h"

#include <boost/asio/buffer.hpp>

#include <utility>

namespace filbertspoke::internal {

using boost::asio::ip::udp;
using ErrorCode = boost::system::error_code;

PeerDatagrams::PeerDatagrams(boost::asio::io_context& context, PeerLinkCounters& counters, Frame frame)
    : counters(counters)
    , frame(std::move(frame))
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

/** A datagram that can't be sent counts as lost: the heartbeat's own time-out follows. */
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
                self->frame(std::string_view(self->buffer.data(), bytes));
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
