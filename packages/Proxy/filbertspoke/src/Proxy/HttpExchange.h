#ifndef FILBERTSPOKE_HTTP_EXCHANGE_H
#define FILBERTSPOKE_HTTP_EXCHANGE_H

#include <filbertspoke/Configuration>
#include <filbertspoke/Http>

#include <boost/asio/awaitable.hpp>

namespace filbertspoke {

/** \brief Sends a request on a client connection and waits for its outcome. */
boost::asio::awaitable<HttpOutcome> exchange(HttpConnection&, HttpRequest, Duration timeout);

/** \returns limits for calls to endpoints, whose reports and receipts are small
 * \param timeout to connect, and without use */
HttpLimits endpointLimits(Duration timeout);

/** \returns the address as an HTTP connection or server takes it */
HttpAddress httpAddress(const SocketAddress&);

/** \returns a response without headers and body */
HttpResponse emptyResponse(unsigned status);

/** \returns the response with status 200, or nothing; \a reason then says why not */
const HttpResponse* successfulResponse(const HttpOutcome&, std::string& reason);

}

#endif
