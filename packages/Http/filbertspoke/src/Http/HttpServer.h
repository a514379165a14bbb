#ifndef FILBERTSPOKE_HTTP_SERVER_H
#define FILBERTSPOKE_HTTP_SERVER_H

#include "HttpConnection.h"
#include "HttpMessage.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace filbertspoke {

/** \brief A small single-threaded HTTP server that runs one coroutine for each connection. */
class HttpServer {
public:
    /** \brief Returns the response to a request, or nothing to close the connection without a response. */
    using Handler = std::function<boost::asio::awaitable<std::optional<HttpResponse>>(HttpRequest)>;

    /** \brief Starts listening; with port 0, on any free port.
     * \param kind of the accepted connections; a server has no other limit on idle ones
     * \throws boost::system::system_error when the address can't be bound
     */
    HttpServer(boost::asio::io_context&, const HttpAddress&, Handler, ConnectionKind kind = ConnectionKind::Operator);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /** \returns the address and port at which the server listens */
    HttpAddress address() const;

    /** \brief Stops listening and closes every connection. */
    void stop();

private:
    class State;
    std::shared_ptr<State> state;
};

/** \returns a response with a JSON body */
HttpResponse jsonResponse(const boost::json::value&, unsigned status = 200);

/** \returns the target's path, without the query */
std::string targetPath(const HttpRequest&);

/** \returns the target's query parameters, without percent-decoding */
std::map<std::string, std::string> targetQuery(const HttpRequest&);

}

#endif
