#include "RawCaller.h"

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const std::string streamedRequest = R"({"model":"m","prompt":"true the wheel","max_tokens":2,"stream":true})";
const std::string lastChunk = "\r\n0\r\n\r\n";
const std::string unstreamedRequest = R"({"model":"m","prompt":"true the wheel","max_tokens":2})";

}

BOOST_FIXTURE_TEST_CASE(streamCarriesIndexedTokensAndDoneEvent, ServerFixture)
{
    RawCaller caller(this->io, this->server.port());
    caller.send(post("/v1/completions", streamedRequest));
    const auto event = this->expectEvent<CompletionReceived>();
    BOOST_TEST(event.stream);
    BOOST_TEST(event.prompt == "true the wheel");

    this->server.carryOut(EmitToken { event.request, 0, "hub" });
    caller.expect("id: 0\ndata: {\"token\":\"hub\"}\n\n");
    this->server.carryOut(EmitToken { event.request, 1, "rim" });
    this->server.carryOut(CompleteRequest { event.request, "length" });
    caller.expect("id: 1\ndata: {\"token\":\"rim\"}\n\n");
    caller.expect("event: done");
    caller.expect(lastChunk);
    BOOST_TEST(caller.received.find(lastChunk) == caller.received.size() - lastChunk.size());
}

BOOST_FIXTURE_TEST_CASE(unstreamedCompletionIsSentAsOneResponse, ServerFixture)
{
    RawCaller caller(this->io, this->server.port());
    caller.send(post("/v1/completions", unstreamedRequest));
    const auto event = this->expectEvent<CompletionReceived>();
    this->server.carryOut(EmitToken { event.request, 0, "hub" });
    this->server.carryOut(EmitToken { event.request, 1, "rim" });
    this->server.carryOut(CompleteRequest { event.request, "length" });
    caller.expect("\"text\":\"hub rim\"");
}

BOOST_FIXTURE_TEST_CASE(refusalCarriesCodeAndRetryAfter, ServerFixture)
{
    RawCaller caller(this->io, this->server.port());
    caller.send(post("/v1/completions", streamedRequest));
    const auto event = this->expectEvent<CompletionReceived>();
    this->server.carryOut(RefuseRequest { event.request, Refusal(ErrorCode::QueueFull, Ran::No).retryAfter(1500ms) });
    caller.expect("HTTP/1.1 429");
    caller.expect("Retry-After: 2\r\n");
    caller.expect("{\"code\":\"queue-full\",\"ran\":\"no\",\"requestId\":\"" + event.request.str() + "\",\"retryAfterMs\":1500}");
}

BOOST_FIXTURE_TEST_CASE(refusalDuringStreamIsAnErrorEvent, ServerFixture)
{
    RawCaller caller(this->io, this->server.port());
    caller.send(post("/v1/completions", streamedRequest));
    const auto event = this->expectEvent<CompletionReceived>();
    this->server.carryOut(EmitToken { event.request, 0, "hub" });
    this->server.carryOut(RefuseRequest { event.request, Refusal(ErrorCode::NoPipeline, Ran::Yes).retryAfter(1s) });
    caller.expect("event: error\ndata: {\"code\":\"no-pipeline\",\"ran\":\"yes\"");
    caller.expect("\r\n0\r\n\r\n");
}

BOOST_FIXTURE_TEST_CASE(resumeCarriesReceivedTokens, ServerFixture)
{
    RawCaller caller(this->io, this->server.port());
    caller.send(post("/v1/completions", R"({"model":"m","prompt":"p","max_tokens":3,"stream":true,"received":["hub","rim"]})", "Filbertspoke-Account: acme\r\nLast-Event-ID: 1\r\n"));
    const auto event = this->expectEvent<CompletionReceived>();
    BOOST_TEST((event.received == std::vector<std::string> { "hub", "rim" }));
}

BOOST_FIXTURE_TEST_CASE(callCarriesMethodPathQueryAndKey, ServerFixture)
{
    RawCaller caller(this->io, this->server.port());
    caller.send(post("/services/bench-app/bookings?bench=7", "{}", "Filbertspoke-Account: acme\r\nIdempotency-Key: k1\r\nFilbertspoke-Deadline-Ms: 250\r\n"));
    const auto event = this->expectEvent<CallReceived>();
    BOOST_TEST(event.call.service == ServiceId("bench-app"));
    BOOST_TEST(event.call.method == "POST");
    BOOST_TEST(event.call.path == "/bookings?bench=7");
    BOOST_TEST(event.idempotencyKey.value() == "k1");
    BOOST_TEST((event.deadline == Duration(250ms)));
    this->server.carryOut(AnswerCall { event.request, { 201, "application/json", "{\"number\":1}" } });
    caller.expect("HTTP/1.1 201");
    caller.expect("{\"number\":1}");
}

BOOST_FIXTURE_TEST_CASE(pipelinedRequestsAreServedInOrder, ServerFixture)
{
    RawCaller caller(this->io, this->server.port());
    caller.send(post("/services/s/a", "{}") + post("/services/s/b", "{}"));
    const auto first = this->expectEvent<CallReceived>();
    this->server.carryOut(AnswerCall { first.request, { 200, "text/plain", "one" } });
    const auto second = this->expectEvent<CallReceived>();
    BOOST_TEST(second.call.path == "/b");
    this->server.carryOut(AnswerCall { second.request, { 200, "text/plain", "two" } });
    caller.expect("two");
    BOOST_TEST(caller.received.find("one") < caller.received.find("two"));
}

BOOST_FIXTURE_TEST_CASE(drainLetsRequestsFinishAndClosesIdleConnections, ServerFixture)
{
    RawCaller idle(this->io, this->server.port());
    RawCaller busy(this->io, this->server.port());
    busy.send(post("/v1/completions", streamedRequest));
    const auto event = this->expectEvent<CompletionReceived>();
    this->server.drain();
    idle.expectClosed();
    this->server.carryOut(EmitToken { event.request, 0, "hub" });
    this->server.carryOut(CompleteRequest { event.request, "length" });
    busy.expect("event: done");
    busy.expectClosed();
}
