// Runs a gateway that is cut off from all endpoints, and hands its requests over to a gateway that answers with bytes that are no whole HTTP response.
#include <filbertspoke/PlatformTesting>

#include <filbertspoke/Peer>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

const std::vector<std::string> endpointIds { "app-1", "app-2", "engine-a1", "engine-a2", "engine-b1", "engine-b2" };
constexpr std::uint64_t cutHeartbeat = 1'000'000; ///< above those of the entries before
// Callers of the scene wait for four seconds. What can't be served is rejected at once, not at the end of that time.
constexpr auto rejectionTime = 2s;
const std::string malformedBody = "broken-body";
const std::string lengthField = "Content-Length: " + std::to_string(malformedBody.size()) + "\r\n";

/** \returns the answer, whose head identifies the request behind its status line */
std::string malformedAnswer(const std::string& head, const std::string& body, const HttpRequest& request)
{
    std::string answer = head + "\r\n" + body;
    return answer.insert(answer.find("\r\n") + 2, requestIdHeader() + ": " + readForwarded(request).id + "\r\nServer-Seal: seal\r\n");
}

SocketAddress socketAddress(const HttpAddress& address)
{
    return { address.address, address.port };
}

/** \brief A gateway of another failure domain, which takes requests and answers them all in the same way. */
class MalformedGateway {
public:
    MalformedGateway(boost::asio::io_context& context, const ReplicaStandIn::Answer& answer, bool atHead)
        : server(context, { ownLoopbackAddress(2), 0 }, [this](const HttpRequest&) -> boost::asio::awaitable<std::optional<HttpResponse>> { co_return HttpResponse { statusOk, {}, this->message() }; })
        , handover(context, ownLoopbackAddress(2), answer)
    {
        this->handover.setAnswersAtHead(atHead);
    }

    /** \returns the message by which another gateway hears of this one */
    std::string message() const
    {
        GossipMessage message;
        message.daemon = DaemonId("gateway-2");
        message.failureDomain = FailureDomainId("zone-b");
        message.address = socketAddress(this->server.address());
        message.handover = socketAddress(this->handover.address());
        return encodeGossipMessage(message);
    }

    std::size_t requests() const { return this->handover.requests().size(); }

private:
    HttpServer server;
    ReplicaStandIn handover;
};

class Scene : public GatewayScene {
public:
    Scene(const std::string& head, const std::string& body)
        : Scene([head, body](const HttpRequest& request) { return ReplicaScript { { malformedAnswer(head, body, request) }, 5ms, ReplicaScript::End::Close }; })
    {
    }

    explicit Scene(const ReplicaStandIn::Answer& answer, bool atHead = false)
        : peer(this->context, answer, atHead)
    {
        const std::string address = ownLoopbackAddress(3);
        for (const std::string& id : endpointIds) {
            const LayerRange layers = id.starts_with("app") ? LayerRange() : id.ends_with("1") ? LayerRange(0, 4)
                                                                                               : LayerRange(4, 8);
            this->store.putEndpoint(id, endpointText({ id, { address, freePort(address) }, "zone-a", "ready", layers, cutHeartbeat }));
        }
        this->start();
        const HttpRequest introduction { "POST", "/peers/word", {}, this->peer.message() };
        BOOST_TEST_REQUIRE(std::holds_alternative<HttpResponse>(exchange(this->context, this->started.at("gateway-1").peers, introduction)));
    }

    /** \brief Sends requests as GatewayScene::call() does until one of them is handed over. */
    std::string handedOver(const std::string& method, const std::string& path)
    {
        return this->handedOver([&] { return this->call(method, path, "Connection: close\r\n"); });
    }

    /** \brief Sends requests until one of them is handed over.
     * \returns what the caller of that one received */
    std::string handedOver(const std::function<std::unique_ptr<RawCaller>()>& send)
    {
        const std::size_t before = this->peer.requests();
        std::string received;
        this->await([&] {
            const auto sentAt = Clock::now();
            const auto caller = send();
            this->await([&] { return caller->closed(); });
            BOOST_TEST((Clock::now() - sentAt < rejectionTime));
            received = caller->received();
            return this->peer.requests() > before;
        });
        BOOST_TEST(this->peer.requests() > before);
        return received;
    }

private:
    MalformedGateway peer;
};

}

// Guards against answers of other gateways that reached callers although they were malformed.
BOOST_AUTO_TEST_CASE(malformedAnswerOfAnotherGatewayDoesNotReachTheCaller)
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string chunks = "b\r\n" + malformedBody + "\r\n0\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> malformed {
        { "HTTP/1.1 200 OK\r\nX-Mark: 7\r\n " + lengthField, malformedBody },
        { "HTTP/1.1 200 OK\r\nX-Mark: 7\r\n\t" + chunked, chunks },
        { "HTTP/1.1 200 OK\r\n" + lengthField + "X Mark: 7\r\n", malformedBody },
        { "HTTP/1.1 000 Status\r\n" + lengthField, malformedBody },
        { "HTTP/1.1 600 Status\r\n" + lengthField, malformedBody },
        { "HTTP/1.1 103 Early Hints\r\n", "" },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n", chunks },
    };
    for (const auto& [head, body] : malformed) {
        BOOST_TEST_CONTEXT(head << body)
        {
            Scene scene(head, body);
            for (const std::string path : { "/stock/x", "/book/x", "/chat/x" }) {
                const std::string received = scene.handedOver(path.starts_with("/stock") ? "GET" : "POST", path);
                BOOST_TEST(received.find(malformedBody) == std::string::npos);
                BOOST_TEST(received.starts_with("HTTP/1.1 502"), received);
            }
        }
    }
}

// Guards against a part of an answer of another gateway that callers got as a whole one.
BOOST_AUTO_TEST_CASE(unframedAnswerOfAnotherGatewayThatResetsTheUploadDoesNotReachTheCaller)
{
    constexpr std::size_t uploadBytes = 4'000'000; // exceeds what the sockets of both sides keep
    Scene scene([](const HttpRequest& request) { return ReplicaScript { { unframedHead(request) + unframedEvent(1) }, 0ms, ReplicaScript::End::Reset }; }, true);
    for (const std::string path : { "/stock/x", "/book/x" }) {
        const std::string received = scene.handedOver([&] { return scene.upload(path, std::string(uploadBytes, 'x')); });
        BOOST_TEST(received.starts_with("HTTP/1.1 502"), received);
    }
    const std::string generated = scene.handedOver([&] { return scene.upload("/chat/x", std::string(uploadBytes, 'x')); });
    BOOST_TEST(!generated.ends_with(lastChunk()), generated);
}
