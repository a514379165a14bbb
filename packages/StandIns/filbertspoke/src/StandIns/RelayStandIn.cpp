#include "RelayStandIn.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/parse.hpp>

#include <array>
#include <map>
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
    this->listening = this->acceptor.local_endpoint();
    asio::co_spawn(context, this->listen(), asio::detached);
}

HttpAddress RelayStandIn::address() const
{
    return { this->listening.address().to_string(), this->listening.port() };
}

asio::awaitable<void> RelayStandIn::listen()
{
    while (this->acceptor.is_open()) {
        auto [error, accepted] = co_await this->acceptor.async_accept(asTuple);
        if (error == asio::error::operation_aborted)
            co_return;
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
    return !this->silenced.contains(from) && this->mode != Mode::BlackHole && this->mode != Mode::Unreachable && (this->mode != Mode::OneWay || direction == Direction::ToTarget);
}

asio::awaitable<void> RelayStandIn::pauseFor(std::chrono::milliseconds duration)
{
    asio::steady_timer timer(this->context, duration);
    co_await timer.async_wait(asTuple);
}

void RelayStandIn::setMode(Mode value)
{
    const auto listens = [](Mode tested) { return tested != Mode::Refuse && tested != Mode::Unreachable; };
    const bool listened = listens(this->mode);
    this->mode = value;
    if (listened && listens(value))
        return;
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    this->queued.clear();
    if (value == Mode::Refuse)
        return;
    if (value == Mode::Unreachable)
        return this->fillQueue();
    this->acceptor = tcp::acceptor(this->context, this->listening);
    asio::co_spawn(this->context, this->listen(), asio::detached);
}

void RelayStandIn::fillQueue()
{
    constexpr std::size_t connections = 4;
    this->acceptor.open(this->listening.protocol());
    this->acceptor.set_option(tcp::acceptor::reuse_address(true));
    this->acceptor.bind(this->listening);
    this->acceptor.listen(0);
    for (std::size_t index = 0; index < connections; ++index) {
        this->queued.emplace_back(this->context);
        this->queued.back().async_connect(this->listening, [](const boost::system::error_code&) {});
    }
}

void RelayStandIn::resetConnections()
{
    boost::system::error_code ignored;
    for (const SharedSocket& socket : this->sockets) {
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
}

void RelayStandIn::control(const boost::json::object& order)
{
    if (const auto* value = order.if_contains("delayMs"))
        this->delay = std::chrono::milliseconds(value->to_number<std::int64_t>());
    const auto* value = order.if_contains("mode");
    const std::string mode = value ? std::string(value->as_string()) : std::string();
    static const std::map<std::string, Mode> modes { { "cut", Mode::Cut }, { "black-hole", Mode::BlackHole }, { "one-way", Mode::OneWay }, { "refuse", Mode::Refuse }, { "reset-refuse", Mode::Refuse }, { "unreachable", Mode::Unreachable } };
    const auto entry = modes.find(mode);
    if (value)
        this->setMode(entry == modes.end() ? Mode::Forward : entry->second);
    if (mode == "silence")
        this->silenced = this->sockets;
    if (mode == "reset" || mode == "reset-refuse")
        this->resetConnections();
    boost::system::error_code ignored;
    if (mode == "cut") {
        for (const SharedSocket& socket : this->sockets)
            socket->close(ignored);
    }
}

}
