#include <filbertspoke/Proxy>

#include "internal/Awaiting.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>
#include <string>

namespace filbertspoke {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// A write that does not finish within this time marks the caller as disconnected.
constexpr Duration writeTimeout = std::chrono::seconds(10);
// Longest chunk header without an extension, in addition to the trailer section, to which the limit of the header section applies.
constexpr std::size_t chunkHeaderBytes = 1024;
// Time for which a connection is read after its last response; callers close it as soon as they have the response.
constexpr Duration lingerTimeout = std::chrono::seconds(1);

CallerReadFailure readFailure(const beast::error_code& error, bool headerRead)
{
    if (error == beast::error::timeout)
        return CallerReadFailure::TimedOut;
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return headerRead ? CallerReadFailure::BodyTooLarge : CallerReadFailure::HeaderTooLarge;
    if (error == http::error::body_limit)
        return CallerReadFailure::BodyTooLarge;
    if (error == http::error::end_of_stream)
        return CallerReadFailure::Closed;
    if (error == http::error::partial_message)
        return CallerReadFailure::Incomplete;
    if (error.category() == http::make_error_code(http::error::bad_method).category())
        return CallerReadFailure::Malformed;
    return CallerReadFailure::Incomplete;
}

std::string headText(unsigned status, const std::vector<HttpHeader>& headers, bool keepAlive)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ';
    text.append(http::obsolete_reason(http::int_to_status(status))).append("\r\n");
    for (const HttpHeader& header : headers)
        text.append(header.name).append(": ").append(header.value).append("\r\n");
    if (!keepAlive)
        text.append("Connection: close\r\n");
    return text;
}

HttpRequest headOf(const http::request<http::string_body>& message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message)
        request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    return request;
}

/** \returns the bytes that the body may occupy once the next piece has been read */
std::size_t nextBodyBytes(const http::request_parser<http::string_body>& parser, std::size_t pieceBytes)
{
    const std::string& body = parser.get().body();
    // The parser allocates a body of known length as a whole.
    const auto length = parser.content_length();
    return length ? std::max<std::size_t>(body.capacity(), *length) : grownCapacity(body.capacity(), body.size() + pieceBytes);
}

}

class CallerConnection::State {
public:
    explicit State(tcp::socket socket)
        : stream(std::move(socket))
        , idleTimer(this->stream.get_executor())
    {
    }

    /** \brief Reads the body piece by piece.
     * \param headBytes that the header section occupies, which are counted with the body
     * \returns the reason for which it could not be read, if any */
    asio::awaitable<std::optional<CallerReadFailure>> readBody(http::request_parser<http::string_body>& parser, std::size_t headBytes, RequestMemory::Reservation& memory)
    {
        parser.eager(true);
        while (!parser.is_done()) {
            if (!memory.resize(this->buffer.max_size() + headBytes + nextBodyBytes(parser, this->buffer.max_size())))
                co_return CallerReadFailure::MemoryExhausted;
            const auto [error, bytes] = co_await http::async_read_some(this->stream, this->buffer, parser, asTuple);
            if (error)
                co_return readFailure(error, true);
        }
        memory.resize(this->buffer.capacity() + headBytes + parser.get().body().capacity());
        co_return std::nullopt;
    }

    beast::tcp_stream stream;
    asio::steady_timer idleTimer;
    beast::flat_buffer buffer;
    std::optional<HttpRequest> refusedHead;
    bool keepAlive = false;
    bool headRequest = false; ///< the current request has the method HEAD, so that its response has no body
    bool keptOpen = false;
    bool disconnected = false;
    bool busy = false;
    bool reading = false;
    bool used = false;
    std::uint64_t watchEpoch = 0; ///< incremented by watchDisconnect() and stopWatching(), so that outdated handlers do nothing
};

