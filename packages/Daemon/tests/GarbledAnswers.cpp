// Runs a gateway whose engines spoil events of their streams, or send an answer twice.
#include <filbertspoke/PlatformTesting>

#include <boost/test/unit_test.hpp>

#include <string>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

// Time between the two copies of an answer, in which the gateway sends the request again.
constexpr Duration extraAnswerDelay = 25ms;
constexpr int lastEvent = 5;
const std::string endOfStream = "0\r\n\r\n";

/** \returns a stream of the events that the caller does not have yet */
ReplicaScript restOfStream(const HttpRequest& request)
{
    ReplicaScript script;
    script.pieces = { streamHead(request) };
    for (int id = readForwarded(request).lastEvent + 1; id <= lastEvent; ++id)
        script.pieces.push_back(eventChunk(id));
    script.pieces.push_back(lastChunk());
    return script;
}

struct Fixture : GatewayScene {
    Fixture() { this->start(); }

    void setFirstEngines(const ReplicaStandIn::Answer& answer)
    {
        for (const char* id : { "engine-a1", "engine-b1" })
            this->replicas.at(id)->setAnswer([answer](const HttpRequest& request) { return request.target.starts_with("/filbertspoke/") ? emptyReport() : answer(request); });
    }
};

}

// Guards against streams that lacked the events which had arrived together with a spoilt one.
BOOST_FIXTURE_TEST_CASE(eventsBeforeASpoiltOneInTheSameReadReachTheCaller, Fixture)
{
    int runs = 0;
    this->setFirstEngines([&runs](const HttpRequest& request) {
        if (++runs > 1)
            return restOfStream(request);
        return ReplicaScript { { unframedHead(request) + unframedEvent(1) + unframedEvent(2) + "id: 9#\ndata: token\n\n" }, 5ms, ReplicaScript::End::Silence };
    });
    const std::string received = this->answer(*this->call("POST", "/chat/x"), endOfStream);
    BOOST_TEST(eventIds(received) == "1 2 3 4 5 ");
    BOOST_TEST(runs == 2);
}

// Guards against streams that ran twice because the second copy of a refusal was taken for the answer to the next attempt.
BOOST_FIXTURE_TEST_CASE(secondCopyOfARefusalDoesNotAnswerTheNextAttempt, Fixture)
{
    this->putEndpoint("engine-b1", "draining");
    BOOST_TEST_REQUIRE(this->await([&] {
        const std::size_t before = this->replicas.at("engine-b1")->requests().size();
        for (int call = 0; call < 4; ++call)
            this->answer(*this->call("POST", "/chat/before"), endOfStream);
        return this->replicas.at("engine-b1")->requests().size() == before;
    }));
    int sends = 0;
    this->setFirstEngines([&](const HttpRequest& request) {
        if (++sends > 1)
            return restOfStream(request);
        std::string refusal = blamingAnswer(this->replicas.at("engine-a2")->address());
        refusal.insert(refusal.find("\r\n") + 2, requestIdHeader() + ": " + readForwarded(request).id + "\r\n");
        return ReplicaScript { { refusal, refusal }, extraAnswerDelay, ReplicaScript::End::Keep };
    });
    const std::string received = this->answer(*this->call("POST", "/chat/x"), endOfStream);
    BOOST_TEST(eventIds(received) == "1 2 3 4 5 ");
    BOOST_TEST(sends == 2);
}
