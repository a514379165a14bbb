// Feeds whole responses, in one piece and in two at every byte.
#include <filbertspoke/Http>

#include <boost/beast/http/error.hpp>
#include <boost/test/unit_test.hpp>

#include <string>
#include <system_error>
#include <vector>

using namespace filbertspoke;
namespace http = boost::beast::http;

namespace {

struct Parsed {
    std::error_code error;
    HttpResponse response;
    bool done = false;
};

/** \brief Parses the bytes as they are read from a connection, first those before \a cut and then all that is left. */
Parsed parse(const std::string& bytes, std::size_t cut)
{
    ResponseParser parser;
    parser.eager(true);
    boost::beast::error_code error;
    std::size_t used = 0;
    for (const std::size_t end : { cut, bytes.size() }) {
        // Each read has its own buffer, so that a sanitizer finds accesses behind the bytes that have arrived.
        const std::vector<char> arrived(bytes.begin() + static_cast<std::ptrdiff_t>(used), bytes.begin() + static_cast<std::ptrdiff_t>(end));
        if (!parser.is_done() && !arrived.empty())
            used += parser.put(boost::asio::buffer(arrived), error);
        if (error && error != http::error::need_more)
            return { error, {}, false };
    }
    if (parser.is_header_done() && parser.need_eof())
        parser.put_eof(error);
    return { error, { parser.status(), parser.headers(), parser.takeBody() }, parser.is_done() };
}

/** \returns the message of the error with which the connection's end is read behind the response to an interrupted request */
std::string endOfInterrupted(const std::string& bytes)
{
    ResponseParser parser;
    parser.eager(true);
    parser.setRequestInterrupted();
    boost::beast::error_code error;
    parser.put(boost::asio::buffer(bytes), error);
    parser.put_eof(error);
    return error.message();
}

void checkAccepted(const std::string& bytes, const HttpResponse& expected)
{
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
        BOOST_TEST_CONTEXT(bytes << "\ncut at " << cut)
        {
            const Parsed parsed = parse(bytes, cut);
            BOOST_TEST(parsed.done);
            BOOST_TEST((parsed.response == expected));
        }
    }
}

void checkRejected(const std::string& bytes, http::error expected)
{
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
        BOOST_TEST_CONTEXT(bytes << "\ncut at " << cut)
        {
            const Parsed parsed = parse(bytes, cut);
            BOOST_TEST(!parsed.done);
            BOOST_TEST(parsed.error.message() == std::error_code(http::make_error_code(expected)).message());
            BOOST_TEST(isMalformedResponse(parsed.error));
        }
    }
}

}

BOOST_AUTO_TEST_CASE(responseIsReadWhateverTheSegments)
{
    checkAccepted("HTTP/1.1 200 OK\r\nA: 1\r\nContent-Length: 4\r\na: \t2 \r\nEmpty:\r\n\r\nbody", { 200, { { "A", "1" }, { "Content-Length", "4" }, { "a", "2" }, { "Empty", "" } }, "body" });
    checkAccepted("HTTP/1.1 200 \r\nTransfer-Encoding: Chunked\r\n\r\n4;x=\"y\"\r\nbody\r\n1\r\n \r\n0\r\n\r\n", { 200, { { "Transfer-Encoding", "Chunked" } }, "body " });
    checkAccepted("HTTP/1.1 599 Own\r\n\r\nbody", { 599, {}, "body" });
    checkAccepted("HTTP/1.0 404 Not Found\r\nContent-Length: 0\r\n\r\n", { 404, { { "Content-Length", "0" } }, "" });
    checkAccepted("HTTP/1.1 204 None\r\nA: 1\r\n\r\n", { 204, { { "A", "1" } }, "" });
    checkAccepted("HTTP/1.1 100 Continue\r\n\r\n", { 100, {}, "" });
}

