#include "CallerSession.h"

#include "CallerServerState.h"
#include "ResponseBody.h"

#include <filbertspoke/Socket>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace filbertspoke::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr unsigned statusOk = 200;
constexpr std::size_t readBytes = 4096;
// Longest chunk header without an extension, in addition to the trailer section, to which the limit of the header section applies.
constexpr std::size_t chunkHeaderBytes = 1024;
constexpr Duration lingeringCloseTimeout = std::chrono::seconds(1);

std::string encodeChunk(const std::string& data)
{
    std::ostringstream text;
    text << std::hex << data.size() << "\r\n"
         << data << "\r\n";
    return text.str();
}

template <typename Message>
std::string serializeMessage(const Message& message)
{
    std::ostringstream text;
    text << message;
    return text.str();
}

}

CallerSession::CallerSession(asio::ip::tcp::socket accepted, std::shared_ptr<CallerServerState> owner)
    : socket(std::move(accepted))
    , timer(this->socket.get_executor())
    , server(std::move(owner))
{
    boost::system::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    setSocketTimeouts(this->socket.native_handle(), socketTimeoutsFor(ConnectionKind::Caller));
}

void CallerSession::start()
{
    // On a new connection, the header timeout starts immediately.
    this->startTimer(this->server->limits().headerTimeout);
    this->readHeader();
}

void CallerSession::waitForRequest()
{
    this->request = RequestId();
    if (this->buffer.size() > 0) {
        this->startTimer(this->server->limits().headerTimeout);
        this->readHeader();
        return;
    }
    // The connection is idle until the first byte of the next request arrives, which starts the header timeout.
    this->startTimer(this->server->limits().idleTimeout);
    this->socket.async_read_some(this->buffer.prepare(std::min(readBytes, this->buffer.max_size())), [self = this->shared_from_this()](boost::system::error_code error, std::size_t size) {
        if (error) {
            self->close();
            return;
        }
        self->buffer.commit(size);
        self->startTimer(self->server->limits().headerTimeout);
        self->readHeader();
    });
}

void CallerSession::startTimer(Duration duration)
{
    this->timer.expires_after(duration);
    this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
        if (error)
            return;
        self->timedOut = true;
        boost::system::error_code ignored;
        self->socket.cancel(ignored);
    });
}

void CallerSession::stopTimer()
{
    this->timer.cancel();
}

void CallerSession::readHeader()
{
    this->parser.emplace();
    this->parser->body_limit(this->server->limits().bodyBytes);
    this->parser->header_limit(this->server->limits().headerBytes);
    // The parser keeps a trailer section or a chunk header in the buffer until it is complete, and applies none of its own limits to it.
    this->buffer.max_size(std::max(this->server->limits().headerBytes + chunkHeaderBytes, this->buffer.size()));
    http::async_read_header(this->socket, this->buffer, *this->parser,
        [self = this->shared_from_this()](boost::system::error_code error, std::size_t) { self->handleHeader(error); });
}

void CallerSession::handleHeader(boost::system::error_code error)
{
    this->stopTimer();
    if (this->timedOut)
        this->refuseUnread(ErrorCode::HeaderTimeout);
    else if (error == http::error::end_of_stream || error == asio::error::operation_aborted || error == asio::error::connection_reset)
        this->close();
    else if (error == http::error::body_limit)
        this->refuseUnread(ErrorCode::BodyTooLarge);
    else if (error)
        this->refuseUnread(ErrorCode::MalformedRequest);
    else
        this->readBody();
}

void CallerSession::readBody()
{
    this->startTimer(this->server->limits().bodyTimeout);
    http::async_read(this->socket, this->buffer, *this->parser,
        [self = this->shared_from_this()](boost::system::error_code error, std::size_t) { self->handleBody(error); });
}

void CallerSession::handleBody(boost::system::error_code error)
{
    this->stopTimer();
    if (this->timedOut)
        this->refuseUnread(ErrorCode::HeaderTimeout);
    else if (error == http::error::body_limit || error == http::error::buffer_overflow)
        this->refuseUnread(ErrorCode::BodyTooLarge);
    else if (error)
        this->close();
    else
        this->dispatch();
}

void CallerSession::refuseUnread(ErrorCode code)
{
    this->request = this->server->nextRequestId();
    this->keepAlive = false;
    this->requestUnread = true;
    this->awaitingAnswer = true;
    this->refuse(Refusal(code, Ran::No));
}

void CallerSession::dispatch()
{
    this->request = this->server->nextRequestId();
    this->keepAlive = this->parser->get().keep_alive() && !this->draining;
    this->streaming = false;
    this->streamStarted = false;
    this->answerQueued = false;
    this->awaitingAnswer = true;
    this->tokens.clear();

    ParsedRequest parsed = parseRequest(this->parser->get(), this->request);
    if (const auto* refusal = std::get_if<Refusal>(&parsed)) {
        this->refuse(*refusal);
        return;
    }
    this->watchForDisconnect();
    if (auto* completion = std::get_if<CompletionReceived>(&parsed)) {
        this->streaming = completion->stream;
        this->tokens = completion->stream ? std::vector<std::string>() : completion->received;
        this->server->dispatch(this->request, this->shared_from_this(), std::move(*completion));
    } else if (auto* key = std::get_if<KeyRequested>(&parsed))
        this->server->dispatch(this->request, this->shared_from_this(), std::move(*key));
    else
        this->server->dispatch(this->request, this->shared_from_this(), std::move(std::get<CallReceived>(parsed)));
}

