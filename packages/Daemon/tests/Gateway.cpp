// Runs a gateway process against stand-ins for the users' platform.
#include <filbertspoke/PlatformTesting>

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <string>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

struct Fixture : GatewayScene {
    Fixture() { this->start(); }

    std::size_t requestsAt(const std::vector<std::string>& ids) const
    {
        std::size_t count = 0;
        for (const std::string& id : ids)
            count += this->replicas.at(id)->requests().size();
        return count;
    }

    const HttpRequest& requestAt(const std::vector<std::string>& ids) const
    {
        for (const std::string& id : ids) {
            if (!this->replicas.at(id)->requests().empty())
                return this->replicas.at(id)->requests().front();
        }
        throw std::runtime_error("no request arrived");
    }
};

const std::vector<std::string> serviceReplicas { "app-1", "app-2" };
const std::vector<std::string> firstEngines { "engine-a1", "engine-b1" };

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

/** \returns an engine's report that its requests are stalled at the engine with \a address; with an empty address, at none */
ReplicaScript stalledReport(const std::string& address)
{
    const std::string entry = address.empty() ? "" : R"({"Id":"any","Address":")" + address + R"("})";
    const std::string body = R"({"CallSeq":0,"Busy":false,"Stalled":[)" + entry + "]}";
    return ReplicaScript { { "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body }, 5ms, ReplicaScript::End::Keep };
}

ReplicaScript interruptedStream(const HttpRequest& request, ReplicaScript::End end)
{
    ReplicaScript script;
    script.pieces = { streamHead(request), eventChunk(1), eventChunk(2), "10\r\nid: 3\nda" };
    script.end = end;
    return script;
}

}

BOOST_FIXTURE_TEST_CASE(forwardedCallHasTheAccountButNotTheApiKey, Fixture)
{
    const auto caller = this->call("POST", "/book/x");
    const std::string received = this->answer(*caller, "served");
    BOOST_TEST(contains(received, "HTTP/1.1 200"));
    BOOST_TEST(contains(received, "Server-Seal: seal"));
    const HttpRequest& forwarded = this->requestAt(serviceReplicas);
    BOOST_TEST(findHeader(forwarded.headers, "Tenant") == "gold");
    BOOST_TEST(findHeader(forwarded.headers, "Key").empty());
    BOOST_TEST(forwarded.body == "body");
}

BOOST_FIXTURE_TEST_CASE(unknownKeysAndPathsAreRefused, Fixture)
{
    BOOST_TEST(contains(this->answer(*this->call("POST", "/book/x", "", "stolen"), "\r\n\r\n"), "HTTP/1.1 401"));
    BOOST_TEST(contains(this->answer(*this->call("GET", "/nowhere/"), "\r\n\r\n"), "HTTP/1.1 404"));
    BOOST_TEST(this->requestsAt(serviceReplicas) == 0U);
}

BOOST_FIXTURE_TEST_CASE(malformedRequestIsRefusedAndClosesTheConnection, Fixture)
{
    RawCaller caller(this->context, this->callers, "NONSENSE\r\n\r\n");
    BOOST_TEST(this->await([&] { return caller.closed(); }));
    BOOST_TEST(contains(caller.received(), "HTTP/1.1 400"));
}

BOOST_FIXTURE_TEST_CASE(bookingWithLostAnswerIsNotRetried, Fixture)
{
    for (const std::string& id : serviceReplicas)
        this->replicas.at(id)->setAnswer([](const HttpRequest&) { return ReplicaScript { {}, 5ms, ReplicaScript::End::Reset }; });
    BOOST_TEST(contains(this->answer(*this->call("POST", "/book/x"), "\r\n\r\n"), "HTTP/1.1 502"));
    BOOST_TEST(this->requestsAt(serviceReplicas) == 1U);
}

BOOST_FIXTURE_TEST_CASE(bookingThatDidNotRunIsRetriedAtAnotherReplica, Fixture)
{
    bool refusedOnce = false;
    for (const std::string& id : serviceReplicas) {
        this->replicas.at(id)->setAnswer([&refusedOnce](const HttpRequest& request) {
            ReplicaScript script;
            script.pieces = { refusedOnce ? wholeAnswer(request, 200, "served") : "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n" };
            refusedOnce = true;
            return script;
        });
    }
    BOOST_TEST(contains(this->answer(*this->call("POST", "/book/x"), "served"), "HTTP/1.1 200"));
    BOOST_TEST(this->requestsAt(serviceReplicas) == 2U);
}

BOOST_FIXTURE_TEST_CASE(lookUpWithLostAnswerIsRetried, Fixture)
{
    bool resetOnce = false;
    for (const std::string& id : serviceReplicas) {
        this->replicas.at(id)->setAnswer([&resetOnce](const HttpRequest& request) {
            ReplicaScript script;
            if (!resetOnce)
                script.end = ReplicaScript::End::Reset;
            else
                script.pieces = { wholeAnswer(request, 200, "served") };
            resetOnce = true;
            return script;
        });
    }
    BOOST_TEST(contains(this->answer(*this->call("GET", "/stock/x"), "served"), "HTTP/1.1 200"));
}

BOOST_FIXTURE_TEST_CASE(answerToAnotherRequestIsDropped, Fixture)
{
    for (const std::string& id : serviceReplicas) {
        this->replicas.at(id)->setAnswer([](const HttpRequest& request) {
            ReplicaScript script;
            HttpRequest other;
            other.headers = { { "Attempt-Id", "another" } };
            script.pieces = { wholeAnswer(other, 200, "not yours"), wholeAnswer(request, 200, "served") };
            return script;
        });
    }
    const std::string received = this->answer(*this->call("POST", "/book/x"), "served");
    BOOST_TEST(contains(received, "served"));
    BOOST_TEST(!contains(received, "not yours"));
}

BOOST_FIXTURE_TEST_CASE(answerWithoutSealIsNotForwarded, Fixture)
{
    for (const std::string& id : serviceReplicas)
        this->replicas.at(id)->setAnswer([](const HttpRequest&) { return ReplicaScript { { "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged" }, 5ms, ReplicaScript::End::Keep }; });
    const std::string received = this->answer(*this->call("POST", "/book/x"), "\r\n\r\n");
    BOOST_TEST(contains(received, "HTTP/1.1 502"));
    BOOST_TEST(!contains(received, "forged"));
}

BOOST_FIXTURE_TEST_CASE(streamIsSentThroughAllLayersInOrder, Fixture)
{
    const std::string received = this->answer(*this->call("POST", "/chat/x"), "0\r\n\r\n");
    BOOST_TEST(eventIds(received) == "1 2 3 4 5 6 ");
    const std::string chain(findHeader(this->requestAt(firstEngines).headers, "Hop-Count"));
    BOOST_TEST(contains(chain, "=0-4,"));
    BOOST_TEST(contains(chain, "=4-8"));
}

BOOST_FIXTURE_TEST_CASE(interruptedStreamResumesAfterTheLastEvent, Fixture)
{
    int runs = 0;
    for (const std::string& id : firstEngines) {
        const auto whole = [](const HttpRequest& request) {
            ReplicaScript script;
            script.pieces = { streamHead(request) };
            for (int event = std::stoi(std::string(findHeader(request.headers, "Last-Event-Id"))) + 1; event <= 6; ++event)
                script.pieces.push_back(eventChunk(event));
            script.pieces.push_back(lastChunk());
            return script;
        };
        this->replicas.at(id)->setAnswer([&runs, whole](const HttpRequest& request) { return ++runs == 1 ? interruptedStream(request, ReplicaScript::End::Reset) : whole(request); });
    }
    const std::string received = this->answer(*this->call("POST", "/chat/x"), "0\r\n\r\n");
    BOOST_TEST(eventIds(received) == "1 2 3 4 5 6 ");
    BOOST_TEST(this->requestsAt(firstEngines) == 2U);
}

// The route allows two first engines. After the second one has taken the stream over, a later engine of its chain stalls.
BOOST_FIXTURE_TEST_CASE(streamThatLosesALaterEngineOfItsSecondChainResumesAtTheSameFirstEngine, Fixture)
{
    // Ten requests add two retries to the retry budget.
    for (int call = 0; call < 10; ++call)
        this->answer(*this->call("POST", "/chat/x"), "0\r\n\r\n");
    int runs = 0;
    std::string stalled;
    for (const std::string& id : firstEngines) {
        this->replicas.at(id)->setAnswer([&runs, &stalled](const HttpRequest& request) {
            if (request.target.starts_with("/filbertspoke/"))
                return stalledReport(stalled);
            ReplicaScript script;
            if (++runs == 1)
                return interruptedStream(request, ReplicaScript::End::Close);
            if (runs == 2) {
                const std::string chain(findHeader(request.headers, "Hop-Count"));
                stalled = chain.substr(chain.find(',') + 1, chain.rfind('=') - chain.find(',') - 1);
                script.pieces = { streamHead(request), eventChunk(3) };
                script.end = ReplicaScript::End::Silence;
                return script;
            }
            script.pieces = { streamHead(request), eventChunk(4), lastChunk() };
            return script;
        });
    }
    const std::string received = this->answer(*this->call("POST", "/chat/x"), "0\r\n\r\n");
    BOOST_TEST(eventIds(received) == "1 2 3 4 ");
    BOOST_TEST(contains(received, "0\r\n\r\n"));
}

BOOST_FIXTURE_TEST_CASE(streamThatCannotResumeIsNotTerminatedAsComplete, Fixture)
{
    for (const std::string& id : firstEngines) {
        this->replicas.at(id)->setAnswer([](const HttpRequest& request) {
            if (request.target.starts_with("/filbertspoke/"))
                return ReplicaScript { {}, 5ms, ReplicaScript::End::Reset };
            ReplicaScript script = interruptedStream(request, ReplicaScript::End::Reset);
            if (!findHeader(request.headers, "Last-Event-Id").empty())
                script.pieces = { streamHead(request), eventChunk(3) };
            return script;
        });
    }
    const auto caller = this->call("POST", "/chat/x");
    BOOST_TEST(this->await([&] { return caller->closed(); }));
    BOOST_TEST(!contains(caller->received(), "0\r\n\r\n"));
    BOOST_TEST(!contains(caller->received(), "id: 3\nda\r\n"));
}

BOOST_FIXTURE_TEST_CASE(stalledStreamResumesAtAnotherEngine, Fixture)
{
    int runs = 0;
    for (const std::string& id : firstEngines) {
        this->replicas.at(id)->setAnswer([&runs](const HttpRequest& request) {
            if (request.target.starts_with("/filbertspoke/"))
                return ReplicaScript { {}, 5ms, ReplicaScript::End::Silence };
            if (++runs == 1)
                return interruptedStream(request, ReplicaScript::End::Silence);
            ReplicaScript script;
            script.pieces = { streamHead(request), eventChunk(3), eventChunk(4), lastChunk() };
            return script;
        });
    }
    const std::string received = this->answer(*this->call("POST", "/chat/x"), "0\r\n\r\n");
    BOOST_TEST(eventIds(received) == "1 2 3 4 ");
}

BOOST_FIXTURE_TEST_CASE(callerDisconnectCancelsTheStream, Fixture)
{
    for (const std::string& id : firstEngines)
        this->replicas.at(id)->setAnswer([](const HttpRequest& request) { return ReplicaScript { { streamHead(request), eventChunk(1) }, 5ms, ReplicaScript::End::Silence }; });
    const auto caller = this->call("POST", "/chat/x");
    BOOST_TEST(this->await([&] { return contains(caller->received(), "id: 1"); }));
    caller->leave();
    BOOST_TEST(this->await([&] { return this->replicas.at("engine-a1")->abandoned() + this->replicas.at("engine-b1")->abandoned() == 1; }));
}

// A gateway that is short of processor time can read a request seconds after its caller disconnected. It must not forward it then.
BOOST_FIXTURE_TEST_CASE(requestOfADisconnectedCallerIsNotForwarded, Fixture)
{
    // These calls open a connection to each replica, so that the gateway forwards the later requests without waiting for a connection.
    constexpr std::size_t before = 6;
    for (std::size_t call = 0; call < before; ++call)
        this->answer(*this->call("POST", "/book/x"), "served");
    this->gateway->signal(SIGSTOP);
    const auto disconnecting = this->call("POST", "/book/x");
    this->context.poll();
    disconnecting->leave();
    this->context.poll();
    this->gateway->signal(SIGCONT);
    this->answer(*this->call("POST", "/book/x"), "served");
    BOOST_TEST(this->requestsAt(serviceReplicas) == before + 1);
}

BOOST_FIXTURE_TEST_CASE(drainingReplicaReceivesNoNewRequests, Fixture)
{
    this->putEndpoint("app-1", "draining");
    const auto drainingReplicaIsAvoided = [&] {
        const std::size_t before = this->replicas.at("app-1")->requests().size();
        for (int call = 0; call < 6; ++call)
            this->answer(*this->call("POST", "/book/x"), "served");
        return this->replicas.at("app-1")->requests().size() == before;
    };
    BOOST_TEST(this->await(drainingReplicaIsAvoided));
}

BOOST_FIXTURE_TEST_CASE(newConfigurationTakesEffect, Fixture)
{
    this->putConfiguration(2, "nowhere");
    BOOST_TEST(this->await([&] { return contains(this->answer(*this->call("POST", "/book/x"), "\r\n\r\n"), "HTTP/1.1 503"); }));
}

BOOST_FIXTURE_TEST_CASE(gatewayWithoutStoreGetsItsStateFromAPeer, Fixture)
{
    this->startSecondWithoutStore();
    this->callers = this->secondCallers;
    BOOST_TEST(contains(this->answer(*this->call("POST", "/book/x"), "served"), "HTTP/1.1 200"));
}

BOOST_FIXTURE_TEST_CASE(requestsAreServedDuringAStoreOutage, Fixture)
{
    this->store.setAway(true);
    for (int call = 0; call < 5; ++call)
        BOOST_TEST(contains(this->answer(*this->call("POST", "/book/x"), "served"), "HTTP/1.1 200"));
}

BOOST_FIXTURE_TEST_CASE(hangupDoesNotStopTheGateway, Fixture)
{
    this->gateway->signal(SIGHUP);
    BOOST_TEST(contains(this->answer(*this->call("POST", "/book/x"), "served"), "HTTP/1.1 200"));
}

BOOST_FIXTURE_TEST_CASE(gracefulShutdownLetsStreamsFinish, Fixture)
{
    for (const std::string& id : firstEngines) {
        this->replicas.at(id)->setAnswer([](const HttpRequest& request) {
            ReplicaScript script;
            script.pieces = { streamHead(request), eventChunk(1), eventChunk(2), eventChunk(3), lastChunk() };
            script.pause = 250ms;
            return script;
        });
    }
    const auto caller = this->call("POST", "/chat/x");
    BOOST_TEST(this->await([&] { return contains(caller->received(), "id: 1"); }));
    this->gateway->signal(SIGTERM);
    BOOST_TEST(eventIds(this->answer(*caller, "0\r\n\r\n")) == "1 2 3 ");
    BOOST_TEST(this->gateway->wait() == 0);
}

// Streams, calls and generations that wait for capacity are still in progress when the gateway has to end.
BOOST_AUTO_TEST_CASE(gatewayEndsInTimeWithRequestsInProgress)
{
    GatewayScene scene;
    scene.stopTimeout = 1500ms;
    scene.start();
    for (auto& [id, replica] : scene.replicas) {
        replica->setAnswer([](const HttpRequest& request) {
            if (request.target.starts_with("/filbertspoke/"))
                return emptyReport();
            const bool stream = !findHeader(request.headers, "Hop-Count").empty();
            return ReplicaScript { stream ? std::vector<std::string> { streamHead(request), eventChunk(1) } : std::vector<std::string> {}, 5ms, ReplicaScript::End::Silence };
        });
    }
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int call = 0; call < 20; ++call) {
        callers.push_back(scene.call("POST", "/chat/x"));
        callers.push_back(scene.call("GET", "/stock/x"));
    }
    BOOST_REQUIRE(scene.await([&] { return contains(callers.front()->received(), "id: 1"); }));
    const auto signalled = std::chrono::steady_clock::now();
    scene.gateway->signal(SIGTERM);
    BOOST_TEST(scene.gateway->wait() == 0);
    BOOST_TEST((std::chrono::steady_clock::now() - signalled < 3s));
}
