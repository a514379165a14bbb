#include <filbertspoke/Http>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/serialize.hpp>

#include <set>
#include <sstream>
#include <utility>

namespace filbertspoke {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t maximumBodyBytes = 256 * 1024 * 1024;
// Limit of unparsed request bytes: a header section, or a chunk header or trailer section, to which the parser applies no limit.
constexpr std::size_t maximumBufferBytes = 64 * 1024;

HttpRequest toRequest(http::request<http::string_body> message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message)
        request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    request.body = std::move(message.body());
    return request;
}

http::response<http::string_body> toMessage(HttpResponse response, unsigned version, bool keepAlive)
{
    http::response<http::string_body> message;
    message.version(version);
    message.result(response.status);
    for (const HttpHeader& header : response.headers)
        message.set(header.name, header.value);
    message.keep_alive(keepAlive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    return message;
}

}

class HttpServer::State : public std::enable_shared_from_this<State> {
public:
    State(asio::io_context& context, const tcp::endpoint& endpoint, Handler handler, ConnectionKind kind)
        : acceptor(context, endpoint)
        , handler(std::move(handler))
        , socketTimeouts(socketTimeoutsFor(kind))
    {
    }

    asio::awaitable<void> listen();
    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket);
    void stop();

    tcp::acceptor acceptor;

private:
    Handler handler;
    SocketTimeouts socketTimeouts;
    std::set<std::shared_ptr<tcp::socket>> sockets;
};

asio::awaitable<void> HttpServer::State::listen()
{
    const auto self = this->shared_from_this();
    while (this->acceptor.is_open()) {
        auto [error, accepted] = co_await this->acceptor.async_accept(asTuple);
        if (error)
            continue;
        auto socket = std::make_shared<tcp::socket>(std::move(accepted));
        socket->set_option(tcp::no_delay(true), error);
        setSocketTimeouts(socket->native_handle(), this->socketTimeouts);
        this->sockets.insert(socket);
        asio::co_spawn(this->acceptor.get_executor(), this->serve(socket), asio::detached);
    }
}

asio::awaitable<void> HttpServer::State::serve(std::shared_ptr<tcp::socket> socket)
{
    const auto self = this->shared_from_this();
    beast::flat_buffer buffer { maximumBufferBytes };
    bool open = true;
    while (open) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(maximumBodyBytes);
        const auto [readError, readBytes] = co_await http::async_read(*socket, buffer, parser, asTuple);
        if (readError)
            break;
        const bool keepAlive = parser.get().keep_alive();
        const unsigned version = parser.get().version();
        HttpRequest request = toRequest(parser.release());
        std::optional<HttpResponse> response = co_await this->handler(std::move(request));
        if (!response)
            break;
        auto message = toMessage(std::move(*response), version, keepAlive);
        const auto [writeError, writtenBytes] = co_await http::async_write(*socket, message, asTuple);
        open = !writeError && keepAlive;
    }
    beast::error_code ignored;
    socket->close(ignored);
    this->sockets.erase(socket);
}

void HttpServer::State::stop()
{
    beast::error_code ignored;
    this->acceptor.close(ignored);
    for (const auto& socket : this->sockets)
        socket->close(ignored);
}

HttpServer::HttpServer(asio::io_context& context, const HttpAddress& address, Handler handler, ConnectionKind kind)
    : state(std::make_shared<State>(context, tcp::endpoint(asio::ip::make_address(address.address), address.port), std::move(handler), kind))
{
    asio::co_spawn(context, this->state->listen(), asio::detached);
}

HttpServer::~HttpServer()
{
    this->stop();
}

HttpAddress HttpServer::address() const
{
    const tcp::endpoint endpoint = this->state->acceptor.local_endpoint();
    return { endpoint.address().to_string(), endpoint.port() };
}

void HttpServer::stop()
{
    this->state->stop();
}

HttpResponse jsonResponse(const boost::json::value& body, unsigned status)
{
    return { status, { { "Content-Type", "application/json" } }, boost::json::serialize(body) };
}

std::string targetPath(const HttpRequest& request)
{
    return request.target.substr(0, request.target.find('?'));
}

std::map<std::string, std::string> targetQuery(const HttpRequest& request)
{
    std::map<std::string, std::string> parameters;
    const auto start = request.target.find('?');
    if (start == std::string::npos)
        return parameters;
    std::istringstream query(request.target.substr(start + 1));
    for (std::string parameter; std::getline(query, parameter, '&');) {
        const auto equals = parameter.find('=');
        if (equals != std::string::npos)
            parameters[parameter.substr(0, equals)] = parameter.substr(equals + 1);
    }
    return parameters;
}

}