void CallerSession::watchForDisconnect()
{
    this->socket.async_wait(asio::ip::tcp::socket::wait_read, [self = this->shared_from_this(), watched = this->request](boost::system::error_code error) {
        if (!error && self->awaitingAnswer && self->request == watched)
            self->checkForDisconnect();
    });
}

void CallerSession::checkForDisconnect()
{
    char byte = 0;
    boost::system::error_code error;
    this->socket.non_blocking(true, error);
    const std::size_t size = this->socket.receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
    // Bytes of a pipelined request stay in the socket for readHeader(); only end of stream or an error is a disconnect.
    if (size == 0 && error && error != asio::error::would_block)
        this->callerDisconnected();
}

void CallerSession::emitToken(const EmitToken& action)
{
    if (!this->streaming) {
        this->tokens.push_back(action.text);
        return;
    }
    this->startStream();
    this->queue(encodeChunk(tokenEvent(action.index, action.text)));
}

void CallerSession::complete(const CompleteRequest& action)
{
    if (!this->streaming) {
        this->sendResponse(statusOk, "application/json", completionBody(this->request, this->tokens, action.finishReason));
        return;
    }
    this->startStream();
    this->queue(encodeChunk(doneEvent(this->request, action.finishReason)) + encodeChunk(""));
    this->finishAnswer();
}

void CallerSession::answer(const AnswerCall& action)
{
    this->idempotencyKey = action.idempotencyKey;
    this->sendResponse(action.answer.status, action.answer.contentType, action.answer.body);
}

void CallerSession::refuse(const RefuseRequest& action)
{
    this->idempotencyKey = action.idempotencyKey;
    this->refuse(action.refusal);
}

void CallerSession::refuse(const Refusal& refusal)
{
    if (this->streamStarted) {
        this->queue(encodeChunk(errorEvent(this->request, refusal)) + encodeChunk(""));
        this->finishAnswer();
        return;
    }
    this->sendResponse(httpStatus(refusal.code()), "application/json", refusalBody(this->request, refusal), refusal.retryAfter());
}

void CallerSession::startStream()
{
    if (this->streamStarted)
        return;
    this->streamStarted = true;
    http::response<http::empty_body> head(http::status::ok, 11);
    head.set(http::field::content_type, "text/event-stream");
    head.set(http::field::cache_control, "no-store");
    head.set("Filbertspoke-Request", this->request.str());
    head.chunked(true);
    head.keep_alive(this->keepAlive);
    // Only the header is serialized: serializing the whole message would add the final chunk.
    this->queue(serializeMessage(head.base()));
}

void CallerSession::sendResponse(unsigned status, std::string contentType, std::string body, std::optional<Duration> retryAfter)
{
    http::response<http::string_body> response(static_cast<http::status>(status), 11);
    if (!contentType.empty())
        response.set(http::field::content_type, contentType);
    response.set("Filbertspoke-Request", this->request.str());
    if (retryAfter)
        response.set(http::field::retry_after, retryAfterSeconds(*retryAfter));
    if (this->idempotencyKey)
        response.set("Idempotency-Key", *std::exchange(this->idempotencyKey, std::nullopt));
    response.keep_alive(this->keepAlive);
    response.body() = std::move(body);
    response.prepare_payload();
    this->queue(serializeMessage(response));
    this->finishAnswer();
}

void CallerSession::queue(std::string bytes)
{
    if (this->closed)
        return;
    this->unsentBytes += bytes.size();
    if (this->unsentBytes > this->server->limits().unsentBytes && this->streaming) {
        this->callerDisconnected();
        return;
    }
    this->sendQueue.push_back(std::move(bytes));
    if (this->sendQueue.size() == 1)
        this->writeNext();
}

void CallerSession::writeNext()
{
    asio::async_write(this->socket, asio::buffer(this->sendQueue.front()),
        [self = this->shared_from_this()](boost::system::error_code error, std::size_t) { self->handleWritten(error); });
}

void CallerSession::handleWritten(boost::system::error_code error)
{
    if (error) {
        this->callerDisconnected();
        return;
    }
    this->unsentBytes -= this->sendQueue.front().size();
    this->sendQueue.pop_front();
    if (!this->sendQueue.empty()) {
        this->writeNext();
        return;
    }
    if (!this->answerQueued)
        return;
    this->answerQueued = false;
    if (this->keepAlive && !this->draining)
        this->waitForRequest();
    else if (this->requestUnread)
        this->startLingeringClose();
    else
        this->close();
}

void CallerSession::startLingeringClose()
{
    // Closing the socket while the caller is still sending would reset the connection, and the caller could lose the response.
    boost::system::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->startTimer(lingeringCloseTimeout);
    this->buffer.clear();
    this->discardInput();
}

void CallerSession::discardInput()
{
    this->socket.async_read_some(this->buffer.prepare(std::min(readBytes, this->buffer.max_size())), [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
        if (error)
            self->close();
        else
            self->discardInput();
    });
}

void CallerSession::finishAnswer()
{
    this->awaitingAnswer = false;
    this->answerQueued = true;
    this->server->removeRequest(this->request);
}

void CallerSession::callerDisconnected()
{
    if (this->awaitingAnswer) {
        this->awaitingAnswer = false;
        this->server->callerDisconnected(this->request);
    }
    this->close();
}

void CallerSession::drain()
{
    this->draining = true;
    const bool idle = !this->awaitingAnswer && this->sendQueue.empty() && this->request.empty();
    if (idle && this->buffer.size() == 0)
        this->close();
}

void CallerSession::close()
{
    if (this->closed)
        return;
    this->closed = true;
    this->stopTimer();
    boost::system::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->socket.close(ignored);
    this->server->sessionClosed(this->shared_from_this());
}

}
