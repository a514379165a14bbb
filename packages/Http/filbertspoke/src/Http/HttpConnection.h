#ifndef FILBERTSPOKE_HTTP_CONNECTION_H
#define FILBERTSPOKE_HTTP_CONNECTION_H

#include "HttpMessage.h"

#include <filbertspoke/Core>
#include <filbertspoke/Socket>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <variant>

namespace boost::asio {
class io_context;
}

namespace filbertspoke {

/** \brief IP address and port of a server. */
struct HttpAddress {
    std::string address; ///< IP address in text form
    std::uint16_t port = 0;

    bool operator==(const HttpAddress&) const = default;
};

/** \brief Timeouts and size limits of one connection. */
struct HttpLimits {
    Duration connectTimeout = std::chrono::seconds(1);
    Duration idleTimeout = std::chrono::seconds(4); ///< an unused connection is closed after this
    std::size_t responseBytes = 64 * 1024 * 1024; ///< a response with a larger body fails the exchange
    Duration transferAllowance = Duration::zero(); ///< how far a response whose data keeps arriving may exceed its timeout; 0 for a fixed timeout
    SocketTimeouts socketTimeouts = socketTimeoutsFor(ConnectionKind::Store);

    bool operator==(const HttpLimits&) const = default;
};

/** \brief The outcome of an exchange that got no complete response. */
struct HttpFailure {
    std::error_code error;
    bool sent = false; ///< a part of the request may have been sent, so that the server may have run it

    bool operator==(const HttpFailure&) const = default;
};

using HttpOutcome = std::variant<HttpResponse, HttpFailure>;

/** \brief A persistent client connection that carries one exchange at a time.
 *
 * It connects on demand and never retries an exchange. Before it writes a request it checks whether
 * the server has closed the idle connection, and reconnects if so.
 */
class HttpConnection {
public:
    using Callback = std::function<void(HttpOutcome)>;

    HttpConnection(boost::asio::io_context&, HttpAddress, HttpLimits);
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    /** \brief Sends a request; the connection must not be busy.
     *
     * \param timeout for the write and the whole response, after connecting; with a transfer allowance, for each pause of an arriving response
     * \param callback is called from the io_context, never from within this function
     */
    void exchange(HttpRequest, Duration timeout, Callback callback);

    /** \returns whether an exchange is in progress */
    bool busy() const;

    /** \brief Closes the connection; the callback of an exchange in progress is not called. */
    void close();

private:
    class State;
    std::shared_ptr<State> state;
};

}

#endif
