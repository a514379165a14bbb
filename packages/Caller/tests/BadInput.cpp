#include "RawCaller.h"

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

/** \brief A server with limits that a test reaches soon. */
struct TightFixture : ServerFixture {
    TightFixture()
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

    /** \brief Another caller is served as if nothing had happened, and nothing else reached the sink. */
    void expectNothingDisturbed()
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
        this->expectNothingDisturbed();
    }
};

}

BOOST_FIXTURE_TEST_CASE(bodyOverTheLimit, TightFixture)
{
    this->expectRefused(post("/v1/completions", std::string(300, 'x')), "413", "body-too-large");
}

BOOST_FIXTURE_TEST_CASE(chunkedBodyOverTheLimit, TightFixture)
{
    const std::string chunk = "80\r\n" + std::string(128, 'x') + "\r\n";
    this->expectRefused("POST /v1/completions HTTP/1.1\r\nHost: h\r\nFilbertspoke-Account: acme\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + chunk + chunk + "0\r\n\r\n", "413", "body-too-large");
}

BOOST_FIXTURE_TEST_CASE(brokenJson, TightFixture)
{
    this->expectRefused(post("/v1/completions", "{\"model\":"), "400", "malformed-request");
}

BOOST_FIXTURE_TEST_CASE(fieldOfTheWrongType, TightFixture)
{
    this->expectRefused(post("/v1/completions", R"({"model":"m","prompt":7,"max_tokens":1})"), "400", "malformed-request");
}

BOOST_FIXTURE_TEST_CASE(negativeTokenCount, TightFixture)
{
    this->expectRefused(post("/v1/completions", R"({"model":"m","prompt":"p","max_tokens":-1})"), "400", "malformed-request");
}

BOOST_FIXTURE_TEST_CASE(resumeThatDoesNotFitItsIndex, TightFixture)
{
    this->expectRefused(post("/v1/completions", R"({"model":"m","prompt":"p","max_tokens":3,"received":["a"]})", "Filbertspoke-Account: acme\r\nLast-Event-ID: 5\r\n"), "400", "malformed-request");
}

BOOST_FIXTURE_TEST_CASE(missingAccount, TightFixture)
{
    this->expectRefused(post("/v1/completions", "{}", ""), "403", "unknown-account");
}

BOOST_FIXTURE_TEST_CASE(unknownPath, TightFixture)
{
    this->expectRefused(post("/v2/other", "{}"), "404", "unknown-path");
}

BOOST_FIXTURE_TEST_CASE(pathThatClimbs, TightFixture)
{
    this->expectRefused(post("/services/s/stock/../bookings", "{}"), "400", "malformed-request");
}

BOOST_FIXTURE_TEST_CASE(pathThatClimbsInDisguise, TightFixture)
{
    this->expectRefused(post("/services/s/stock/%2e%2e/bookings", "{}"), "400", "malformed-request");
}

BOOST_FIXTURE_TEST_CASE(deadlineThatIsNoNumber, TightFixture)
{
    this->expectRefused(post("/services/s/a", "{}", "Filbertspoke-Account: acme\r\nFilbertspoke-Deadline-Ms: soon\r\n"), "400", "malformed-request");
}

BOOST_FIXTURE_TEST_CASE(bytesThatAreNoHttp, TightFixture)
{
    this->expectRefused("\x16\x03\x01 hello\r\n\r\n", "400", "malformed-request");
}

BOOST_FIXTURE_TEST_CASE(headerThatTrickles, TightFixture)
{
    this->expectRefused("POST /v1/completions HTTP/1.1\r\nHost:", "408", "header-timeout");
}

BOOST_FIXTURE_TEST_CASE(bodyThatDiffersFromItsLengthClosesTheConnection, TightFixture)
{
    RawCaller caller(this->io, this->server.port());
    caller.send("POST /services/s/a HTTP/1.1\r\nHost: h\r\nFilbertspoke-Account: acme\r\nContent-Length: 10\r\n\r\nabc");
    caller.close();
    this->expectNothingDisturbed();
}

BOOST_FIXTURE_TEST_CASE(callerThatGoesAwayMidStream, ServerFixture)
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

BOOST_FIXTURE_TEST_CASE(callerThatDoesNotReadIsCutOff, ServerFixture)
{
    RawCaller caller(this->io, this->server.port());
    caller.send(post("/v1/completions", R"({"model":"m","prompt":"p","max_tokens":9,"stream":true})"));
    const auto event = this->expectEvent<CompletionReceived>();
    const std::string megabyte(1 << 20, 'x');
    for (std::uint32_t index = 0; index < 4 && this->events.size() == 1; ++index)
        this->server.carryOut(EmitToken { event.request, index, megabyte });
    BOOST_TEST(this->expectEvent<CallerDisconnected>().request == event.request);
}
