#ifndef FILBERTSPOKE_CALLER_SESSION_H
#define FILBERTSPOKE_CALLER_SESSION_H

#include "RequestParser.h"

#include <filbertspoke/Caller>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace filbertspoke::internal {

class CallerServerState;

/** \brief A caller's connection, which processes one request at a time. */
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
    CallerSession(boost::asio::ip::tcp::socket, std::shared_ptr<CallerServerState>);

    void start();

    void emitToken(const EmitToken&);
    void complete(const CompleteRequest&);
    void answer(const AnswerCall&);
    void refuse(const RefuseRequest&);
    void refuse(const Refusal&);

    /** \brief Closes the connection when no request is in progress, otherwise after the response to that request. */
    void drain();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void waitForRequest();
    void readHeader();
    void readBody();
    void startTimer(Duration);
    void stopTimer();
    void handleHeader(boost::system::error_code);
    void handleBody(boost::system::error_code);
    /** \brief Refuses a request that could not be read to its end, and closes the connection afterwards. */
    void refuseUnread(ErrorCode);
    void dispatch();
    void watchForDisconnect();
    void checkForDisconnect();
    void startStream();
    void sendResponse(unsigned status, std::string contentType, std::string body, std::optional<Duration> retryAfter = std::nullopt);
    void queue(std::string bytes);
    void writeNext();
    void handleWritten(boost::system::error_code);
    void finishAnswer();
    void callerDisconnected();
    /** \brief Stops sending, and discards the caller's input for a limited time before closing the socket. */
    void startLingeringClose();
    void discardInput();
    void close();

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    std::shared_ptr<CallerServerState> server;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    RequestId request; ///< id of the current request; empty between two requests
    bool awaitingAnswer = false;
    bool streaming = false; ///< the request asked for server-sent events
    bool streamStarted = false;
    bool keepAlive = false;
    bool draining = false;
    bool closed = false;
    bool answerQueued = false; ///< the end of the response has been queued
    bool timedOut = false;
    bool requestUnread = false; ///< the request was refused before it was read to its end, and the caller may still be sending it
    std::vector<std::string> tokens; ///< tokens of a completion that is not streamed
    std::optional<std::string> idempotencyKey; ///< sent with the next response when the daemon issued the key
    std::deque<std::string> sendQueue;
    std::size_t unsentBytes = 0;
};

}

#endif
