#include "HttpConnection.h"

#include "ResponseParser.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace filbertspoke {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Limit of unparsed response bytes, such as the header or the framing between two chunks of the body.
constexpr std::size_t maximumBufferBytes = 128 * 1024;

}

class HttpConnection::State : public std::enable_shared_from_this<State> {
public:
    State(asio::io_context& context, HttpAddress address, HttpLimits limits)
        : channel(std::make_shared<Channel>(context.get_executor()))
        , idleTimer(context)
        , address(std::move(address))
        , limits(limits)
    {
    }

    void exchange(HttpRequest, Duration timeout, Callback);
    bool busy() const { return static_cast<bool>(this->callback); }
    void close();

private:
    // A cancelled read may still start another read before it completes. Each connect therefore has its
    // own socket and buffers, and pending operations keep them alive.
    struct Channel {
        explicit Channel(beast::tcp_stream::executor_type executor)
            : stream(std::move(executor))
        {
        }

        beast::tcp_stream stream;
        beast::flat_buffer buffer { maximumBufferBytes };
        http::request<http::string_body> request;
        std::optional<ResponseParser> parser;
    };

    void connect();
    void write();
    void read();
    void resetParser();
    void readMore();
    void handleEnd();
    void skipInterim();
    void finish();
    void fail(std::error_code, bool sent);
    void watchIdle();
    bool closedByServer();

    std::shared_ptr<Channel> channel;
    asio::steady_timer idleTimer;
    HttpAddress address;
    HttpLimits limits;
    Duration timeout {};
    Callback callback;
    std::chrono::steady_clock::time_point responseDeadline; ///< time by which the whole response must have arrived
    std::uint64_t epoch = 0; ///< incremented by every exchange and close; handlers of an earlier epoch return without effect
    unsigned interimResponses = 0; ///< to the current request
    bool connected = false;
    http::request<http::string_body> request;
};

void HttpConnection::State::exchange(HttpRequest message, Duration exchangeTimeout, Callback done)
{
    ++this->epoch;
    this->timeout = exchangeTimeout;
    this->callback = std::move(done);
    this->request = {};
    this->request.version(11);
    this->request.method_string(message.method);
    this->request.target(message.target);
    this->request.set(http::field::host, this->address.address + ":" + std::to_string(this->address.port));
    for (const HttpHeader& header : message.headers)
        this->request.set(header.name, header.value);
    this->request.body() = std::move(message.body);
    this->request.prepare_payload();

    if (this->connected && this->closedByServer())
        this->connected = false;
    asio::post(this->channel->stream.get_executor(), [self = this->shared_from_this(), epoch = this->epoch] {
        if (epoch != self->epoch)
            return;
        if (self->connected)
            self->write();
        else
            self->connect();
    });
}

void HttpConnection::State::connect()
{
    beast::error_code error;
    const auto ip = asio::ip::make_address(this->address.address, error);
    if (error)
        return this->fail(error, false);
    this->channel = std::make_shared<Channel>(this->channel->stream.get_executor());
    this->channel->stream.expires_after(this->limits.connectTimeout);
    this->channel->stream.async_connect(asio::ip::tcp::endpoint(ip, this->address.port),
        [self = this->shared_from_this(), channel = this->channel, epoch = this->epoch](beast::error_code connectError) {
            if (epoch != self->epoch)
                return;
            if (connectError)
                return self->fail(connectError, false);
            self->connected = true;
            beast::error_code ignored;
            channel->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
            setSocketTimeouts(channel->stream.socket().native_handle(), self->limits.socketTimeouts);
            self->write();
        });
}

void HttpConnection::State::write()
{
    this->channel->request = std::move(this->request);
    this->channel->stream.expires_after(this->timeout);
    http::async_write(this->channel->stream, this->channel->request,
        [self = this->shared_from_this(), channel = this->channel, epoch = this->epoch](beast::error_code error, std::size_t bytes) {
            if (epoch != self->epoch)
                return;
            // After a timeout, zero bytes are no proof that nothing was sent: the write may have succeeded.
            if (error)
                return self->fail(error, bytes > 0 || error == beast::error::timeout);
            self->read();
        });
}

