#ifndef FILBERTSPOKE_CALLER_CONNECTION_H
#define FILBERTSPOKE_CALLER_CONNECTION_H

#include <filbertspoke/Core>
#include <filbertspoke/Gateway>
#include <filbertspoke/Http>
#include <filbertspoke/Socket>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <variant>

namespace filbertspoke {

/** \brief Reason for which no request could be read. */
enum class CallerReadFailure {
    Closed, ///< the connection ended between two requests
    Incomplete, ///< the connection ended within a request
    TimedOut, ///< the request did not arrive completely in time
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    MemoryExhausted, ///< the request does not fit into the memory that requests share
};

/** \brief Server side of an HTTP/1.1 connection from a caller. */
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    /** \param kind Caller, or Handover for a connection from another gateway */
    CallerConnection(boost::asio::ip::tcp::socket, ConnectionKind kind);
    ~CallerConnection();

    /** \brief Reads the next request, including its body.
     *
     * The idle timeout applies until the first byte has arrived, so that no connection is closed as idle once the caller has begun to send.
     * \param memory is resized before each part of the request is read, and holds the share of the request that is returned. After a failure its
     * share is still that of the part that was read
     * \returns the request, or the reason for which it could not be read */
    boost::asio::awaitable<std::variant<HttpRequest, CallerReadFailure>> read(const ConnectionLimits&, RequestMemory::Reservation& memory);
    /** \returns the request without a body that was refused with MemoryExhausted, or nothing if its header section was not read either */
    const std::optional<HttpRequest>& refusedHead() const;
    /** \returns whether the most recently read request asks to keep the connection alive */
    bool keepAlive() const;

    /** \returns whether the last response told the caller that the connection stays open */
    bool keptOpen() const;

    /** \brief Calls \a onDisconnect when the caller closes the connection before stopWatching() is called. */
    void watchDisconnect(std::function<void()> onDisconnect);
    /** \brief Cancels watchDisconnect(). */
    void stopWatching();
    /** \returns whether a disconnect of the caller has been detected */
    bool disconnected() const;
    /** \brief Polls the socket for a disconnect that no pending operation has reported yet.
     * \returns whether the caller has closed the connection */
    bool checkDisconnected();

    /** \brief Sends a complete response with its body. */
    boost::asio::awaitable<void> respond(const HttpResponse&, bool keepAlive);
    /** \brief Sends the head of a response whose body follows in chunked encoding. */
    boost::asio::awaitable<void> startStream(unsigned status, const std::vector<HttpHeader>&, bool keepAlive);
    /** \brief Sends the next chunk of a started response. */
    boost::asio::awaitable<void> sendPart(std::string_view);
    /** \brief Sends the final chunk, which marks a started response as complete. */
    boost::asio::awaitable<void> endStream();

    /** \returns whether bytes have arrived that belong to no request that was read */
    bool hasUnread() const;
    /** \returns whether a request has begun to arrive, or its response has not been sent completely */
    bool busy() const;
    /** \returns whether a request has begun to arrive that has not been read completely */
    bool reading() const;
    /** \returns whether a request has begun to arrive since the connection was opened */
    bool used() const;
    /** \brief Closes the connection without sending the final chunk, so that the caller detects a truncated response. */
    void close();
    /** \brief Closes the connection after its last response. Bytes that the caller still sends are read and dropped for a while before, because
     * closing a connection with unread bytes resets it, and the caller may lose the response with it. */
    boost::asio::awaitable<void> closeGracefully();

private:
    /** \brief Waits for the first byte of a request. */
    boost::asio::awaitable<void> awaitRequest(Duration idleTimeout);

    class State;
    std::unique_ptr<State> state;
};

}

#endif
