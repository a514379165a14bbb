#ifndef FILBERTSPOKE_UPSTREAM_CONNECTION_H
#define FILBERTSPOKE_UPSTREAM_CONNECTION_H

#include <filbertspoke/Configuration>
#include <filbertspoke/Core>
#include <filbertspoke/Http>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>
#include <system_error>

namespace filbertspoke {

/** \brief Status and headers of a response. */
struct ResponseHead {
    unsigned status = 0;
    std::vector<HttpHeader> headers;

    bool operator==(const ResponseHead&) const = default;
};

/** \returns whether the error is the timeout of an operation on an UpstreamConnection */
bool isTimeout(const std::error_code&);

/** \brief State of a body that is being read. */
enum class BodyProgress {
    More,
    Ended,
};

/** \brief Client connection to an endpoint for one HTTP exchange at a time, whose response body is read incrementally.
 *
 * A connection is unusable after any failure. It never retries an exchange.
 */
class UpstreamConnection {
public:
    UpstreamConnection(boost::asio::io_context&, SocketAddress);
    ~UpstreamConnection();
    UpstreamConnection(const UpstreamConnection&) = delete;
    UpstreamConnection& operator=(const UpstreamConnection&) = delete;

    /** \returns an empty error code once the connection is established */
    boost::asio::awaitable<std::error_code> connect(Duration timeout);
    /** \brief Writes the request. After an error, the endpoint may still have received it and have responded; a response that ends with the connection then
     * counts as partial.
     * \returns an empty error code once the whole request is written to the socket */
    boost::asio::awaitable<std::error_code> send(const HttpRequest&, Duration timeout);
    /** \brief Reads the head of the next final response, and skips interim ones before it.
     * \returns the head, or an error for which isTimeout() holds when it does not arrive in time */
    boost::asio::awaitable<Result<ResponseHead>> readHead(Duration timeout);
    /** \brief Waits for the next bytes of the body, 16 KB at most, and appends them to \a body.
     * \returns whether the body continues, or an error */
    boost::asio::awaitable<Result<BodyProgress>> readBody(std::string& body, Duration timeout);
    /** \brief Reads and discards the rest of the body.
     * \returns an error when the rest is larger than 64 KB or does not end in time */
    boost::asio::awaitable<std::error_code> skipBody(Duration timeout);

    /** \returns whether the last response was read completely, no further bytes followed it and the endpoint keeps the connection open */
    bool reusable();
    /** \returns whether the response has neither a length nor chunks, so that its body ends with the connection */
    bool endsWithConnection() const;
    /** \returns the idle timeout that the endpoint announced in its Keep-Alive header, if any */
    std::optional<Duration> keepAlive() const;
    /** \brief Resets the connection; operations in progress fail. Bytes that have not reached the endpoint yet are discarded. */
    void close();

private:
    class State;
    std::shared_ptr<State> state;
};

}

#endif
