// A gateway process before endpoints whose answers don't end.
#include <filbertspoke/PlatformTesting>

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> applications { "app-1", "app-2" };
const std::vector<std::string> firstEngines { "engine-a1", "engine-b1" };
constexpr std::size_t pieceBytes = 64 * 1024;
// Some 64 MB/s, far above what one answer may hold.
constexpr Duration piecePause = 1ms;
// What the callers of this scene wait for, and what a request may be held beyond it.
constexpr Duration callerLimit = 4s;
constexpr Duration heldSlack = 500ms;
// A host has 256 MB for a gateway; some twenty answers at once without an end have to fit.
constexpr long tolerableGrowthKb = 10 * 1024;

/** \returns an answer that repeats a piece behind a head for as long as the gateway reads it */
ReplicaScript endless(const std::string& head, const std::string& piece)
{
    return { { head, piece }, piecePause, ReplicaScript::End::Endless };
}

std::string bytes(char filling = 'x')
{
    return std::string(pieceBytes, filling);
}

std::string chunk(const std::string& content)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", content.size());
    return size + content + "\r\n";
}

std::string chunkedHead(const HttpRequest& request, const std::string& status)
{
    std::string head = streamHead(request);
    return head.replace(head.find("200 OK"), 6, status);
}

struct Fixture : GatewayScene {
    Fixture() { this->start(); }

    long memoryKb() const
    {
        std::ifstream status("/proc/" + std::to_string(this->gateway->id()) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:"))
                return std::stol(line.substr(line.find_first_of("0123456789")));
        }
        throw std::runtime_error("the process has no memory line");
    }

    /** \brief Has every endpoint of a list treat requests so; reports are sound. */
    void set(const std::vector<std::string>& ids, const ReplicaStandIn::Answer& answer)
    {
        for (const std::string& id : ids)
            this->replicas.at(id)->setAnswer([answer](const HttpRequest& request) { return request.target.starts_with("/filbertspoke/") ? emptyReport() : answer(request); });
    }

    /** \brief Sends a request that endless answers meet, and checks what the gateway holds, how long it holds the request
     * and whether it serves others meanwhile.
     * \returns what the caller received */
    std::string callAmongOthers(const std::string& method, const std::string& path, const std::string& otherMethod, const std::string& otherPath)
    {
        this->answer(*this->call(otherMethod, otherPath), "\r\n\r\n");
        const long before = this->memoryKb();
        const auto began = std::chrono::steady_clock::now();
        const auto caller = this->call(method, path, "Connection: close\r\n");
        const auto other = this->call(otherMethod, otherPath, "Connection: close\r\n");
        this->await([&] { return other->closed(); });
        BOOST_TEST(other->received().starts_with("HTTP/1.1 200"));
        this->await([&] { return caller->closed(); });
        BOOST_TEST((std::chrono::steady_clock::now() - began <= callerLimit + heldSlack));
        BOOST_TEST(this->memoryKb() - before <= tolerableGrowthKb);
        return caller->received();
    }

    std::string lookUp() { return this->callAmongOthers("GET", "/stock/x", "POST", "/chat/x"); }
    std::string book() { return this->callAmongOthers("POST", "/book/x", "POST", "/chat/x"); }
    std::string stream() { return this->callAmongOthers("POST", "/chat/x", "GET", "/stock/x"); }
};

}

BOOST_FIXTURE_TEST_CASE(bodyWithoutEndFailsTheCall, Fixture)
{
    this->set(applications, [](const HttpRequest& request) { return endless(chunkedHead(request, "200 OK"), chunk(bytes())); });
    BOOST_TEST(this->lookUp().starts_with("HTTP/1.1 502"));
    BOOST_TEST(this->book().starts_with("HTTP/1.1 502"));
}

BOOST_FIXTURE_TEST_CASE(bodyThatTricklesEndsWithTheCallersTime, Fixture)
{
    this->set(applications, [](const HttpRequest& request) { return ReplicaScript { { chunkedHead(request, "200 OK"), chunk("x") }, 20ms, ReplicaScript::End::Endless }; });
    BOOST_TEST(this->book().starts_with("HTTP/1.1 502"));
}

BOOST_FIXTURE_TEST_CASE(lengthBeyondAllMeasureFailsTheCall, Fixture)
{
    this->set(applications, [](const HttpRequest& request) {
        return endless("HTTP/1.1 200 OK\r\n" + requestIdHeader() + ": " + readForwarded(request).id + "\r\nServer-Seal: seal\r\nContent-Length: 1000000000000\r\n\r\n", bytes());
    });
    BOOST_TEST(this->book().starts_with("HTTP/1.1 502"));
}

