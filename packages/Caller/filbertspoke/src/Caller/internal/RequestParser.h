#ifndef FILBERTSPOKE_REQUEST_PARSER_H
#define FILBERTSPOKE_REQUEST_PARSER_H

#include <filbertspoke/Router>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <variant>

namespace filbertspoke::internal {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/** \brief What an HTTP request asks for, or why it is malformed. */
using ParsedRequest = std::variant<CompletionReceived, CallReceived, KeyRequested, Refusal>;

/** \returns the event for a caller's request; every Refusal says that nothing ran */
ParsedRequest parseRequest(const HttpRequest&, const RequestId&);

}

#endif
