// Runs a gateway whose endpoints answer the first attempt of an upload as soon as they have its head, and end the connection or their side of it.
#include <filbertspoke/PlatformTesting>

#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

using End = ReplicaScript::End;

const std::vector<std::string> serviceReplicas { "app-1", "app-2" };
const std::vector<std::string> firstEngines { "engine-a1", "engine-b1" };
const std::string lookUp = "/stock/x";
const std::string booking = "/book/x";
const std::string stream = "/chat/x";
// Exceeds what the sockets of both sides keep, so that the gateway is still writing when the answer arrives.
constexpr std::size_t uploadBytes = 4'000'000;
const std::string partialBody = "partial-body";

/** \returns an answer with neither length nor chunks, of which the endpoint has sent a part */
std::string unframedAnswer(const HttpRequest& request, unsigned status = statusOk)
{
    return unframedHead(request, status) + partialBody;
}

/** \brief A gateway whose endpoints answer the first attempt of each request at its head, and further ones well. */
class Scene : public GatewayScene {
public:
    using Answer = std::function<std::string(const HttpRequest&)>;

    Scene(Answer callAnswer, Answer streamAnswer, End end)
    {
        for (const std::string& id : serviceReplicas)
            this->interruptFirstAttempts(id, callAnswer, end, [](const HttpRequest& request) { return wholeAnswer(request, 200, "served"); });
        for (const std::string& id : firstEngines)
            this->interruptFirstAttempts(id, streamAnswer, end, [](const HttpRequest& request) { return streamHead(request) + eventChunk(readForwarded(request).lastEvent + 1) + lastChunk(); });
        this->start();
    }

    /** \brief Uploads a body.
     * \param sends how often the request should reach endpoints
     * \returns what its caller received */
    std::string answerTo(const std::string& path, int sends)
    {
        this->attempts.clear();
        const auto caller = this->upload(path, std::string(uploadBytes, 'x'));
        this->await([&] { return caller->closed(); });
        BOOST_TEST((this->attempts.empty() ? 0 : this->attempts.begin()->second) == sends);
        return caller->received();
    }

private:
    void interruptFirstAttempts(const std::string& id, const Answer& firstAnswer, End end, const Answer& soundAnswer)
    {
        ReplicaStandIn& replica = *this->replicas.at(id);
        replica.setAnswersAtHead(true);
        replica.setAnswer([=, this](const HttpRequest& request) {
            if (request.target.starts_with("/filbertspoke/"))
                return emptyReport();
            if (++this->attempts[readForwarded(request).id] > 1)
                return ReplicaScript { { soundAnswer(request) }, 0ms };
            return ReplicaScript { { firstAnswer(request) }, 0ms, end };
        });
    }

    std::map<std::string, int> attempts; ///< by request
};

/** \brief Runs the check for endpoints that reset the connection, and for such that close it with the rest of the upload unread. */
void forEachReset(const std::function<void(End)>& check)
{
    for (const End end : { End::Reset, End::Close }) {
        BOOST_TEST_CONTEXT((end == End::Reset ? "reset" : "closed"))
        check(end);
    }
}

}

// Guards against a part of an answer that callers got as a whole one: the failed write of the upload had taken the error of the reset connection.
BOOST_AUTO_TEST_CASE(unframedAnswerOfAResetConnectionIsNotWhole)
{
    forEachReset([](End end) {
        Scene scene([](const HttpRequest& request) { return unframedAnswer(request); }, [](const HttpRequest& request) { return unframedHead(request) + unframedEvent(1); }, end);
        const std::string found = scene.answerTo(lookUp, 2);
        BOOST_TEST(found.starts_with("HTTP/1.1 200"));
        BOOST_TEST(found.ends_with("served"));
        const std::string booked = scene.answerTo(booking, 1);
        BOOST_TEST(booked.starts_with("HTTP/1.1 502"));
        BOOST_TEST(booked.find(partialBody) == std::string::npos);
        const std::string generated = scene.answerTo(stream, 2);
        BOOST_TEST(eventIds(generated) == "1 2 ");
        BOOST_TEST(generated.ends_with(lastChunk()));
    });
}

BOOST_AUTO_TEST_CASE(unframedFailureOfAResetConnectionIsNotWhole)
{
    for (const unsigned status : { 404U, 500U }) {
        forEachReset([status](End end) {
            const auto failure = [status](const HttpRequest& request) { return unframedAnswer(request, status); };
            Scene scene(failure, failure, end);
            BOOST_TEST(scene.answerTo(lookUp, 2).ends_with("served"));
            BOOST_TEST(scene.answerTo(booking, 1).starts_with("HTTP/1.1 502"));
        });
    }
}

// A refusal promises in its head that the request has not run.
BOOST_AUTO_TEST_CASE(unframedRefusalOfAResetConnectionCounts)
{
    forEachReset([](End end) {
        const auto refusal = [](const HttpRequest& request) { return unframedRefusal(request) + partialBody; };
        Scene scene(refusal, refusal, end);
        for (const std::string& path : { lookUp, booking })
            BOOST_TEST(scene.answerTo(path, 2).ends_with("served"));
        BOOST_TEST(scene.answerTo(stream, 2).ends_with(lastChunk()));
    });
}

BOOST_AUTO_TEST_CASE(wholeAnswerOfAResetConnectionIsPassedOn)
{
    forEachReset([](End end) {
        Scene scene([](const HttpRequest& request) { return wholeAnswer(request, 200, "early"); }, [](const HttpRequest& request) { return streamHead(request) + eventChunk(1) + lastChunk(); }, end);
        for (const std::string& path : { lookUp, booking })
            BOOST_TEST(scene.answerTo(path, 1).ends_with("early"));
        BOOST_TEST(eventIds(scene.answerTo(stream, 1)) == "1 ");
    });
}

BOOST_AUTO_TEST_CASE(unframedAnswerThatEndsBeforeItsUploadWasReadIsWhole)
{
    Scene scene([](const HttpRequest& request) { return unframedHead(request) + "early"; }, [](const HttpRequest& request) { return unframedHead(request) + unframedEvent(1); }, End::HalfClose);
    for (const std::string& path : { lookUp, booking })
        BOOST_TEST(scene.answerTo(path, 1).ends_with("early"));
    const std::string generated = scene.answerTo(stream, 1);
    BOOST_TEST(eventIds(generated) == "1 ");
    BOOST_TEST(generated.ends_with(lastChunk()));
}
