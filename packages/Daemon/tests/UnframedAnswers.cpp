// Runs a gateway whose endpoints send answers with neither a length nor chunks, which end with their connection.
#include <filbertspoke/PlatformTesting>

#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> firstEngines { "engine-a1", "engine-b1" };
const std::vector<std::string> serviceReplicas { "app-1", "app-2" };

struct Fixture : GatewayScene {
    Fixture() { this->start(); }

    void setAnswers(const std::vector<std::string>& endpoints, const ReplicaStandIn::Answer& answer)
    {
        for (const std::string& id : endpoints)
            this->replicas.at(id)->setAnswer([answer](const HttpRequest& request) { return request.target.starts_with("/filbertspoke/") ? emptyReport() : answer(request); });
    }
};

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

}

BOOST_FIXTURE_TEST_CASE(callIsWholeWhenItsConnectionEnds, Fixture)
{
    this->setAnswers(serviceReplicas, [](const HttpRequest& request) { return ReplicaScript { { unframedHead(request), "ser", "ved" }, 5ms, ReplicaScript::End::Close }; });
    const std::string received = this->answer(*this->call("POST", "/book/x"), "served");
    BOOST_TEST(contains(received, "HTTP/1.1 200"));
    BOOST_TEST(contains(received, "Content-Length: 6"));
    BOOST_TEST(contains(received, "served"));
}

BOOST_FIXTURE_TEST_CASE(callIsNotWholeWhenItsConnectionIsReset, Fixture)
{
    this->setAnswers(serviceReplicas, [](const HttpRequest& request) { return ReplicaScript { { unframedHead(request), "ser" }, 5ms, ReplicaScript::End::Reset }; });
    BOOST_TEST(contains(this->answer(*this->call("POST", "/book/x"), "\r\n\r\n"), "HTTP/1.1 502"));
}

// Guards against bookings that failed although their endpoint had refused them and another one was free.
BOOST_FIXTURE_TEST_CASE(refusedCallGoesToAnotherEndpointThoughItsConnectionIsReset, Fixture)
{
    int attempts = 0;
    this->setAnswers(serviceReplicas, [&attempts](const HttpRequest& request) {
        if (++attempts == 1)
            return ReplicaScript { { unframedRefusal(request), "fu" }, 5ms, ReplicaScript::End::Reset };
        return ReplicaScript { { wholeAnswer(request, 200, "served") } };
    });
    BOOST_TEST(contains(this->answer(*this->call("POST", "/book/x"), "served"), "HTTP/1.1 200"));
    BOOST_TEST(attempts == 2);
}

BOOST_FIXTURE_TEST_CASE(streamIsWholeWhenItsConnectionEndsAfterAnEvent, Fixture)
{
    this->setAnswers(firstEngines, [](const HttpRequest& request) { return ReplicaScript { { unframedHead(request), unframedEvent(1), unframedEvent(2) }, 5ms, ReplicaScript::End::Close }; });
    const std::string received = this->answer(*this->call("POST", "/chat/x"), "0\r\n\r\n");
    BOOST_TEST(contains(received, "id: 2"));
    BOOST_TEST(contains(received, "0\r\n\r\n"));
}

BOOST_FIXTURE_TEST_CASE(streamThatEndsInsideAnEventIsResumed, Fixture)
{
    int runs = 0;
    this->setAnswers(firstEngines, [&runs](const HttpRequest& request) {
        if (++runs == 1)
            return ReplicaScript { { unframedHead(request), unframedEvent(1), "id: 2\ndata: to" }, 5ms, ReplicaScript::End::Close };
        return ReplicaScript { { unframedHead(request), unframedEvent(readForwarded(request).lastEvent + 1) }, 5ms, ReplicaScript::End::Close };
    });
    const std::string received = this->answer(*this->call("POST", "/chat/x"), "0\r\n\r\n");
    BOOST_TEST(runs == 2);
    BOOST_TEST(contains(received, "id: 2\ndata: token\n\n"));
    BOOST_TEST(!contains(received, "data: to\n"));
    BOOST_TEST(contains(received, "0\r\n\r\n"));
}
