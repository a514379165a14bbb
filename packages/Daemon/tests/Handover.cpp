// Runs two gateways, the first of which loses its paths to all endpoints, while its callers, its store and the second one still reach it.
#include <filbertspoke/PlatformTesting>

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

using Clock = std::chrono::steady_clock;

const std::map<std::string, LayerRange> layersOf { { "app-1", {} }, { "app-2", {} }, { "engine-a1", { 0, 4 } }, { "engine-a2", { 4, 8 } }, { "engine-b1", { 0, 4 } }, { "engine-b2", { 4, 8 } } };
// Requirement: from three seconds after the cut on, callers are served as elsewhere. Here from one and a half seconds on.
constexpr auto adjustmentTime = 1500ms;
constexpr int requestsOfEachKind = 12;
constexpr std::uint64_t cutHeartbeat = 1'000'000; ///< above those of the entries before

/** \brief An address at which new connections neither succeed nor fail, because the queue of the listener is full. */
class SilentAddress {
public:
    explicit SilentAddress(boost::asio::io_context& context)
        : acceptor(context)
    {
        this->acceptor.open(tcp::v4());
        this->acceptor.bind({ boost::asio::ip::make_address(ownLoopbackAddress(3)), 0 });
        this->acceptor.listen(0);
        constexpr int queued = 4;
        for (int socket = 0; socket < queued; ++socket) {
            this->waiting.emplace_back(context);
            this->waiting.back().async_connect(this->acceptor.local_endpoint(), [](const boost::system::error_code&) {});
        }
    }

    HttpAddress address() const { return { this->acceptor.local_endpoint().address().to_string(), this->acceptor.local_endpoint().port() }; }

private:
    tcp::acceptor acceptor;
    std::deque<tcp::socket> waiting;
};

struct Fixture : GatewayScene {
    Fixture()
    {
        this->start();
        this->startSecond("zone-b", this->secondStore.address());
        // Each gateway needs the other's address, which comes with their first messages.
        BOOST_TEST(this->served("POST", "/chat/x", "0\r\n\r\n"));
        this->settle(1s);
    }

    /** \brief Gives the first gateway other addresses for the endpoints, of which the second one has the true ones. */
    void moveEndpoints(const std::function<HttpAddress(const std::string& id)>& addressOf)
    {
        ++this->moves;
        for (const auto& [id, layers] : layersOf) {
            EndpointText entry { id, addressOf(id), "zone-a", "ready", layers, cutHeartbeat + this->moves };
            this->store.putEndpoint(id, endpointText(entry));
        }
    }

    void settle(std::chrono::milliseconds time)
    {
        const auto until = Clock::now() + time;
        this->await([until] { return Clock::now() >= until; });
    }

    bool served(const std::string& method, const std::string& target, const std::string& ending)
    {
        const auto caller = this->call(method, target);
        this->await([&] { return caller->closed() || caller->received().find(ending) != std::string::npos || caller->received().starts_with("HTTP/1.1 5"); });
        return caller->received().find(ending) != std::string::npos;
    }

    /** \brief Callers go on during the adjustment time; from then on all of them are served. */
    void checkService()
    {
        const auto until = Clock::now() + adjustmentTime;
        while (Clock::now() < until) {
            this->served("POST", "/chat/x", "0\r\n\r\n");
            this->served("GET", "/stock/x", "served");
        }
        for (int request = 0; request < requestsOfEachKind; ++request) {
            BOOST_TEST(this->served("POST", "/chat/x", "0\r\n\r\n"));
            BOOST_TEST(this->served("GET", "/stock/x", "served"));
            BOOST_TEST(this->served("POST", "/book/x", "served"));
        }
    }

    std::uint64_t moves = 0;
};

}

// Guards against a gateway that refuses what another gateway could serve.
BOOST_FIXTURE_TEST_CASE(requestsAreServedWhileEndpointsRefuseNewConnections, Fixture)
{
    const std::string address = ownLoopbackAddress(3);
    this->moveEndpoints([&address](const std::string&) { return HttpAddress { address, freePort(address) }; });
    this->checkService();
}

BOOST_FIXTURE_TEST_CASE(requestsAreServedWhileNewConnectionsHang, Fixture)
{
    std::map<std::string, std::unique_ptr<SilentAddress>> silent;
    this->moveEndpoints([&](const std::string& id) { return silent.emplace(id, std::make_unique<SilentAddress>(this->context)).first->second->address(); });
    this->checkService();
}

BOOST_FIXTURE_TEST_CASE(gatewayServesByItselfAgainOnceItReachesTheEndpoints, Fixture)
{
    const std::string address = ownLoopbackAddress(3);
    this->moveEndpoints([&address](const std::string&) { return HttpAddress { address, freePort(address) }; });
    this->checkService();
    this->moveEndpoints([this](const std::string& id) { return this->replicas.at(id)->address(); });
    this->settle(3s);
    this->second->kill();
    for (int request = 0; request < requestsOfEachKind; ++request) {
        BOOST_TEST(this->served("POST", "/chat/x", "0\r\n\r\n"));
        BOOST_TEST(this->served("POST", "/book/x", "served"));
    }
}

// The other gateway refuses what it can't serve either; the caller hears that the request has not run.
BOOST_FIXTURE_TEST_CASE(requestIsHandedOverOnceOnly, Fixture)
{
    const std::string address = ownLoopbackAddress(3);
    for (StoreStandIn* each : { &this->store, &this->secondStore }) {
        for (const auto& [id, layers] : layersOf)
            each->putEndpoint(id, endpointText({ id, { address, freePort(address) }, "zone-a", "ready", layers, cutHeartbeat }));
    }
    this->settle(1s);
    for (int request = 0; request < requestsOfEachKind; ++request) {
        const auto caller = this->call("POST", "/book/x");
        this->await([&] { return caller->closed() || caller->received().find("\r\n\r\n") != std::string::npos; });
        BOOST_TEST(caller->received().starts_with("HTTP/1.1 503"));
    }
}

// Guards against a stream that was handed over and is passed on as whole although it ended inside an event.
BOOST_FIXTURE_TEST_CASE(streamThatEndsInsideAnEventAfterItsHandoverIsNotPassedOnAsWhole, Fixture)
{
    const std::string address = ownLoopbackAddress(3);
    this->moveEndpoints([&address](const std::string&) { return HttpAddress { address, freePort(address) }; });
    this->checkService();
    for (const char* id : { "engine-a1", "engine-b1" }) {
        this->replicas.at(id)->setAnswer([](const HttpRequest& request) {
            if (request.target.starts_with("/filbertspoke/"))
                return emptyReport();
            const int next = readForwarded(request).lastEvent + 1;
            return ReplicaScript { { unframedHead(request), unframedEvent(next), "id: " + std::to_string(next + 1) + "\ndata: to" }, 5ms, ReplicaScript::End::Close };
        });
    }
    const auto caller = this->call("POST", "/chat/x");
    const std::string received = this->answer(*caller, lastChunk());
    BOOST_TEST(caller->closed());
    BOOST_TEST(received.find(unframedEvent(1)) != std::string::npos);
    BOOST_TEST(received.find(lastChunk()) == std::string::npos);
    BOOST_TEST(!received.ends_with("to"));
}
