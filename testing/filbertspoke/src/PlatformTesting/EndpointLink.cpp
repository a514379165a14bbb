#include <filbertspoke/PlatformTesting>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <deque>
#include <set>
#include <utility>

#include <fcntl.h>
#include <sys/socket.h>

namespace filbertspoke {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds stateCheckInterval { 5 };
constexpr std::size_t chunkBytes = 64 * 1024;
constexpr int queueLength = 128;
// Connections of the link's own that fill the queue of a listener with the backlog 0, so that others wait in vain.
constexpr int queueFillers = 4;

bool isReset(tcp::socket& socket)
{
    char byte = 0;
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == ECONNRESET;
}

}

class EndpointLink::State : public std::enable_shared_from_this<State> {
public:
    using SharedSocket = std::shared_ptr<tcp::socket>;

    enum class Direction {
        ToEndpoint,
        FromEndpoint,
    };

    State(asio::io_context& context, const std::string& address, const HttpAddress& endpoint)
        : context(context)
        , target(asio::ip::make_address(endpoint.address), endpoint.port)
        , acceptor(context)
        , own(asio::ip::make_address(address), 0)
    {
        this->openListener();
        this->own = this->acceptor.local_endpoint();
    }

    void openListener()
    {
        this->acceptor.open(tcp::v4());
        this->acceptor.set_option(tcp::acceptor::reuse_address(true));
        // A gateway that the test starts would keep the socket listening.
        ::fcntl(this->acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
        this->acceptor.bind(this->own);
        this->acceptor.listen(queueLength);
    }

    bool acceptsConnections() const { return this->current == LinkState::Open; }

    asio::awaitable<void> listen()
    {
        const auto self = this->shared_from_this();
        while (!this->ended) {
            if (!this->acceptsConnections()) {
                co_await this->pause();
                continue;
            }
            auto [error, accepted] = co_await this->acceptor.async_accept(asTuple);
            if (!error)
                asio::co_spawn(this->context, this->connect(std::make_shared<tcp::socket>(std::move(accepted))), asio::detached);
        }
    }

    asio::awaitable<void> connect(SharedSocket client)
    {
        const auto self = this->shared_from_this();
        auto server = std::make_shared<tcp::socket>(this->context);
        const auto [error] = co_await server->async_connect(this->target, asTuple);
        if (error)
            co_return;
        this->sockets.insert(client);
        this->sockets.insert(server);
        asio::co_spawn(this->context, this->forward(client, server, Direction::ToEndpoint), asio::detached);
        asio::co_spawn(this->context, this->forward(server, client, Direction::FromEndpoint), asio::detached);
    }

    bool passes(Direction direction) const
    {
        return this->current != LinkState::Hanging && (this->current != LinkState::Unanswered || direction == Direction::ToEndpoint);
    }

    asio::awaitable<void> forward(SharedSocket from, SharedSocket to, Direction direction)
    {
        const auto self = this->shared_from_this();
        std::array<char, chunkBytes> chunk {};
        bool open = true;
        while (open) {
            const auto [readError, bytes] = co_await from->async_read_some(asio::buffer(chunk), asTuple);
            const bool held = !this->passes(direction);
            while (!this->ended && !this->passes(direction))
                co_await this->pause();
            if (readError || (held && isReset(*from)))
                break;
            const auto [writeError, written] = co_await asio::async_write(*to, asio::buffer(chunk, bytes), asTuple);
            open = !writeError;
        }
        reset(*to);
        reset(*from);
        this->sockets.erase(from);
    }

    static void reset(tcp::socket& socket)
    {
        boost::system::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    asio::awaitable<void> pause()
    {
        asio::steady_timer timer(this->context, stateCheckInterval);
        co_await timer.async_wait(asTuple);
    }

    void fillQueue()
    {
        ::listen(this->acceptor.native_handle(), 0);
        for (int filler = 0; filler < queueFillers; ++filler) {
            tcp::socket& socket = this->fillers.emplace_back(this->context, tcp::v4());
            socket.non_blocking(true);
            // The connection need not be established, and Asio would wait for it.
            ::connect(socket.native_handle(), this->own.data(), static_cast<socklen_t>(this->own.size()));
        }
    }

    void change(LinkState next)
    {
        boost::system::error_code ignored;
        this->acceptor.cancel(ignored);
        this->fillers.clear();
        this->current = next;
        const bool refuses = next == LinkState::Reset || next == LinkState::RefusingNew;
        if (refuses)
            this->acceptor.close(ignored);
        else if (!this->acceptor.is_open())
            this->openListener();
        if (next == LinkState::Open)
            ::listen(this->acceptor.native_handle(), queueLength);
        if (next == LinkState::Hanging || next == LinkState::Unanswered)
            this->fillQueue();
        if (next == LinkState::Reset) {
            for (const SharedSocket& socket : this->sockets)
                reset(*socket);
        }
    }

    asio::io_context& context;
    tcp::endpoint target;
    tcp::acceptor acceptor;
    tcp::endpoint own; ///< kept while the acceptor is closed
    LinkState current = LinkState::Open;
    bool ended = false;
    std::set<SharedSocket> sockets;
    std::deque<tcp::socket> fillers;
};

EndpointLink::EndpointLink(asio::io_context& context, const std::string& address, const HttpAddress& endpoint)
    : state(std::make_shared<State>(context, address, endpoint))
{
    asio::co_spawn(context, this->state->listen(), asio::detached);
}

EndpointLink::~EndpointLink()
{
    this->state->ended = true;
    boost::system::error_code ignored;
    this->state->acceptor.close(ignored);
}

HttpAddress EndpointLink::address() const
{
    return { this->state->own.address().to_string(), this->state->own.port() };
}

void EndpointLink::setState(LinkState next)
{
    this->state->change(next);
}

}
