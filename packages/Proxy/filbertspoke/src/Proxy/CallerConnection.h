#ifndef FILBERTSPOKE_CALLER_CONNECTION_H
#define FILBERTSPOKE_CALLER_CONNECTION_H

#include <filbertspoke/Core>
#include <filbertspoke/Gateway>
#include <filbertspoke/Http>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string_view>
#include <variant>

namespace filbertspoke {

/** \brief Why no request could be read. */
enum class CallerReadFailure {
    Closed, ///< the caller closed, or was silent for too long: nothing to answer
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
};

/** \brief A connection from a caller. */
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    explicit CallerConnection(boost::asio::ip::tcp::socket);
    ~CallerConnection();

    /** \brief Reads the next request whole. */
    boost::asio::awaitable<std::variant<HttpRequest, CallerReadFailure>> read(const ConnectionLimits&);
    /** \returns whether the caller wants the connection kept after the last request read */
    bool keepAlive() const;

    /** \brief Calls \a onGone when the caller closes its connection before unwatch(). */
    void watch(std::function<void()> onGone);
    void unwatch();
    /** \returns whether the caller is known to have closed the connection */
    bool gone() const;
    /** \brief Looks at the connection itself, whose end may have arrived without being noticed yet.
     * \returns whether the caller closed it */
    bool checkGone();

    /** \brief Sends a whole response. */
    boost::asio::awaitable<void> respond(const HttpResponse&, bool keepAlive);
    /** \brief Starts a response of unknown length. */
    boost::asio::awaitable<void> startStream(unsigned status, const std::vector<HttpHeader>&, bool keepAlive);
    /** \brief Sends the next part of a started response. */
    boost::asio::awaitable<void> sendPart(std::string_view);
    /** \brief Ends a started response as complete. */
    boost::asio::awaitable<void> endStream();

    /** \returns whether a request was read that has no whole answer yet */
    bool busy() const;
    /** \brief Closes without a further byte, so that a started response is seen to be broken off. */
    void close();

private:
    class State;
    std::unique_ptr<State> state;
};

}

#endif
