#ifndef FILBERTSPOKE_HTTP_CALLS_H
#define FILBERTSPOKE_HTTP_CALLS_H

#include <filbertspoke/Http>

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include <functional>
#include <string>

namespace filbertspoke {

/** \brief Runs the context until the condition holds.
 *
 * \returns whether it held before a generous time limit against hanging
 */
bool runUntil(boost::asio::io_context&, const std::function<bool()>& condition);

/** \brief Sends one request to a server that runs in the same context, and waits for the outcome. */
HttpOutcome exchange(boost::asio::io_context&, const HttpAddress&, const HttpRequest&);

/** \brief Sends one request to a server in another process, and waits for the outcome. */
HttpOutcome exchange(const HttpAddress&, const HttpRequest&);

/** \brief Sends a JSON body by POST, PUT or GET.
 *
 * \returns the answer's body, null when it isn't JSON
 * \throws std::runtime_error when there is no answer
 */
boost::json::value callJson(const HttpAddress&, const std::string& method, const std::string& target, const boost::json::value& body = nullptr);

/** \brief As above, with a server that runs in the same context. */
boost::json::value callJson(boost::asio::io_context&, const HttpAddress&, const std::string& method, const std::string& target, const boost::json::value& body = nullptr);

}

#endif
