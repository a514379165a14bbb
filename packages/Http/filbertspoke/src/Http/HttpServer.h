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

/** \brief A small HTTP server on one thread, with one coroutine for each connection. */
class HttpServer {
public:
    /** \brief Answers a request; without a response the connection is closed unanswered. */
    using Handler = std::function<boost::asio::awaitable<std::optional<HttpResponse>>(HttpRequest)>;

    /** \param port 0 for any free port
     * \throws boost::system::system_error when the address can't be bound
     */
    HttpServer(boost::asio::io_context&, const HttpAddress&, Handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /** \returns where the server listens, with the port that it got */
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

/** \returns the target's query parameters */
std::map<std::string, std::string> targetQuery(const HttpRequest&);

}

#endif
