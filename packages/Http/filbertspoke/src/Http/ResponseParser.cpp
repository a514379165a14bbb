#include "ResponseParser.h"

#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <utility>

namespace filbertspoke {

namespace http = boost::beast::http;

namespace {

constexpr int firstStatus = 100;
constexpr unsigned firstFinalStatus = 200;
constexpr int lastStatus = 599;
// No request asks for another protocol.
constexpr int switchingProtocols = 101;
constexpr int firstVersionWithChunks = 11;

/** \returns whether the field with the name continues on the next line
 * \param name in the parsed bytes */
bool isFolded(boost::beast::string_view name)
{
    // The base class joins the lines of a folded field without a sign of it. It finds the end of a field by the first byte of the next line, so that this
    // byte and all before it are in the buffer.
    const char* lineEnd = name.data() + name.size();
    while (*lineEnd != '\r')
        ++lineEnd;
    const char next = lineEnd[2];
    return next == ' ' || next == '\t';
}

}

bool ResponseParser::isInterim() const
{
    return this->code < firstFinalStatus;
}

std::string ResponseParser::takeBody()
{
    return std::exchange(this->body, {});
}

void ResponseParser::on_response_impl(int status, StringView, int version, ParseError& error)
{
    if (status < firstStatus || status > lastStatus || status == switchingProtocols)
        error = http::error::bad_status;
    this->code = static_cast<unsigned>(status);
    this->mayHaveChunks = version >= firstVersionWithChunks;
}

void ResponseParser::on_field_impl(http::field field, StringView name, StringView value, ParseError& error)
{
    if (isFolded(name))
        error = http::error::bad_obs_fold;
    // The base class rejects a second framing, but ignores a coding that it does not know.
    else if (field == http::field::transfer_encoding && !(this->mayHaveChunks && boost::beast::iequals(value, "chunked")))
        error = http::error::bad_transfer_encoding;
    else if (!this->headDone)
        this->fields.push_back({ std::string(name), std::string(value) });
}

std::size_t ResponseParser::appendBody(StringView part, ParseError& error)
{
    const std::size_t kept = std::min(part.size(), this->bodyCapacity - this->body.size());
    this->body.append(part.data(), kept);
    if (kept < part.size())
        error = http::error::need_buffer;
    return kept;
}

void ResponseParser::on_finish_impl(ParseError& error)
{
    if (this->requestInterrupted && this->need_eof())
        error = http::error::partial_message;
}

bool isMalformedResponse(const std::error_code& error)
{
    const std::error_code closed = http::make_error_code(http::error::end_of_stream);
    const std::error_code closedEarly = http::make_error_code(http::error::partial_message);
    return error.category() == closed.category() && error != closed && error != closedEarly;
}

}
