#include <filbertspoke/Proxy>

#include "internal/Awaiting.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>

#include <array>
#include <charconv>

namespace filbertspoke {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t bodyChunkBytes = 16 * 1024;
constexpr std::size_t maximumHeaderBytes = 64 * 1024;
// Limit of unparsed response bytes: a head, or the chunk headers between two parts of a body.
constexpr std::size_t maximumBufferBytes = 2 * maximumHeaderBytes;
// A larger rest of a body is not worth reading only to reuse the connection.
constexpr std::size_t maximumSkippedBytes = 64 * 1024;

std::string headText(const HttpRequest& request)
{
    std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    for (const HttpHeader& header : request.headers)
        text.append(header.name).append(": ").append(header.value).append("\r\n");
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD"))
        text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    text.append("\r\n");
    return text;
}

}

bool isTimeout(const std::error_code& error)
{
    return error == std::error_code(beast::error_code(beast::error::timeout));
}

class UpstreamConnection::State {
public:
    State(asio::io_context& context, SocketAddress address)
        : stream(context)
        , address(std::move(address))
    {
    }

    beast::tcp_stream stream;
    SocketAddress address;
    beast::flat_buffer buffer { maximumBufferBytes };
    std::optional<ResponseParser> parser;
    bool headRequest = false; ///< the current request has the method HEAD, so that its response has no body
    bool requestInterrupted = false; ///< the current request could not be sent whole
    bool usable = false;
};

UpstreamConnection::UpstreamConnection(asio::io_context& context, SocketAddress address)
    : state(std::make_shared<State>(context, std::move(address)))
{
}

UpstreamConnection::~UpstreamConnection()
{
    this->close();
}

asio::awaitable<std::error_code> UpstreamConnection::connect(Duration timeout)
{
    const auto state = this->state;
    beast::error_code error;
    const auto ip = asio::ip::make_address(state->address.address, error);
    if (error)
        co_return error;
    state->stream.expires_after(timeout);
    const auto [connectError] = co_await state->stream.async_connect(tcp::endpoint(ip, state->address.port), asTuple);
    if (connectError)
        co_return connectError;
    state->stream.socket().set_option(tcp::no_delay(true), error);
    if (const std::error_code refused = setSocketTimeouts(state->stream.socket().native_handle(), socketTimeoutsFor(ConnectionKind::Endpoint)))
        logLine(WriteLog::Level::Warning, "socket-option-refused", { { "option", "timeouts" }, { "endpoint", formatSocketAddress(state->address) }, { "reason", refused.message() } });
    // With a zero linger time, closing the connection or ending the process discards unsent bytes, so that a request queued
    // behind a broken link is not delivered once the link recovers.
    state->stream.socket().set_option(asio::socket_base::linger(true, 0), error);
    if (error)
        logLine(WriteLog::Level::Warning, "socket-option-refused", { { "option", "linger" }, { "endpoint", formatSocketAddress(state->address) }, { "reason", error.message() } });
    state->usable = true;
    co_return std::error_code {};
}

asio::awaitable<std::error_code> UpstreamConnection::send(const HttpRequest& request, Duration timeout)
{
    const auto state = this->state;
    // The body is written from the request: another copy would be memory that no limit counts.
    const std::string head = headText(request);
    const std::array<asio::const_buffer, 2> message { asio::buffer(head), asio::buffer(request.body) };
    state->headRequest = request.method == "HEAD";
    state->parser.reset();
    state->stream.expires_after(timeout);
    const auto [error, bytes] = co_await asio::async_write(state->stream, message, asTuple);
    state->requestInterrupted = static_cast<bool>(error);
    co_return error;
}

asio::awaitable<Result<ResponseHead>> UpstreamConnection::readHead(Duration timeout)
{
    const auto state = this->state;
    state->stream.expires_after(timeout);
    for (unsigned interim = 0; interim <= maximumInterimResponses; ++interim) {
        auto& parser = state->parser.emplace();
        parser.header_limit(maximumHeaderBytes);
        parser.body_limit(boost::none);
        parser.skip(state->headRequest);
        if (state->requestInterrupted)
            parser.setRequestInterrupted();
        const auto [error, bytes] = co_await http::async_read_header(state->stream, state->buffer, parser, asTuple);
        if (error) {
            state->usable = false;
            co_return std::error_code(error);
        }
        if (!parser.isInterim())
            co_return ResponseHead { parser.status(), parser.headers() };
    }
    state->usable = false;
    co_return make_error_code(ErrorCode::MalformedMessage);
}

asio::awaitable<Result<BodyProgress>> UpstreamConnection::readBody(std::string& body, Duration timeout)
{
    const auto state = this->state;
    auto& parser = *state->parser;
    if (parser.is_done())
        co_return BodyProgress::Ended;
    parser.setBodyCapacity(bodyChunkBytes);
    state->stream.expires_after(timeout);
    const auto [error, bytes] = co_await http::async_read_some(state->stream, state->buffer, parser, asTuple);
    body += parser.takeBody();
    if (error && error != http::error::need_buffer) {
        state->usable = false;
        co_return std::error_code(error);
    }
    if (!parser.is_done())
        co_return BodyProgress::More;
    // The endpoint may have ended its side, and reset the connection because it takes no more of the request.
    const std::error_code reset = parser.need_eof() ? takePendingError(state->stream.socket().native_handle()) : std::error_code();
    if (reset) {
        state->usable = false;
        co_return reset;
    }
    co_return BodyProgress::Ended;
}

asio::awaitable<std::error_code> UpstreamConnection::skipBody(Duration timeout)
{
    const TimePoint limit = bootNow() + timeout;
    std::size_t skipped = 0;
    Result<BodyProgress> progress = BodyProgress::More;
    while (progress && *progress == BodyProgress::More) {
        const Duration left = limit - bootNow();
        if (left <= Duration::zero() || skipped > maximumSkippedBytes)
            co_return make_error_code(ErrorCode::MalformedMessage);
        std::string dropped;
        progress = co_await this->readBody(dropped, left);
        skipped += dropped.size();
    }
    co_return progress ? std::error_code {} : progress.error();
}

bool UpstreamConnection::reusable()
{
    if (!this->state->usable || !this->state->parser || !this->state->parser->is_done() || !this->state->parser->keep_alive() || this->state->buffer.size() > 0)
        return false;
    char byte = 0;
    beast::error_code error;
    auto& socket = this->state->stream.socket();
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
}

bool UpstreamConnection::endsWithConnection() const
{
    return this->state->parser && this->state->parser->need_eof();
}

std::optional<Duration> UpstreamConnection::keepAlive() const
{
    constexpr std::string_view parameter = "timeout=";
    if (!this->state->parser)
        return std::nullopt;
    const std::string_view value = findHeader(this->state->parser->headers(), "Keep-Alive");
    const std::size_t start = value.find(parameter);
    if (start == std::string_view::npos)
        return std::nullopt;
    unsigned seconds = 0;
    const auto [rest, error] = std::from_chars(value.data() + start + parameter.size(), value.data() + value.size(), seconds);
    if (error != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

void UpstreamConnection::close()
{
    this->state->usable = false;
    this->state->stream.close();
}

}
