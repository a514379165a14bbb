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

/** \brief One connection of a caller: one request at a time, one answer each. */
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
    CallerSession(boost::asio::ip::tcp::socket, std::shared_ptr<CallerServerState>);

    void start();

    void emitToken(const EmitToken&);
    void complete(const CompleteRequest&);
    void answer(const AnswerCall&);
    void refuse(const RefuseRequest&);
    void refuse(const Refusal&);

    /** \brief Closes the connection when no request is in progress, else after its answer. */
    void drain();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void waitForRequest();
    void readHeader();
    void readBody();
    void startTimer(Duration);
    void stopTimer();
    void headerRead(boost::system::error_code);
    void bodyRead(boost::system::error_code);
    void refuseUnread(ErrorCode);
    void dispatch();
    void watchForClose();
    void checkForClose();
    void startStream();
    void sendWhole(unsigned status, std::string contentType, std::string body, std::optional<Duration> retryAfter = std::nullopt);
    void queue(std::string bytes);
    void writeNext();
    void written(boost::system::error_code);
    void endAnswer();
    void callerGone();
    void lingerThenClose();
    void discard();
    void close();

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    std::shared_ptr<CallerServerState> server;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    RequestId request; ///< empty between two requests
    bool waitsForAnswer = false;
    bool streaming = false; ///< the request asked for server-sent events
    bool streamStarted = false;
    bool keepAlive = false;
    bool draining = false;
    bool closed = false;
    bool answerEnded = false;
    bool timedOut = false;
    bool bytesLeftUnread = false; ///< the caller may still be sending a request that was refused
    std::vector<std::string> tokens; ///< of a completion that is answered whole
    std::optional<std::string> idempotencyKey; ///< goes with the next answer, when the daemon made it
    std::deque<std::string> unsent;
    std::size_t unsentBytes = 0;
};

}

#endif
