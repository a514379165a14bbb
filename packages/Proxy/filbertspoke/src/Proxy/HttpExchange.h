#ifndef FILBERTSPOKE_HTTP_EXCHANGE_H
#define FILBERTSPOKE_HTTP_EXCHANGE_H

#include <filbertspoke/Configuration>
#include <filbertspoke/Http>

#include <boost/asio/awaitable.hpp>

namespace filbertspoke {

/** \brief Sends a request on a client connection and waits for its outcome.
 * \returns the response, or the failure of the exchange */
boost::asio::awaitable<HttpOutcome> exchange(HttpConnection&, HttpRequest, Duration timeout);

/** \returns HTTP limits for control calls to endpoints, whose responses are small
 * \param timeout both connect timeout and idle timeout of the connection */
HttpLimits endpointLimits(Duration timeout);

/** \returns the address in the form used by HTTP connections and servers */
HttpAddress httpAddress(const SocketAddress&);

/** \returns a response without headers and body */
HttpResponse emptyResponse(unsigned status);

/** \returns the response if its status is 200, otherwise nullptr; \a reason is then set to the cause */
const HttpResponse* successfulResponse(const HttpOutcome&, std::string& reason);

}

#endif
