#include "RelayStandIn.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/parse.hpp>

#include <array>
#include <string>
#include <utility>

namespace filbertspoke {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds blackHoleCheck { 5 };
constexpr std::size_t chunkBytes = 64 * 1024;

tcp::endpoint toEndpoint(const HttpAddress& address)
{
    return { asio::ip::make_address(address.address), address.port };
}

}

RelayStandIn::RelayStandIn(asio::io_context& context, const HttpAddress& address, const HttpAddress& target, const HttpAddress& control)
    : context(context)
    , target(toEndpoint(target))
    , acceptor(context, toEndpoint(address))
    , controlServer(context, control, [this](HttpRequest request) -> asio::awaitable<std::optional<HttpResponse>> {
        this->control(boost::json::parse(request.body).as_object());
        co_return jsonResponse(boost::json::object());
    })
{
    asio::co_spawn(context, this->listen(), asio::detached);
}

HttpAddress RelayStandIn::address() const
{
    const tcp::endpoint endpoint = this->acceptor.local_endpoint();
    return { endpoint.address().to_string(), endpoint.port() };
}

asio::awaitable<void> RelayStandIn::listen()
{
    while (this->acceptor.is_open()) {
        auto [error, accepted] = co_await this->acceptor.async_accept(asTuple);
        if (error || this->mode == Mode::Cut)
            continue;
        asio::co_spawn(this->context, this->connect(std::make_shared<Socket>(std::move(accepted))), asio::detached);
    }
}

asio::awaitable<void> RelayStandIn::connect(SharedSocket client)
{
    auto server = std::make_shared<Socket>(this->context);
    const auto [error] = co_await server->async_connect(this->target, asTuple);
    if (error)
        co_return;
    client->set_option(tcp::no_delay(true));
    server->set_option(tcp::no_delay(true));
    this->sockets.insert(client);
    this->sockets.insert(server);
    asio::co_spawn(this->context, this->forward(client, server, Direction::ToTarget), asio::detached);
    asio::co_spawn(this->context, this->forward(server, client, Direction::FromTarget), asio::detached);
}

asio::awaitable<void> RelayStandIn::forward(SharedSocket from, SharedSocket to, Direction direction)
{
    std::array<char, chunkBytes> chunk {};
    bool open = true;
    while (open) {
        const auto [readError, bytes] = co_await from->async_read_some(asio::buffer(chunk), asTuple);
        if (readError)
            break;
        if (this->delay.count() > 0)
            co_await this->pauseFor(this->delay);
        while (!this->passes(from, direction))
            co_await this->pauseFor(blackHoleCheck);
        const auto [writeError, written] = co_await asio::async_write(*to, asio::buffer(chunk, bytes), asTuple);
        open = !writeError;
    }
    boost::system::error_code ignored;
    to->close(ignored);
    from->close(ignored);
    this->sockets.erase(from);
    this->silenced.erase(from);
}

bool RelayStandIn::passes(const SharedSocket& from, Direction direction) const
{
    return !this->silenced.contains(from) && this->mode != Mode::BlackHole && (this->mode != Mode::OneWay || direction == Direction::ToTarget);
}

asio::awaitable<void> RelayStandIn::pauseFor(std::chrono::milliseconds duration)
{
    asio::steady_timer timer(this->context, duration);
    co_await timer.async_wait(asTuple);
}

void RelayStandIn::control(const boost::json::object& order)
{
    if (const auto* value = order.if_contains("delayMs"))
        this->delay = std::chrono::milliseconds(value->to_number<std::int64_t>());
    const auto* value = order.if_contains("mode");
    const std::string mode = value ? std::string(value->as_string()) : std::string();
    if (value)
        this->mode = mode == "cut" ? Mode::Cut : mode == "black-hole" ? Mode::BlackHole
            : mode == "one-way"                                       ? Mode::OneWay
                                                                      : Mode::Forward;
    if (mode == "silence")
        this->silenced = this->sockets;
    if (mode != "cut" && mode != "reset")
        return;
    boost::system::error_code ignored;
    for (const SharedSocket& socket : this->sockets) {
        if (mode == "reset")
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
}

}
