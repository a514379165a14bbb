#ifndef FILBERTSPOKE_REQUEST_PARSER_H
#define FILBERTSPOKE_REQUEST_PARSER_H

#include <filbertspoke/Router>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <variant>

namespace filbertspoke::internal {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/** \brief The event for a valid HTTP request, or the refusal of an invalid one. */
using ParsedRequest = std::variant<CompletionReceived, CallReceived, KeyRequested, Refusal>;

/** \returns the event for a caller's request, or a Refusal with Ran::No */
ParsedRequest parseRequest(const HttpRequest&, const RequestId&);

}

#endif
