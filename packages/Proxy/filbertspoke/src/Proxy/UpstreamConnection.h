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

/** \brief The first part of a response. */
struct ResponseHead {
    unsigned status = 0;
    std::vector<HttpHeader> headers;

    bool operator==(const ResponseHead&) const = default;
};

/** \returns whether the error says that nothing arrived in time */
bool isTimeout(const std::error_code&);

/** \brief Whether a body goes on. */
enum class BodyProgress {
    More,
    Ended,
};

/** \brief A connection to an endpoint, which carries one exchange at a time and gives out bodies as they arrive.
 *
 * Any failure ends the connection; it never repeats an exchange.
 */
class UpstreamConnection {
public:
    UpstreamConnection(boost::asio::io_context&, SocketAddress);
    ~UpstreamConnection();
    UpstreamConnection(const UpstreamConnection&) = delete;
    UpstreamConnection& operator=(const UpstreamConnection&) = delete;

    boost::asio::awaitable<std::error_code> connect(Duration timeout);
    boost::asio::awaitable<std::error_code> send(const HttpRequest&, Duration timeout);
    /** \brief Reads the head of the next response. */
    boost::asio::awaitable<Result<ResponseHead>> readHead(Duration timeout);
    /** \brief Appends the bytes of the body that arrive next, a few kilobytes at most.
     * \returns whether the body goes on */
    boost::asio::awaitable<Result<BodyProgress>> readBody(std::string& body, Duration timeout);
    /** \brief Reads the rest of the body and drops it.
     * \returns an error for a body that is large or doesn't end in time */
    boost::asio::awaitable<std::error_code> skipBody(Duration timeout);

    /** \returns whether the last response ended cleanly, nothing came after it and the endpoint keeps the connection */
    bool reusable();
    /** \returns how long the endpoint keeps the idle connection, where it says so */
    std::optional<Duration> keepAlive() const;
    /** \brief Ends what is in progress with a failure. What was sent and has not reached the endpoint never does. */
    void close();

private:
    class State;
    std::shared_ptr<State> state;
};

}

#endif