CallerConnection::CallerConnection(tcp::socket socket, ConnectionKind kind)
    : state(std::make_unique<State>(std::move(socket)))
{
    beast::error_code ignored;
    auto& inner = this->state->stream.socket();
    inner.set_option(tcp::no_delay(true), ignored);
    if (const std::error_code refused = setSocketTimeouts(inner.native_handle(), socketTimeoutsFor(kind)))
        logLine(WriteLog::Level::Warning, "socket-option-refused", { { "option", "timeouts" }, { "reason", refused.message() } });
}

CallerConnection::~CallerConnection() = default;

bool CallerConnection::hasUnread() const
{
    beast::error_code ignored;
    return this->state->buffer.size() > 0 || this->state->stream.socket().available(ignored) > 0;
}

asio::awaitable<void> CallerConnection::awaitRequest(Duration idleTimeout)
{
    State& state = *this->state;
    // The buffers of idle connections are not counted with the requests.
    state.buffer.shrink_to_fit();
    const auto self = this->shared_from_this();
    // Waiting consumes no bytes, so that a request which arrives as the timeout expires is not lost with them.
    const std::uint64_t epoch = ++state.watchEpoch;
    state.idleTimer.expires_after(idleTimeout);
    state.idleTimer.async_wait([self, epoch](beast::error_code error) {
        beast::error_code ignored;
        if (!error && epoch == self->state->watchEpoch)
            self->state->stream.socket().cancel(ignored);
    });
    co_await state.stream.socket().async_wait(asio::socket_base::wait_read, asTuple);
    ++state.watchEpoch;
    state.idleTimer.cancel();
}

asio::awaitable<std::variant<HttpRequest, CallerReadFailure>> CallerConnection::read(const ConnectionLimits& limits, RequestMemory::Reservation& memory)
{
    State& state = *this->state;
    const auto self = this->shared_from_this();
    if (!this->hasUnread())
        co_await this->awaitRequest(limits.idleTimeout);
    if (!this->hasUnread())
        co_return CallerReadFailure::Closed;
    state.busy = true;
    state.used = true;
    state.refusedHead.reset();
    // The parser keeps a trailer section or a chunk header in the buffer until it is complete, and applies none of its own limits to it.
    state.buffer.max_size(std::max(limits.headerBytes + chunkHeaderBytes, state.buffer.size()));
    // The header section is kept in the buffer and by the parser.
    if (!memory.resize(state.buffer.max_size() + limits.headerBytes))
        co_return CallerReadFailure::MemoryExhausted;
    state.reading = true;
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    parser.body_limit(limits.bodyBytes);
    state.stream.expires_after(limits.headerTimeout);
    const auto [headError, headBytes] = co_await http::async_read_header(state.stream, state.buffer, parser, asTuple);
    state.reading = !headError;
    if (headError)
        co_return readFailure(headError, false);
    state.stream.expires_after(limits.headerTimeout);
    const auto failure = co_await state.readBody(parser, headBytes, memory);
    state.reading = false;
    if (failure == CallerReadFailure::MemoryExhausted)
        state.refusedHead = headOf(parser.get());
    if (failure)
        co_return *failure;
    state.stream.expires_never();
    state.keepAlive = parser.get().keep_alive();
    state.headRequest = parser.get().method() == http::verb::head;
    HttpRequest request = headOf(parser.get());
    request.body = std::move(parser.get().body());
    co_return request;
}

const std::optional<HttpRequest>& CallerConnection::refusedHead() const
{
    return this->state->refusedHead;
}

bool CallerConnection::keepAlive() const
{
    return this->state->keepAlive;
}

bool CallerConnection::keptOpen() const
{
    return this->state->keptOpen;
}

void CallerConnection::watchDisconnect(std::function<void()> onDisconnect)
{
    State& state = *this->state;
    const std::uint64_t epoch = ++state.watchEpoch;
    state.stream.socket().async_wait(asio::socket_base::wait_read, [self = this->shared_from_this(), epoch, onDisconnect = std::move(onDisconnect)](beast::error_code error) {
        if (epoch != self->state->watchEpoch || error)
            return;
        if (self->checkDisconnected())
            onDisconnect();
    });
}

