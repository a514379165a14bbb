// Checks what a gateway process makes of refusals in which an engine names another engine of the chain.
#include <filbertspoke/PlatformTesting>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const std::string endOfStream = "0\r\n\r\n";
const std::string endOfHead = "\r\n\r\n";
// Longer than the pause from which on a stream attributes its stall to a suspected engine, shorter than the one after which it is resumed.
constexpr Duration pauseBetweenEvents = 350ms;
constexpr auto suspectedStall = 200ms;
constexpr Duration refusalDelay = 40ms;
constexpr int lastEvent = 4;

/** \returns the address of the last engine that the request is to pass through */
std::string lastStage(const HttpRequest& request)
{
    const std::string_view path = findHeader(request.headers, "Hop-Count");
    const std::string_view last = path.substr(path.rfind(',') == std::string_view::npos ? 0 : path.rfind(',') + 1);
    return std::string(last.substr(0, last.find('=')));
}

ReplicaScript refusalNaming(const std::string& address)
{
    std::string answer = fullAnswer();
    answer.insert(answer.find("\r\n") + 2, "At-Server: " + address + "\r\n");
    return { { answer }, refusalDelay, ReplicaScript::End::Keep };
}

ReplicaScript slowStream(const HttpRequest& request)
{
    ReplicaScript script;
    script.pieces.push_back(streamHead(request));
    for (int id = readForwarded(request).lastEvent + 1; id <= lastEvent; ++id)
        script.pieces.push_back(eventChunk(id));
    script.pieces.push_back(lastChunk());
    script.pause = pauseBetweenEvents;
    return script;
}

/** \brief A gateway with a slow stream in progress, whose last engine refuses all other requests. */
struct Fixture : GatewayScene {
    Fixture()
    {
        this->start();
        this->setFirstEngines(slowStream);
        this->stream = this->call("POST", "/chat/slow");
        BOOST_TEST_REQUIRE(this->await([this] { return this->stream->received().find("id: 1\n") != std::string::npos; }));
        const std::string refusing = lastStage(this->replicas.at(this->firstEngineOfStream())->requests().front());
        this->setFirstEngines([refusing](const HttpRequest& request) { return request.target == "/chat/slow" ? slowStream(request) : refusalNaming(refusing); });
    }

    void setFirstEngines(const ReplicaStandIn::Answer& answer)
    {
        for (const char* id : { "engine-a1", "engine-b1" })
            this->replicas.at(id)->setAnswer([answer](const HttpRequest& request) { return request.target.starts_with("/filbertspoke/") ? emptyReport() : answer(request); });
    }

    /** \returns the first engine of the stream's chain */
    std::string firstEngineOfStream() const { return this->replicas.at("engine-a1")->requests().empty() ? "engine-b1" : "engine-a1"; }

    /** \returns how often the stream was sent to an engine */
    std::ptrdiff_t sendsOfStream() const
    {
        std::ptrdiff_t sends = 0;
        for (const auto& [id, replica] : this->replicas)
            sends += std::count_if(replica->requests().begin(), replica->requests().end(), [](const HttpRequest& request) { return request.target == "/chat/slow"; });
        return sends;
    }

    std::unique_ptr<RawCaller> stream;
};

}

// Guards against streams that were cut, and then found no chain, because an engine of theirs had refused another request.
BOOST_FIXTURE_TEST_CASE(streamStaysAtAnEngineThatRefusesOtherRequests, Fixture)
{
    while (!this->stream->closed() && this->stream->received().find(endOfStream) == std::string::npos)
        this->answer(*this->call("POST", "/chat/refused"), endOfHead);
    BOOST_TEST(this->stream->received().find(endOfStream) != std::string::npos);
    BOOST_TEST(this->sendsOfStream() == 1);
}

// Guards against streams that were cut although no other chain could serve the rest.
BOOST_FIXTURE_TEST_CASE(streamStaysAtASuspectedEngineWhileThereIsNoOtherChain, Fixture)
{
    const std::string own = this->firstEngineOfStream();
    this->putEndpoint(own == "engine-a1" ? "engine-b1" : "engine-a1", "draining");
    const auto suspected = std::chrono::steady_clock::now() + suspectedStall;
    BOOST_TEST_REQUIRE(this->await([&] { return std::chrono::steady_clock::now() >= suspected; }));
    // A new connection to the first engine fails, which makes it suspected; the stream's connection lives on.
    this->replicas.at(own)->setListening(false);
    this->answer(*this->call("POST", "/chat/refused"), endOfHead);
    this->answer(*this->stream, endOfStream);
    BOOST_TEST(this->stream->received().find(endOfStream) != std::string::npos);
    BOOST_TEST(this->sendsOfStream() == 1);
}
