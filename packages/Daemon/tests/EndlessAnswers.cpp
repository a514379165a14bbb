// Runs a gateway process against endpoints that send endless responses. Checks that the gateway limits the memory and the time that
// such a response takes, and serves other requests meanwhile.
#include <filbertspoke/PlatformTesting>

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> serviceReplicas { "app-1", "app-2" };
const std::vector<std::string> firstEngines { "engine-a1", "engine-b1" };
constexpr std::size_t pieceBytes = 64 * 1024;
// One 64 KiB piece per millisecond is about 64 MB/s, which soon exceeds the size limit of a response.
constexpr Duration pieceInterval = 1ms;
// Deadline of the callers in this scenario.
constexpr Duration callerLimit = 4s;
// Time for which the gateway may hold a request beyond that deadline.
constexpr Duration deadlineTolerance = 500ms;
// A host provides 256 MB for a gateway, in which about twenty concurrent endless responses must fit.
constexpr long maxMemoryGrowthKb = 10 * 1024;

/** \returns a response that repeats \a piece after \a head for as long as the gateway reads it */
ReplicaScript endless(const std::string& head, const std::string& piece)
{
    return { { head, piece }, pieceInterval, ReplicaScript::End::Endless };
}

std::string filler(char character = 'x')
{
    return std::string(pieceBytes, character);
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

    /** \brief Sets the answer of each listed endpoint; requests for reports still get a valid report. */
    void setAnswers(const std::vector<std::string>& ids, const ReplicaStandIn::Answer& answer)
    {
        for (const std::string& id : ids)
            this->replicas.at(id)->setAnswer([answer](const HttpRequest& request) { return request.target.starts_with("/filbertspoke/") ? emptyReport() : answer(request); });
    }

    /** \brief Sends a request to endpoints with endless responses. Checks the gateway's memory growth, the time until the request ends,
     * and that another request is served meanwhile.
     * \returns the bytes received by the caller */
    std::string checkCall(const std::string& method, const std::string& path, const std::string& otherMethod, const std::string& otherPath)
    {
        this->answer(*this->call(otherMethod, otherPath), "\r\n\r\n");
        const long before = this->gateway->peakMemoryKb();
        const auto began = std::chrono::steady_clock::now();
        const auto caller = this->call(method, path, "Connection: close\r\n");
        const auto other = this->call(otherMethod, otherPath, "Connection: close\r\n");
        this->await([&] { return other->closed(); });
        BOOST_TEST(other->received().starts_with("HTTP/1.1 200"));
        this->await([&] { return caller->closed(); });
        BOOST_TEST((std::chrono::steady_clock::now() - began <= callerLimit + deadlineTolerance));
        BOOST_TEST(this->gateway->peakMemoryKb() - before <= maxMemoryGrowthKb);
        return caller->received();
    }

    std::string lookUp() { return this->checkCall("GET", "/stock/x", "POST", "/chat/x"); }
    std::string book() { return this->checkCall("POST", "/book/x", "POST", "/chat/x"); }
    std::string stream() { return this->checkCall("POST", "/chat/x", "GET", "/stock/x"); }
};

}

BOOST_FIXTURE_TEST_CASE(endlessBodyFailsTheCall, Fixture)
{
    this->setAnswers(serviceReplicas, [](const HttpRequest& request) { return endless(chunkedHead(request, "200 OK"), chunk(filler())); });
    BOOST_TEST(this->lookUp().starts_with("HTTP/1.1 502"));
    BOOST_TEST(this->book().starts_with("HTTP/1.1 502"));
}

BOOST_FIXTURE_TEST_CASE(slowEndlessBodyFailsAtTheCallersDeadline, Fixture)
{
    this->setAnswers(serviceReplicas, [](const HttpRequest& request) { return ReplicaScript { { chunkedHead(request, "200 OK"), chunk("x") }, 20ms, ReplicaScript::End::Endless }; });
    BOOST_TEST(this->book().starts_with("HTTP/1.1 502"));
}

BOOST_FIXTURE_TEST_CASE(excessiveContentLengthFailsTheCall, Fixture)
{
    this->setAnswers(serviceReplicas, [](const HttpRequest& request) {
        return endless("HTTP/1.1 200 OK\r\n" + requestIdHeader() + ": " + readForwarded(request).id + "\r\nServer-Seal: seal\r\nContent-Length: 1000000000000\r\n\r\n", filler());
    });
    BOOST_TEST(this->book().starts_with("HTTP/1.1 502"));
}

