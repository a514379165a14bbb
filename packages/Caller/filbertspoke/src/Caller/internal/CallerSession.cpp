#include "CallerSession.h"

#include "CallerServerState.h"
#include "ResponseBody.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <sstream>
#include <utility>

namespace filbertspoke::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr unsigned statusOk = 200;
constexpr std::size_t readSize = 4096; // bytes
constexpr Duration lingerTime = std::chrono::seconds(1);

std::string chunk(const std::string& data)
{
    std::ostringstream text;
    text << std::hex << data.size() << "\r\n"
         << data << "\r\n";
    return text.str();
}

template <typename Message>
std::string serialized(const Message& message)
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
}

void CallerSession::start()
{
    // A fresh connection is to send its header at once.
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
    // The header's time runs from its first byte; before it the connection is idle.
    this->startTimer(this->server->limits().idleTimeout);
    this->socket.async_read_some(this->buffer.prepare(readSize), [self = this->shared_from_this()](boost::system::error_code error, std::size_t size) {
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
    http::async_read_header(this->socket, this->buffer, *this->parser,
        [self = this->shared_from_this()](boost::system::error_code error, std::size_t) { self->headerRead(error); });
}

void CallerSession::headerRead(boost::system::error_code error)
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
        [self = this->shared_from_this()](boost::system::error_code error, std::size_t) { self->bodyRead(error); });
}

void CallerSession::bodyRead(boost::system::error_code error)
{
    this->stopTimer();
    if (this->timedOut)
        this->refuseUnread(ErrorCode::HeaderTimeout);
    else if (error == http::error::body_limit)
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
    this->bytesLeftUnread = true;
    this->waitsForAnswer = true;
    this->refuse(Refusal(code, Ran::No));
}

void CallerSession::dispatch()
{
    this->request = this->server->nextRequestId();
    this->keepAlive = this->parser->get().keep_alive() && !this->draining;
    this->streaming = false;
    this->streamStarted = false;
    this->answerEnded = false;
    this->waitsForAnswer = true;
    this->tokens.clear();

    ParsedRequest parsed = parseRequest(this->parser->get(), this->request);
    if (const auto* refusal = std::get_if<Refusal>(&parsed)) {
        this->refuse(*refusal);
        return;
    }
    this->watchForClose();
    if (auto* completion = std::get_if<CompletionReceived>(&parsed)) {
        this->streaming = completion->stream;
        this->tokens = completion->stream ? std::vector<std::string>() : completion->received;
        this->server->dispatch(this->request, this->shared_from_this(), std::move(*completion));
    } else if (auto* key = std::get_if<KeyRequested>(&parsed))
        this->server->dispatch(this->request, this->shared_from_this(), std::move(*key));
    else
        this->server->dispatch(this->request, this->shared_from_this(), std::move(std::get<CallReceived>(parsed)));
}

void CallerSession::watchForClose()
{
    this->socket.async_wait(asio::ip::tcp::socket::wait_read, [self = this->shared_from_this(), watched = this->request](boost::system::error_code error) {
        if (!error && self->waitsForAnswer && self->request == watched)
            self->checkForClose();
    });
}

void CallerSession::checkForClose()
{
    char byte = 0;
    boost::system::error_code error;
    this->socket.non_blocking(true, error);
    const std::size_t size = this->socket.receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
    // Bytes of a next request are left for readHeader(); only an end of the connection counts.
    if (size == 0 && error && error != asio::error::would_block)
        this->callerGone();
}

void CallerSession::emitToken(const EmitToken& action)
{
    if (!this->streaming) {
        this->tokens.push_back(action.text);
        return;
    }
    this->startStream();
    this->queue(chunk(tokenEvent(action.index, action.text)));
}

void CallerSession::complete(const CompleteRequest& action)
{
    if (!this->streaming) {
        this->sendWhole(statusOk, "application/json", completionBody(this->request, this->tokens, action.finishReason));
        return;
    }
    this->startStream();
    this->queue(chunk(doneEvent(this->request, action.finishReason)) + chunk(""));
    this->endAnswer();
}

void CallerSession::answer(const AnswerCall& action)
{
    this->idempotencyKey = action.idempotencyKey;
    this->sendWhole(action.answer.status, action.answer.contentType, action.answer.body);
}

void CallerSession::refuse(const RefuseRequest& action)
{
    this->idempotencyKey = action.idempotencyKey;
    this->refuse(action.refusal);
}

void CallerSession::refuse(const Refusal& refusal)
{
    if (this->streamStarted) {
        this->queue(chunk(errorEvent(this->request, refusal)) + chunk(""));
        this->endAnswer();
        return;
    }
    this->sendWhole(httpStatus(refusal.code()), "application/json", refusalBody(this->request, refusal), refusal.retryAfter());
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
    // Only the header: a whole message would end with the last chunk.
    this->queue(serialized(head.base()));
}

void CallerSession::sendWhole(unsigned status, std::string contentType, std::string body, std::optional<Duration> retryAfter)
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
    this->queue(serialized(response));
    this->endAnswer();
}

void CallerSession::queue(std::string bytes)
{
    if (this->closed)
        return;
    this->unsentBytes += bytes.size();
    if (this->unsentBytes > this->server->limits().unsentBytes && this->streaming) {
        this->callerGone();
        return;
    }
    this->unsent.push_back(std::move(bytes));
    if (this->unsent.size() == 1)
        this->writeNext();
}

void CallerSession::writeNext()
{
    asio::async_write(this->socket, asio::buffer(this->unsent.front()),
        [self = this->shared_from_this()](boost::system::error_code error, std::size_t) { self->written(error); });
}

void CallerSession::written(boost::system::error_code error)
{
    if (error) {
        this->callerGone();
        return;
    }
    this->unsentBytes -= this->unsent.front().size();
    this->unsent.pop_front();
    if (!this->unsent.empty()) {
        this->writeNext();
        return;
    }
    if (!this->answerEnded)
        return;
    this->answerEnded = false;
    if (this->keepAlive && !this->draining)
        this->waitForRequest();
    else if (this->bytesLeftUnread)
        this->lingerThenClose();
    else
        this->close();
}

void CallerSession::lingerThenClose()
{
    // Closing while the caller still sends would reset the connection and lose the answer.
    boost::system::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->startTimer(lingerTime);
    this->buffer.clear();
    this->discard();
}

void CallerSession::discard()
{
    this->socket.async_read_some(this->buffer.prepare(readSize), [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
        if (error)
            self->close();
        else
            self->discard();
    });
}

void CallerSession::endAnswer()
{
    this->waitsForAnswer = false;
    this->answerEnded = true;
    this->server->forget(this->request);
}

void CallerSession::callerGone()
{
    if (this->waitsForAnswer) {
        this->waitsForAnswer = false;
        this->server->callerGone(this->request);
    }
    this->close();
}

void CallerSession::drain()
{
    this->draining = true;
    const bool idle = !this->waitsForAnswer && this->unsent.empty() && this->request.empty();
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
