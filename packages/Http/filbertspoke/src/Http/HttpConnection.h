#ifndef FILBERTSPOKE_HTTP_CONNECTION_H
#define FILBERTSPOKE_HTTP_CONNECTION_H

#include "HttpMessage.h"

#include <filbertspoke/Core>

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

/** \brief Where a server listens. */
struct HttpAddress {
    std::string address; ///< the IP number in text
    std::uint16_t port = 0;

    bool operator==(const HttpAddress&) const = default;
};

/** \brief Limits of one connection. */
struct HttpLimits {
    Duration connectTimeout = std::chrono::seconds(1);
    Duration idleTimeout = std::chrono::seconds(4); ///< an unused connection is closed after this
    std::size_t responseBytes = 64 * 1024 * 1024; ///< a larger response is a failure
    Duration transferAllowance = Duration::zero(); ///< a response that keeps arriving may take so much longer than its timeout

    bool operator==(const HttpLimits&) const = default;
};

/** \brief An exchange without a response. */
struct HttpFailure {
    std::error_code error;
    bool sent = false; ///< a byte of the request may have left this process

    bool operator==(const HttpFailure&) const = default;
};

using HttpOutcome = std::variant<HttpResponse, HttpFailure>;

/** \brief A client connection that carries one exchange at a time and stays open between them.
 *
 * It connects when an exchange needs it and never repeats one. A connection that the server
 * closed while it was idle is noticed before the next request is written.
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
     * \param timeout from the open connection to the whole response; with an arrival time, for each silence of the server
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
