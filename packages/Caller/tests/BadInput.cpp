#include "RawCaller.h"

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

/** \brief A server with limits low enough for a test to exceed quickly. */
struct LowLimitsFixture : ServerFixture {
    LowLimitsFixture()
        : ServerFixture(limits())
    {
    }

    static CallerServerLimits limits()
    {
        CallerServerLimits limits;
        limits.bodyBytes = 256;
        limits.headerTimeout = 50ms;
        return limits;
    }

    /** \brief Checks that another caller is served normally and that its request is the only event. */
    void expectServerUnaffected()
    {
        RawCaller other(this->io, this->server.port());
        other.send(post("/services/s/a", "{}"));
        const auto event = this->expectEvent<CallReceived>();
        this->server.carryOut(AnswerCall { event.request, { 200, "text/plain", "fine" } });
        other.expect("fine");
        BOOST_TEST(this->events.size() == 1u);
    }

    void expectRefused(const std::string& request, const std::string& status, const std::string& code)
    {
        RawCaller caller(this->io, this->server.port());
        caller.send(request);
        caller.expect("HTTP/1.1 " + status);
        caller.expect("\"code\":\"" + code + "\",\"ran\":\"no\"");
        this->expectServerUnaffected();
    }
};

}

BOOST_FIXTURE_TEST_CASE(bodyOverTheLimit, LowLimitsFixture)
{
    this->expectRefused(post("/v1/completions", std::string(300, 'x')), "413", "body-too-large");
}

BOOST_FIXTURE_TEST_CASE(chunkedBodyOverTheLimit, LowLimitsFixture)
{
    const std::string chunk = "80\r\n" + std::string(128, 'x') + "\r\n";
    this->expectRefused("POST /v1/completions HTTP/1.1\r\nHost: h\r\nFilbertspoke-Account: acme\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + chunk + chunk + "0\r\n\r\n", "413", "body-too-large");
}

BOOST_FIXTURE_TEST_CASE(malformedJson, LowLimitsFixture)
{
    this->expectRefused(post("/v1/completions", "{\"model\":"), "400", "malformed-request");
}

BOOST_FIXTURE_TEST_CASE(fieldOfWrongType, LowLimitsFixture)
{
    this->expectRefused(post("/v1/completions", R"({"model":"m","prompt":7,"max_tokens":1})"), "400", "malformed-request");
}

BOOST_FIXTURE_TEST_CASE(negativeTokenCount, LowLimitsFixture)
{
    this->expectRefused(post("/v1/completions", R"({"model":"m","prompt":"p","max_tokens":-1})"), "400", "malformed-request");
}

BOOST_FIXTURE_TEST_CASE(resumeWithMismatchedLastEventId, LowLimitsFixture)
{
    this->expectRefused(post("/v1/completions", R"({"model":"m","prompt":"p","max_tokens":3,"received":["a"]})", "Filbertspoke-Account: acme\r\nLast-Event-ID: 5\r\n"), "400", "malformed-request");
}

BOOST_FIXTURE_TEST_CASE(missingAccount, LowLimitsFixture)
{
    this->expectRefused(post("/v1/completions", "{}", ""), "403", "unknown-account");
}

BOOST_FIXTURE_TEST_CASE(unknownPath, LowLimitsFixture)
{
    this->expectRefused(post("/v2/other", "{}"), "404", "unknown-path");
}

BOOST_FIXTURE_TEST_CASE(pathWithDotSegments, LowLimitsFixture)
{
    this->expectRefused(post("/services/s/stock/../bookings", "{}"), "400", "malformed-request");
}

BOOST_FIXTURE_TEST_CASE(pathWithEncodedDotSegments, LowLimitsFixture)
{
    this->expectRefused(post("/services/s/stock/%2e%2e/bookings", "{}"), "400", "malformed-request");
}

BOOST_FIXTURE_TEST_CASE(nonNumericDeadline, LowLimitsFixture)
{
    this->expectRefused(post("/services/s/a", "{}", "Filbertspoke-Account: acme\r\nFilbertspoke-Deadline-Ms: soon\r\n"), "400", "malformed-request");
}

BOOST_FIXTURE_TEST_CASE(nonHttpInput, LowLimitsFixture)
{
    this->expectRefused("\x16\x03\x01 hello\r\n\r\n", "400", "malformed-request");
}

BOOST_FIXTURE_TEST_CASE(incompleteHeaderTimesOut, LowLimitsFixture)
{
    this->expectRefused("POST /v1/completions HTTP/1.1\r\nHost:", "408", "header-timeout");
}

BOOST_FIXTURE_TEST_CASE(truncatedBodyClosesConnection, LowLimitsFixture)
{
    RawCaller caller(this->io, this->server.port());
    caller.send("POST /services/s/a HTTP/1.1\r\nHost: h\r\nFilbertspoke-Account: acme\r\nContent-Length: 10\r\n\r\nabc");
    caller.close();
    this->expectServerUnaffected();
}

BOOST_FIXTURE_TEST_CASE(callerDisconnectsDuringStream, ServerFixture)
{
    RawCaller caller(this->io, this->server.port());
    caller.send(post("/v1/completions", R"({"model":"m","prompt":"p","max_tokens":9,"stream":true})"));
    const auto event = this->expectEvent<CompletionReceived>();
    this->server.carryOut(EmitToken { event.request, 0, "hub" });
    caller.expect("hub");
    caller.close();
    BOOST_TEST(this->expectEvent<CallerDisconnected>().request == event.request);
    this->server.carryOut(EmitToken { event.request, 1, "rim" });
    this->server.carryOut(CompleteRequest { event.request, "length" });
}

BOOST_FIXTURE_TEST_CASE(callerThatDoesNotReadIsDisconnected, ServerFixture)
{
    RawCaller caller(this->io, this->server.port());
    caller.send(post("/v1/completions", R"({"model":"m","prompt":"p","max_tokens":9,"stream":true})"));
    const auto event = this->expectEvent<CompletionReceived>();
    const std::string megabyte(1 << 20, 'x');
    for (std::uint32_t index = 0; index < 4 && this->events.size() == 1; ++index)
        this->server.carryOut(EmitToken { event.request, index, megabyte });
    BOOST_TEST(this->expectEvent<CallerDisconnected>().request == event.request);
}

// Guards against a daemon that runs out of memory because it keeps all of a trailer section.
BOOST_FIXTURE_TEST_CASE(trailersOverTheHeaderLimit, LowLimitsFixture)
{
    std::string fields;
    while (fields.size() < 64 * 1024)
        fields += "Filler: value\r\n";
    this->expectRefused("POST /v1/completions HTTP/1.1\r\nHost: h\r\nFilbertspoke-Account: acme\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + fields, "413", "body-too-large");
}

// Guards against a daemon that runs out of memory because it keeps all of a chunk's extension.
BOOST_FIXTURE_TEST_CASE(chunkExtensionOverTheHeaderLimit, LowLimitsFixture)
{
    this->expectRefused("POST /v1/completions HTTP/1.1\r\nHost: h\r\nFilbertspoke-Account: acme\r\nTransfer-Encoding: chunked\r\n\r\n4;name=" + std::string(64 * 1024, 'x'), "413", "body-too-large");
}
