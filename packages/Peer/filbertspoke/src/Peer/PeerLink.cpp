#include "PeerLink.h"

#include "PeerFrame.h"
#include "internal/PeerDatagrams.h"
#include "internal/PeerInbound.h"
#include "internal/PeerOutbound.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <utility>
#include <variant>

namespace filbertspoke {

using boost::asio::ip::tcp;
using SystemError = boost::system::error_code;

namespace {

bool isHeartbeat(const PeerMessage& message)
{
    return std::holds_alternative<PeerProbe>(message) || std::holds_alternative<PeerProbeRequest>(message)
        || std::holds_alternative<PeerProbeAnswer>(message);
}

}

class PeerLink::Implementation : public std::enable_shared_from_this<Implementation> {
public:
    Implementation(boost::asio::io_context& context, PeerLinkSettings settings, Sink sink)
        : context(context)
        , settings(std::move(settings))
        , sink(std::move(sink))
        , acceptor(context)
        , acceptTimer(context)
    {
    }

    std::error_code start();
    void send(const SendToPeer&);
    void stop();
    std::uint16_t port() const { return this->boundPort; }
    const PeerLinkCounters& counters() const { return this->counts; }

private:
    SystemError listen();
    void accept();
    void retryAccept();
    void addInbound(tcp::socket);
    void receive(std::string_view bytes);
    internal::PeerOutbound& outbound(const ListedDaemon&);
    void emit(Event);

    boost::asio::io_context& context;
    PeerLinkSettings settings;
    Sink sink;
    PeerLinkCounters counts;
    tcp::acceptor acceptor;
    boost::asio::steady_timer acceptTimer;
    bool stopped = false;
    std::uint16_t boundPort = 0;
    std::shared_ptr<internal::PeerDatagrams> datagrams;
    std::map<DaemonId, std::shared_ptr<internal::PeerOutbound>> outgoing;
    std::map<internal::PeerInbound*, std::shared_ptr<internal::PeerInbound>> incoming;
};

std::error_code PeerLink::Implementation::start()
{
    SystemError error = this->listen();
    if (error)
        return error;
    auto self = this->shared_from_this();
    this->datagrams = std::make_shared<internal::PeerDatagrams>(this->context, this->counts,
        [self](std::string_view bytes) { self->receive(bytes); });
    const auto local = this->acceptor.local_endpoint();
    this->boundPort = local.port();
    error = this->datagrams->start({ local.address(), local.port() });
    if (!error)
        this->accept();
    return error;
}

SystemError PeerLink::Implementation::listen()
{
    SystemError error;
    const auto address = boost::asio::ip::make_address(this->settings.address, error);
    if (error)
        return error;
    const tcp::endpoint local(address, this->settings.port);
    this->acceptor.open(local.protocol(), error);
    if (!error)
        this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        this->acceptor.bind(local, error);
    if (!error)
        this->acceptor.listen(tcp::acceptor::max_listen_connections, error);
    return error;
}

void PeerLink::Implementation::accept()
{
    auto self = this->shared_from_this();
    this->acceptor.async_accept([self](const SystemError& error, tcp::socket socket) {
        if (!self->acceptor.is_open())
            return;
        if (error)
            return self->retryAccept();
        self->addInbound(std::move(socket));
        self->accept();
    });
}

/** Waits before it accepts again: a lack of file descriptors is temporary, and an immediate retry would only spin. */
void PeerLink::Implementation::retryAccept()
{
    constexpr Duration pause = std::chrono::milliseconds(100);
    this->acceptTimer.expires_after(pause);
    auto self = this->shared_from_this();
    this->acceptTimer.async_wait([self](const SystemError& error) {
        if (!error && self->acceptor.is_open())
            self->accept();
    });
}

void PeerLink::Implementation::addInbound(tcp::socket socket)
{
    if (this->incoming.size() >= this->settings.maximumInboundConnections)
        return;
    setSocketTimeouts(socket.native_handle(), this->settings.socketTimeouts);
    auto self = this->shared_from_this();
    auto connection = std::make_shared<internal::PeerInbound>(
        std::move(socket), this->settings, this->counts,
        [self](std::string_view bytes) { self->receive(bytes); },
        [self](internal::PeerInbound* closed) { self->incoming.erase(closed); });
    this->incoming.emplace(connection.get(), connection);
    connection->start();
}

void PeerLink::Implementation::receive(std::string_view bytes)
{
    Result<PeerFrame> frame = decodePeerFrame(bytes);
    if (frame) {
        ++this->counts.framesReceived;
        this->emit(PeerMessageReceived { std::move(frame->sender), std::move(frame->message) });
    } else if (frame.error() == ErrorCode::UnsupportedVersion) {
        ++this->counts.unknownFrames;
    } else {
        ++this->counts.malformedFrames;
    }
}

void PeerLink::Implementation::send(const SendToPeer& action)
{
    if (this->stopped || !this->datagrams)
        return;
    const std::string frame = encodePeerFrame({ this->settings.self, action.message });
    if (frame.size() > maxPeerFrameBytes)
        ++this->counts.droppedFrames;
    else if (isHeartbeat(action.message) && frame.size() <= internal::maxDatagramBytes)
        this->datagrams->send(action.peer, frame);
    else
        this->outbound(action.peer).send(frame);
}

internal::PeerOutbound& PeerLink::Implementation::outbound(const ListedDaemon& peer)
{
    std::shared_ptr<internal::PeerOutbound>& connection = this->outgoing[peer.id];
    if (connection && connection->daemon() == peer)
        return *connection;
    if (connection)
        connection->close();
    auto self = this->shared_from_this();
    connection = std::make_shared<internal::PeerOutbound>(this->context, this->settings, this->counts, peer,
        [self](const DaemonId& id) { self->emit(PeerSendFailed { id }); });
    return *connection;
}

void PeerLink::Implementation::emit(Event event)
{
    if (!this->stopped)
        this->sink(std::move(event));
}

void PeerLink::Implementation::stop()
{
    this->stopped = true;
    this->acceptTimer.cancel();
    SystemError ignored;
    this->acceptor.close(ignored);
    if (auto socket = std::exchange(this->datagrams, nullptr))
        socket->close();
    for (auto& [id, connection] : std::exchange(this->outgoing, {}))
        connection->close();
    for (auto& [key, connection] : std::exchange(this->incoming, {}))
        connection->close();
}

PeerLink::PeerLink(boost::asio::io_context& context, PeerLinkSettings settings, Sink sink)
    : implementation(std::make_shared<Implementation>(context, std::move(settings), std::move(sink)))
{
}

PeerLink::~PeerLink()
{
    this->stop();
}

std::error_code PeerLink::start()
{
    return this->implementation->start();
}

void PeerLink::send(const SendToPeer& action)
{
    this->implementation->send(action);
}

void PeerLink::stop()
{
    this->implementation->stop();
}

std::uint16_t PeerLink::port() const
{
    return this->implementation->port();
}

const PeerLinkCounters& PeerLink::counters() const
{
    return this->implementation->counters();
}

}
