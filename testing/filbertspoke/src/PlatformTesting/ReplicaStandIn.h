#ifndef FILBERTSPOKE_REPLICA_STAND_IN_H
#define FILBERTSPOKE_REPLICA_STAND_IN_H

#include <filbertspoke/Http>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace filbertspoke {

/** \brief What a replica sends in answer to one request. */
struct ReplicaScript {
    enum class End {
        Keep, ///< the connection stays open for the next request
        Close, ///< the system resets the connection if a part of the request is unread
        HalfClose, ///< only the sending side is closed, and the connection once the request has been read
        Reset,
        Silence, ///< nothing more comes, and the connection stays open
        Endless, ///< the last piece comes again and again until the connection is closed
    };

    std::vector<std::string> pieces; ///< raw bytes, the head included, with a pause after each
    Duration pause = std::chrono::milliseconds(5);
    End end = End::Keep;
};

/** \brief Plays a replica or an engine of the platform, byte by byte. */
class ReplicaStandIn {
public:
    using Answer = std::function<ReplicaScript(const HttpRequest&)>;

    /** \brief Listens on any free port of the address. */
    ReplicaStandIn(boost::asio::io_context&, const std::string& address, Answer);
    ~ReplicaStandIn();

    HttpAddress address() const;
    /** \returns the requests that callers caused, without reports and orders */
    const std::vector<HttpRequest>& requests() const;
    /** \returns how many connections ended before their answer was whole */
    int abandoned() const;
    /** \brief Stops accepting connections, or accepts them again at another port. */
    void setListening(bool);
    /** \brief Replaces the answers from now on. */
    void setAnswer(Answer);
    /** \brief Answers requests as soon as their head has arrived, from now on. A script that keeps the connection open has the body read behind it. */
    void setAnswersAtHead(bool);

private:
    class State;
    std::shared_ptr<State> state;
};

/** \returns an engine's report of itself with nothing in it */
ReplicaScript emptyReport();
/** \returns a whole answer with length, id and seal */
std::string wholeAnswer(const HttpRequest& request, unsigned status, const std::string& body);
std::string wholeAnswer(const std::string& requestId, unsigned status, const std::string& body);
/** \returns an answer that says that the endpoint is full and has not run the request */
std::string fullAnswer();
/** \returns the answer with a header by which the endpoint says that it is leaving */
std::string leavingAnswer(std::string answer);
/** \returns the answer with a header by which the endpoint names the requests that it accepts in a second from all gateways together */
std::string limitingAnswer(std::string answer, const std::string& requestsPerSecond);
/** \returns an answer that says that the endpoint has not run the request and wants no others for the time */
std::string pushbackAnswer(const std::string& seconds);
/** \returns an answer of the first engine of a chain that says that the request has not run, and blames another engine */
std::string blamingAnswer(const HttpAddress& engine);
/** \returns the head of a stream in chunks, with id and seal */
std::string streamHead(const HttpRequest& request);
/** \returns the head of an answer with neither length nor chunks, which ends with its connection */
std::string unframedHead(const HttpRequest& request, unsigned status = statusOk);
/** \returns the head of a refusal with neither length nor chunks, which says that the endpoint has not run the request */
std::string unframedRefusal(const HttpRequest& request);
/** \returns one event of a stream without chunks */
std::string unframedEvent(int id);
/** \returns one event of a stream as a chunk */
std::string eventChunk(int id, const std::string& data = "token");
/** \returns the end of a stream */
std::string lastChunk();
/** \returns the ids of the events that a caller received, in order, each followed by a space */
std::string eventIds(const std::string& received);

}

#endif
