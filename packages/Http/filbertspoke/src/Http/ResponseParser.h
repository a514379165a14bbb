#ifndef FILBERTSPOKE_RESPONSE_PARSER_H
#define FILBERTSPOKE_RESPONSE_PARSER_H

#include "HttpMessage.h"

#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <system_error>
#include <vector>

namespace filbertspoke {

/** \brief Number of interim responses to one request that a reader skips; with more, it fails. */
constexpr unsigned maximumInterimResponses = 8;

/** \brief Parses one HTTP response. All readers of responses use it, so that they agree on what a response is.
 *
 * It fails, with an error of boost::beast::http, on all that the base class rejects, and on
 * - a status below 100 or above 599, and 101 (RFC 9110, 15);
 * - a header or trailer field that is folded over several lines (RFC 9112, 5.2);
 * - a transfer coding other than "chunked" alone, and any in HTTP/1.0 (RFC 9112, 6.1);
 * - a body with neither length nor chunks whose connection ends, if the request was interrupted (partial_message).
 * Trailer fields are dropped.
 */
class ResponseParser final : public boost::beast::http::basic_parser<false> {
public:
    unsigned status() const { return this->code; }
    /** \returns whether another response to the same request follows */
    bool isInterim() const;
    /** \returns the header fields in the order in which they arrived */
    const std::vector<HttpHeader>& headers() const { return this->fields; }

    /** \brief Notes that the request could not be sent whole. The failed write may have taken the error of a connection that was reset, and the next read
     * then finds an ordinary end: only a length or chunks tell whether the body is whole. */
    void setRequestInterrupted() { this->requestInterrupted = true; }
    /** \brief Limits the size in bytes of the body that is kept; parsing stops with need_buffer at a larger one until takeBody() is called. */
    void setBodyCapacity(std::size_t bytes) { this->bodyCapacity = bytes; }
    /** \returns the part of the body that was parsed since the last call */
    std::string takeBody();

private:
    using ParseError = boost::beast::error_code;
    using StringView = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb, StringView, StringView, int, ParseError&) override { }
    void on_response_impl(int status, StringView reason, int version, ParseError&) override;
    void on_field_impl(boost::beast::http::field, StringView name, StringView value, ParseError&) override;
    void on_header_impl(ParseError&) override { this->headDone = true; }
    void on_body_init_impl(const boost::optional<std::uint64_t>&, ParseError&) override { }
    std::size_t on_body_impl(StringView part, ParseError& error) override { return this->appendBody(part, error); }
    void on_chunk_header_impl(std::uint64_t, StringView, ParseError&) override { }
    std::size_t on_chunk_body_impl(std::uint64_t, StringView part, ParseError& error) override { return this->appendBody(part, error); }
    void on_finish_impl(ParseError&) override;

    std::size_t appendBody(StringView part, ParseError&);

    unsigned code = 0;
    std::vector<HttpHeader> fields;
    std::string body;
    std::size_t bodyCapacity = std::numeric_limits<std::size_t>::max();
    bool mayHaveChunks = false; ///< the version of HTTP has transfer codings
    bool headDone = false; ///< further fields are trailer fields
    bool requestInterrupted = false; ///< the end of the connection is not the end of a body
};

/** \returns whether the error of a read means that bytes arrived which are no response, rather than too few bytes or none */
bool isMalformedResponse(const std::error_code&);

}

#endif