// Guards against a part of a body that was taken for a whole one after the connection had been reset under an upload.
BOOST_AUTO_TEST_CASE(bodyOfAnInterruptedRequestDoesNotEndWithItsConnection)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    for (const std::string unframed : { "\r\nbody", "\r\n", "Content-Length: 5\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n" })
        BOOST_TEST(endOfInterrupted(head + unframed) == http::make_error_code(http::error::partial_message).message(), unframed);
    for (const std::string framed : { "Content-Length: 4\r\n\r\nbody", "Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" })
        BOOST_TEST(endOfInterrupted(head + framed) == std::error_code().message(), framed);
    BOOST_TEST(endOfInterrupted("HTTP/1.1 204 None\r\n\r\n") == std::error_code().message());
}

BOOST_AUTO_TEST_CASE(bodyBeyondTheCapacityWaits)
{
    const std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabcdef";
    ResponseParser parser;
    parser.eager(true);
    parser.setBodyCapacity(4);
    boost::beast::error_code error;
    const std::size_t used = parser.put(boost::asio::buffer(bytes), error);
    BOOST_TEST((error == http::error::need_buffer));
    BOOST_TEST(parser.takeBody() == "abcd");
    parser.put(boost::asio::buffer(bytes) + used, error);
    BOOST_TEST(!error);
    BOOST_TEST(parser.takeBody() == "ef");
    BOOST_TEST(parser.is_done());
}

BOOST_AUTO_TEST_CASE(connectionThatClosesEarlyIsNoMalformedResponse)
{
    for (const http::error error : { http::error::end_of_stream, http::error::partial_message })
        BOOST_TEST(!isMalformedResponse(http::make_error_code(error)));
    BOOST_TEST(!isMalformedResponse(std::make_error_code(std::errc::connection_reset)));
    BOOST_TEST(!isMalformedResponse({}));
}

BOOST_AUTO_TEST_CASE(statusThatIsNoneOfHttpIsRejected)
{
    for (const std::string status : { "000", "099", "101", "600", "999", "20", "2000", "+20", "2x0" })
        checkRejected("HTTP/1.1 " + status + " Status\r\nContent-Length: 4\r\n\r\nbody", http::error::bad_status);
}

BOOST_AUTO_TEST_CASE(transferCodingOtherThanChunksIsRejected)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string field = "Transfer-Encoding: ";
    const std::string chunks = "\r\n4\r\nbody\r\n0\r\n\r\n";
    for (const std::string value : { "chunked, chunked", "gzip", "gzip, chunked", "chunked, gzip", "identity", "" })
        checkRejected(head + field + value + "\r\n" + chunks, http::error::bad_transfer_encoding);
    checkRejected(head + field + "gzip\r\n" + field + "chunked\r\n" + chunks, http::error::bad_transfer_encoding);
    checkRejected(head + field + "identity\r\nContent-Length: 4\r\n\r\nbody", http::error::bad_transfer_encoding);
    checkRejected("HTTP/1.0 200 OK\r\n" + field + "chunked\r\n" + chunks, http::error::bad_transfer_encoding);
}

BOOST_AUTO_TEST_CASE(foldedFieldIsRejected)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    for (const std::string blank : { " ", "\t" }) {
        checkRejected(head + "X-Mark: 7\r\n" + blank + "Content-Length: 4\r\n\r\nbody", http::error::bad_obs_fold);
        checkRejected(head + "X-Mark:\r\n" + blank + "Content-Length: 4\r\n\r\nbody", http::error::bad_obs_fold);
        checkRejected(head + "X-Mark: 7\r\n" + blank + "\r\n\r\n", http::error::bad_obs_fold);
        checkRejected(head + "Content-Length: 4\r\n" + blank + "\r\n\r\nbody", http::error::bad_obs_fold);
        checkRejected(head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nTrailer: 7\r\n" + blank + "8\r\n\r\n", http::error::bad_obs_fold);
        checkRejected(head + blank + "Content-Length: 4\r\n\r\nbody", http::error::bad_field);
    }
}

BOOST_AUTO_TEST_CASE(trailerFieldsAreNoHeaderFields)
{
    checkAccepted("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nStore-Era: 7\r\n\r\n", { 200, { { "Transfer-Encoding", "chunked" } }, "body" });
}