BOOST_FIXTURE_TEST_CASE(endlessHeaderSectionFailsTheCall, Fixture)
{
    this->setAnswers(serviceReplicas, [](const HttpRequest&) { return endless("HTTP/1.1 200 OK\r\n", "Filler: " + filler() + "\r\n"); });
    BOOST_TEST(this->book().starts_with("HTTP/1.1 502"));
}

BOOST_FIXTURE_TEST_CASE(endlessInterimResponsesFailTheCall, Fixture)
{
    this->setAnswers(serviceReplicas, [](const HttpRequest&) { return endless("HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"); });
    BOOST_TEST(this->book().starts_with("HTTP/1.1 502"));
}

BOOST_FIXTURE_TEST_CASE(endlessChunkExtensionFailsTheCall, Fixture)
{
    this->setAnswers(serviceReplicas, [](const HttpRequest& request) { return endless(chunkedHead(request, "200 OK") + "1;name=", filler()); });
    BOOST_TEST(this->book().starts_with("HTTP/1.1 502"));
}

BOOST_FIXTURE_TEST_CASE(endlessAnswerToAnotherRequestFailsTheCall, Fixture)
{
    this->setAnswers(serviceReplicas, [](const HttpRequest&) {
        HttpRequest other;
        other.headers = { { requestIdHeader(), "another" } };
        return endless(streamHead(other), chunk(filler()));
    });
    BOOST_TEST(this->book().starts_with("HTTP/1.1 502"));
}

BOOST_FIXTURE_TEST_CASE(endlessInvalidBytesFailTheCall, Fixture)
{
    this->setAnswers(serviceReplicas, [](const HttpRequest&) { return endless(filler(), filler()); });
    BOOST_TEST(this->book().starts_with("HTTP/1.1 502"));
}

BOOST_FIXTURE_TEST_CASE(endlessEventAbortsTheStream, Fixture)
{
    this->setAnswers(firstEngines, [](const HttpRequest& request) { return endless(streamHead(request) + eventChunk(1), chunk("data: " + filler())); });
    const std::string received = this->stream();
    BOOST_TEST(received.starts_with("HTTP/1.1 200"));
    BOOST_TEST(!received.ends_with(lastChunk()));
}

BOOST_FIXTURE_TEST_CASE(commentsAreNotStreamProgress, Fixture)
{
    this->setAnswers(firstEngines, [](const HttpRequest& request) { return ReplicaScript { { streamHead(request), chunk(": nothing\n\n") }, 20ms, ReplicaScript::End::Endless }; });
    this->replicas.at("engine-b1")->setAnswer([](const HttpRequest& request) { return ReplicaScript { { streamHead(request), eventChunk(1), lastChunk() } }; });
    // One of the two callers is routed to the engine that sends only comments.
    for (int caller = 0; caller < 2; ++caller)
        BOOST_TEST(this->stream().ends_with(lastChunk()));
}

BOOST_FIXTURE_TEST_CASE(endlessRefusalIsNotReadCompletely, Fixture)
{
    this->setAnswers(firstEngines, [](const HttpRequest& request) {
        std::string head = chunkedHead(request, "503 Full");
        return endless(head.insert(head.find("\r\n") + 2, "Not-Executed: 1\r\n"), chunk(filler()));
    });
    BOOST_TEST(this->stream().starts_with("HTTP/1.1 503"));
}

BOOST_FIXTURE_TEST_CASE(endlessReportMarksTheEngineAsLost, Fixture)
{
    for (const std::string& id : firstEngines) {
        this->replicas.at(id)->setAnswer([](const HttpRequest& request) {
            if (request.target.starts_with("/filbertspoke/"))
                return endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk(filler()));
            return ReplicaScript { {}, pieceInterval, ReplicaScript::End::Silence };
        });
    }
    BOOST_TEST(this->stream().starts_with("HTTP/1.1 502"));
}

BOOST_FIXTURE_TEST_CASE(concurrentEndlessBodiesKeepMemoryBounded, Fixture)
{
    this->setAnswers(serviceReplicas, [](const HttpRequest& request) { return endless(chunkedHead(request, "200 OK"), chunk(filler())); });
    constexpr int callers = 40;
    constexpr long maxMemoryKb = 100 * 1024;
    std::vector<std::unique_ptr<RawCaller>> all;
    all.reserve(callers);
    for (int caller = 0; caller < callers; ++caller)
        all.push_back(this->call("POST", "/book/x", "Connection: close\r\n"));
    for (const auto& caller : all) {
        this->await([&] { return caller->closed(); });
        BOOST_TEST(caller->received().starts_with("HTTP/1.1 502"));
    }
    BOOST_TEST(this->gateway->peakMemoryKb() <= maxMemoryKb);
}