void HttpConnection::State::read()
{
    this->interimResponses = 0;
    this->resetParser();
    this->responseDeadline = std::chrono::steady_clock::now() + this->timeout + this->limits.transferAllowance;
    this->readMore();
}

void HttpConnection::State::resetParser()
{
    auto& parser = this->channel->parser.emplace();
    parser.body_limit(this->limits.responseBytes);
    if (this->channel->request.method() == http::verb::head)
        parser.skip(true);
}

void HttpConnection::State::skipInterim()
{
    if (++this->interimResponses > maximumInterimResponses)
        return this->fail(make_error_code(ErrorCode::MalformedMessage), true);
    this->resetParser();
    this->readMore();
}

void HttpConnection::State::readMore()
{
    http::async_read_some(this->channel->stream, this->channel->buffer, *this->channel->parser,
        [self = this->shared_from_this(), channel = this->channel, epoch = this->epoch](beast::error_code error, std::size_t) {
            if (epoch != self->epoch)
                return;
            if (error)
                return self->fail(error, true);
            if (channel->parser->is_done())
                return self->handleEnd();
            if (self->limits.transferAllowance > Duration::zero())
                channel->stream.expires_at(std::min(self->responseDeadline, std::chrono::steady_clock::now() + self->timeout));
            self->readMore();
        });
}

void HttpConnection::State::handleEnd()
{
    ResponseParser& parser = *this->channel->parser;
    if (parser.isInterim())
        return this->skipInterim();
    // The server may have ended its side, and reset the connection because it takes no more of the request.
    const std::error_code reset = parser.need_eof() ? takePendingError(this->channel->stream.socket().native_handle()) : std::error_code();
    if (reset)
        return this->fail(reset, true);
    this->finish();
}

void HttpConnection::State::finish()
{
    ResponseParser& parser = *this->channel->parser;
    HttpResponse response { parser.status(), parser.headers(), parser.takeBody() };

    const Callback done = std::exchange(this->callback, nullptr);
    // Bytes behind the response belong to no request.
    if (parser.keep_alive() && this->channel->buffer.size() == 0)
        this->watchIdle();
    else
        this->close();
    done(std::move(response));
}

void HttpConnection::State::fail(std::error_code error, bool sent)
{
    const Callback done = std::exchange(this->callback, nullptr);
    this->close();
    done(HttpFailure { error, sent });
}

void HttpConnection::State::close()
{
    ++this->epoch;
    this->callback = nullptr;
    this->connected = false;
    this->idleTimer.cancel();
    this->channel->stream.close();
}

void HttpConnection::State::watchIdle()
{
    // Any data, end of stream, error or idle timeout closes a connection that has no exchange in progress.
    const auto closeIfIdle = [self = this->shared_from_this(), epoch = this->epoch](beast::error_code) {
        if (epoch == self->epoch)
            self->close();
    };
    this->channel->stream.socket().async_wait(asio::socket_base::wait_read, closeIfIdle);
    this->idleTimer.expires_after(this->limits.idleTimeout);
    this->idleTimer.async_wait(closeIfIdle);
}

bool HttpConnection::State::closedByServer()
{
    char byte = 0;
    beast::error_code error;
    auto& socket = this->channel->stream.socket();
    socket.non_blocking(true, error);
    if (error)
        return true;
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error != asio::error::would_block;
}

HttpConnection::HttpConnection(asio::io_context& context, HttpAddress address, HttpLimits limits)
    : state(std::make_shared<State>(context, std::move(address), limits))
{
}

HttpConnection::~HttpConnection()
{
    this->state->close();
}

void HttpConnection::exchange(HttpRequest request, Duration timeout, Callback callback)
{
    this->state->exchange(std::move(request), timeout, std::move(callback));
}

bool HttpConnection::busy() const
{
    return this->state->busy();
}

void HttpConnection::close()
{
    this->state->close();
}

}
