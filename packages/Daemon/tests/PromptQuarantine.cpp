// Runs a gateway with engines that crash whenever they begin to write an answer on one part of a prompt.
#include <filbertspoke/PlatformTesting>

#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <set>
#include <string>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> firstEngines { "engine-a1", "engine-b1" };
const std::string crashingPart = "dead";
// Requirement of the users: no more than three further requests with the part reach engines after the fifth crash.
constexpr std::size_t crashLimit = 5;
constexpr std::size_t requestsAfterLimit = 3;
constexpr int soundRequestsPerCrash = 6;
constexpr Duration prefillTime = 150ms;

bool isCrashing(const HttpRequest& request)
{
    return findHeader(request.headers, "Prompt-Prefix").find(crashingPart) != std::string_view::npos;
}

struct Fixture : GatewayScene {
    Fixture()
    {
        this->start();
        for (const std::string& id : firstEngines)
            this->replicas.at(id)->setAnswer([this, id](const HttpRequest& request) { return this->answerAt(id, request); });
    }

    ReplicaScript answerAt(const std::string& id, const HttpRequest& request)
    {
        if (this->crashed.contains(id))
            return { {}, 5ms, ReplicaScript::End::Reset };
        if (request.target.starts_with("/filbertspoke/"))
            return emptyReport();
        if (!isCrashing(request))
            return { { streamHead(request), eventChunk(1), lastChunk() }, 5ms, ReplicaScript::End::Keep };
        ++this->crashingRequests;
        this->crashed.insert(id);
        return { { streamHead(request) }, prefillTime, ReplicaScript::End::Reset };
    }

    std::string callCrashing()
    {
        const auto caller = this->call("POST", "/chat/x", "Prompt-Prefix: common:5," + crashingPart + ":5,own:5\r\n");
        this->await([&] { return caller->closed() || caller->received().starts_with("HTTP/1.1 5"); });
        return caller->received();
    }

    bool serveSound()
    {
        return this->answer(*this->call("POST", "/chat/x", "Prompt-Prefix: common:5,sound:5,own:5\r\n"), "0\r\n\r\n").find("id: 1") != std::string::npos;
    }

    /** \brief Sends a crashing request, restarts the engines that it crashed and sends sound requests. */
    std::string crashAndRecover()
    {
        const std::string answer = this->callCrashing();
        for (const std::string& id : this->crashed)
            this->restartEndpoint(id);
        this->crashed.clear();
        this->await([&] { return this->serveSound(); });
        for (int request = 0; request < soundRequestsPerCrash; ++request)
            this->serveSound();
        return answer;
    }

    std::set<std::string> crashed; ///< engines that are down
    std::size_t crashingRequests = 0; ///< that reached engines which were up
};

}

// Guards against one kind of request crashing engines one after the other.
BOOST_FIXTURE_TEST_CASE(requestsThatCrashEnginesAreRefused, Fixture)
{
    std::string answer;
    for (int request = 0; request < 8; ++request)
        answer = this->crashAndRecover();
    BOOST_TEST(this->crashingRequests <= crashLimit + requestsAfterLimit);
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(this->serveSound());
}