BOOST_FIXTURE_TEST_CASE(headWithoutEndFailsTheCall, Fixture)
{
    this->set(applications, [](const HttpRequest&) { return endless("HTTP/1.1 200 OK\r\n", "Filler: " + bytes() + "\r\n"); });
    BOOST_TEST(this->book().starts_with("HTTP/1.1 502"));
}

BOOST_FIXTURE_TEST_CASE(interimHeadsWithoutEndFailTheCall, Fixture)
{
    this->set(applications, [](const HttpRequest&) { return endless("HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"); });
    BOOST_TEST(this->book().starts_with("HTTP/1.1 502"));
}

BOOST_FIXTURE_TEST_CASE(chunkExtensionWithoutEndFailsTheCall, Fixture)
{
    this->set(applications, [](const HttpRequest& request) { return endless(chunkedHead(request, "200 OK") + "1;name=", bytes()); });
    BOOST_TEST(this->book().starts_with("HTTP/1.1 502"));
}

BOOST_FIXTURE_TEST_CASE(answerToAnotherRequestWithoutEndFailsTheCall, Fixture)
{
    this->set(applications, [](const HttpRequest&) {
        HttpRequest other;
        other.headers = { { requestIdHeader(), "another" } };
        return endless(streamHead(other), chunk(bytes()));
    });
    BOOST_TEST(this->book().starts_with("HTTP/1.1 502"));
}

BOOST_FIXTURE_TEST_CASE(bytesThatAreNoAnswerFailTheCall, Fixture)
{
    this->set(applications, [](const HttpRequest&) { return endless(bytes(), bytes()); });
    BOOST_TEST(this->book().starts_with("HTTP/1.1 502"));
}

BOOST_FIXTURE_TEST_CASE(eventWithoutEndBreaksTheStream, Fixture)
{
    this->set(firstEngines, [](const HttpRequest& request) { return endless(streamHead(request) + eventChunk(1), chunk("data: " + bytes())); });
    const std::string received = this->stream();
    BOOST_TEST(received.starts_with("HTTP/1.1 200"));
    BOOST_TEST(!received.ends_with(lastChunk()));
}

BOOST_FIXTURE_TEST_CASE(eventsThatBringNothingAreNoProgress, Fixture)
{
    this->set(firstEngines, [](const HttpRequest& request) { return ReplicaScript { { streamHead(request), chunk(": nothing\n\n") }, 20ms, ReplicaScript::End::Endless }; });
    this->replicas.at("engine-b1")->setAnswer([](const HttpRequest& request) { return ReplicaScript { { streamHead(request), eventChunk(1), lastChunk() } }; });
    // One of two callers meets the engine that brings nothing.
    for (int caller = 0; caller < 2; ++caller)
        BOOST_TEST(this->stream().ends_with(lastChunk()));
}

BOOST_FIXTURE_TEST_CASE(refusalWithoutEndIsNotReadToItsEnd, Fixture)
{
    this->set(firstEngines, [](const HttpRequest& request) {
        std::string head = chunkedHead(request, "503 Full");
        return endless(head.insert(head.find("\r\n") + 2, "Not-Executed: 1\r\n"), chunk(bytes()));
    });
    BOOST_TEST(this->stream().starts_with("HTTP/1.1 503"));
}

BOOST_FIXTURE_TEST_CASE(reportWithoutEndTakesTheEngineForLost, Fixture)
{
    for (const std::string& id : firstEngines) {
        this->replicas.at(id)->setAnswer([](const HttpRequest& request) {
            if (request.target.starts_with("/filbertspoke/"))
                return endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk(bytes()));
            return ReplicaScript { {}, piecePause, ReplicaScript::End::Silence };
        });
    }
    BOOST_TEST(this->stream().starts_with("HTTP/1.1 502"));
}

BOOST_FIXTURE_TEST_CASE(manyBodiesWithoutEndLeaveTheGatewayItsMemory, Fixture)
{
    this->set(applications, [](const HttpRequest& request) { return endless(chunkedHead(request, "200 OK"), chunk(bytes())); });
    constexpr int callers = 40;
    constexpr long tolerableKb = 100 * 1024;
    std::vector<std::unique_ptr<RawCaller>> all;
    all.reserve(callers);
    for (int caller = 0; caller < callers; ++caller)
        all.push_back(this->call("POST", "/book/x", "Connection: close\r\n"));
    for (const auto& caller : all) {
        this->await([&] { return caller->closed(); });
        BOOST_TEST(caller->received().starts_with("HTTP/1.1 502"));
    }
    BOOST_TEST(this->memoryKb() <= tolerableKb);
}