void CallerConnection::stopWatching()
{
    ++this->state->watchEpoch;
    beast::error_code ignored;
    this->state->stream.socket().cancel(ignored);
}

bool CallerConnection::disconnected() const
{
    return this->state->disconnected;
}

bool CallerConnection::checkDisconnected()
{
    tcp::socket& socket = this->state->stream.socket();
    char byte = 0;
    beast::error_code error;
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    // Pending bytes belong to a pipelined request; only end of file or an error means that the caller disconnected.
    this->state->disconnected = this->state->disconnected || (error && error != asio::error::would_block);
    return this->state->disconnected;
}

asio::awaitable<void> CallerConnection::respond(const HttpResponse& response, bool keepAlive)
{
    State& state = *this->state;
    const auto self = this->shared_from_this();
    std::string text = headText(response.status, response.headers, keepAlive);
    if (response.status != 204 && response.status != 304)
        text.append("Content-Length: ").append(std::to_string(response.body.size())).append("\r\n");
    text.append("\r\n");
    if (!state.headRequest)
        text.append(response.body);
    state.keptOpen = keepAlive;
    state.stream.expires_after(writeTimeout);
    const auto [error, bytes] = co_await asio::async_write(state.stream, asio::buffer(text), asTuple);
    state.disconnected = state.disconnected || static_cast<bool>(error);
    state.busy = false;
}

asio::awaitable<void> CallerConnection::startStream(unsigned status, const std::vector<HttpHeader>& headers, bool keepAlive)
{
    State& state = *this->state;
    const auto self = this->shared_from_this();
    const std::string text = headText(status, headers, keepAlive) + "Transfer-Encoding: chunked\r\n\r\n";
    state.keptOpen = keepAlive;
    state.stream.expires_after(writeTimeout);
    const auto [error, bytes] = co_await asio::async_write(state.stream, asio::buffer(text), asTuple);
    state.disconnected = state.disconnected || static_cast<bool>(error);
}

asio::awaitable<void> CallerConnection::sendPart(std::string_view part)
{
    State& state = *this->state;
    const auto self = this->shared_from_this();
    std::array<char, 20> size {};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
    std::string text(size.data(), static_cast<std::size_t>(length));
    text.append(part).append("\r\n");
    state.stream.expires_after(writeTimeout);
    const auto [error, bytes] = co_await asio::async_write(state.stream, asio::buffer(text), asTuple);
    state.disconnected = state.disconnected || static_cast<bool>(error);
}

asio::awaitable<void> CallerConnection::endStream()
{
    State& state = *this->state;
    const auto self = this->shared_from_this();
    constexpr std::string_view lastChunk = "0\r\n\r\n";
    state.stream.expires_after(writeTimeout);
    const auto [error, bytes] = co_await asio::async_write(state.stream, asio::buffer(lastChunk), asTuple);
    state.disconnected = state.disconnected || static_cast<bool>(error);
    state.busy = false;
}

bool CallerConnection::busy() const
{
    return this->state->busy || this->hasUnread();
}

bool CallerConnection::reading() const
{
    return this->state->reading;
}

bool CallerConnection::used() const
{
    return this->state->used;
}

void CallerConnection::close()
{
    this->state->disconnected = true;
    this->state->stream.close();
}

asio::awaitable<void> CallerConnection::closeGracefully()
{
    State& state = *this->state;
    const auto self = this->shared_from_this();
    state.busy = true;
    beast::error_code shutdownError;
    state.stream.socket().shutdown(tcp::socket::shutdown_send, shutdownError);
    std::array<char, 4096> dropped {};
    state.stream.expires_after(lingerTimeout);
    bool open = !shutdownError;
    while (open) {
        const auto [error, bytes] = co_await state.stream.async_read_some(asio::buffer(dropped), asTuple);
        open = !error;
    }
    this->close();
}

}
