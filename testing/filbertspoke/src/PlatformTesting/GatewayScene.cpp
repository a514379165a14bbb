#include <filbertspoke/PlatformTesting>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

#include <unistd.h>

namespace filbertspoke {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

const std::string host = ownLoopbackAddress(1);

const std::map<std::string, LayerRange> engineLayers { { "engine-a1", { 0, 4 } }, { "engine-a2", { 4, 8 } }, { "engine-b1", { 0, 4 } }, { "engine-b2", { 4, 8 } } };

ReplicaScript serveWell(const HttpRequest& request)
{
    if (request.target.starts_with("/filbertspoke/"))
        return emptyReport();
    ReplicaScript script;
    if (findHeader(request.headers, "Hop-Count").empty()) {
        script.pieces = { wholeAnswer(request, 200, "served") };
        return script;
    }
    const std::string_view resumed = findHeader(request.headers, "Last-Event-Id");
    script.pieces.push_back(streamHead(request));
    for (int id = resumed.empty() ? 1 : std::stoi(std::string(resumed)) + 1; id <= 6; ++id)
        script.pieces.push_back(eventChunk(id));
    script.pieces.push_back(lastChunk());
    return script;
}

/** \brief Ends the process.
 * \returns all lines that it has written */
std::string logOf(Process& process)
{
    process.kill();
    std::string log;
    while (const auto line = process.readLine())
        log += *line + '\n';
    return log;
}

}

class RawCaller::State : public std::enable_shared_from_this<State> {
public:
    State(asio::io_context& context, const HttpAddress& address)
        : socket(context)
    {
        this->socket.connect({ asio::ip::make_address(address.address), address.port });
    }

    asio::awaitable<void> run(std::string text)
    {
        const auto self = this->shared_from_this();
        const auto [writeError, written] = co_await asio::async_write(this->socket, asio::buffer(text), asTuple);
        while (!this->closed) {
            const auto [error, bytes] = co_await this->socket.async_read_some(asio::buffer(this->chunk), asTuple);
            this->received.append(this->chunk.data(), bytes);
            this->closed = static_cast<bool>(error);
        }
    }

    tcp::socket socket;
    std::string received;
    std::array<char, 4096> chunk {};
    bool closed = false;
};

RawCaller::RawCaller(asio::io_context& context, const HttpAddress& address, const std::string& text)
    : state(std::make_shared<State>(context, address))
{
    asio::co_spawn(context, this->state->run(text), asio::detached);
}

RawCaller::~RawCaller()
{
    this->leave();
}

const std::string& RawCaller::received() const
{
    return this->state->received;
}

bool RawCaller::closed() const
{
    return this->state->closed;
}

void RawCaller::send(const std::string& text)
{
    boost::system::error_code ignored;
    asio::write(this->state->socket, asio::buffer(text), ignored);
}

void RawCaller::leave()
{
    boost::system::error_code ignored;
    this->state->socket.close(ignored);
}

GatewayScene::GatewayScene()
    : store(this->context, { host, 0 })
    , secondStore(this->context, { host, 0 })
    , folder("/tmp/filbertspoke-gateway-" + std::to_string(getpid()))
{
    std::filesystem::create_directories(this->folder);
    for (const char* id : { "app-1", "app-2", "engine-a1", "engine-a2", "engine-b1", "engine-b2" }) {
        this->replicas.emplace(id, std::make_unique<ReplicaStandIn>(this->context, host, serveWell));
        this->putEndpoint(id);
    }
    this->putConfiguration(1);
    this->callers = this->free(host);
    this->readiness = this->free(host);
    this->peers = this->free(host);
    this->secondPeers = this->free(host);
    if (this->secondPeers.port < this->peers.port)
        std::swap(this->peers, this->secondPeers);
}

GatewayScene::~GatewayScene()
{
    this->gateway.reset();
    this->second.reset();
    std::filesystem::remove_all(this->folder);
}

HttpAddress GatewayScene::free(const std::string& address) const
{
    return { address, freePort(address) };
}

void GatewayScene::putConfiguration(int version, const std::string& bookingService)
{
    std::vector<RouteText> routes = usualRoutes();
    for (RouteText& route : routes) {
        if (route.name == "book")
            route.service = bookingService;
    }
    const std::string text = configurationText(version, routes);
    this->store.putConfiguration(text);
    this->secondStore.putConfiguration(text);
}

void GatewayScene::put(EndpointText endpoint)
{
    endpoint.startedAtMs += this->restarts[endpoint.id];
    const std::string text = endpointText(endpoint);
    this->store.putEndpoint(endpoint.id, text);
    this->secondStore.putEndpoint(endpoint.id, text);
}

void GatewayScene::putEndpoint(const std::string& id, const std::string& state)
{
    const auto layers = engineLayers.find(id);
    this->put({ id, this->replicas.at(id)->address(), "zone-a", state, layers == engineLayers.end() ? LayerRange() : layers->second, ++this->heartbeat });
}

void GatewayScene::restartEndpoint(const std::string& id)
{
    ++this->restarts[id];
    this->putEndpoint(id);
}

void GatewayScene::putEngine(const std::string& id, const LayerRange& layers)
{
    EndpointText endpoint { id, this->replicas.at(id)->address(), "zone-a", "ready", layers, ++this->heartbeat };
    endpoint.engine = true;
    this->put(endpoint);
}

Process GatewayScene::launch(GatewayText gateway)
{
    gateway.retryRatio = this->retryRatio;
    gateway.stopTimeout = this->stopTimeout;
    gateway.handover = this->free(host);
    gateway.requestMemoryMb = this->requestMemoryMb;
    this->started.insert_or_assign(gateway.name, gateway);
    const std::string file = this->folder + "/" + gateway.name + ".yaml";
    std::ofstream(file) << settingsText(gateway);
    return Process("filbertspoked", { "gateway", "--settings", file });
}

bool GatewayScene::ready(const HttpAddress& address)
{
    HttpConnection connection(this->context, address, {});
    std::optional<HttpOutcome> outcome;
    HttpRequest request;
    request.target = "/filbertspoke/ready";
    connection.exchange(std::move(request), std::chrono::seconds(1), [&](HttpOutcome result) { outcome = std::move(result); });
    runUntil(this->context, [&] { return outcome.has_value(); });
    const auto* response = outcome ? std::get_if<HttpResponse>(&*outcome) : nullptr;
    return response && response->status == 200;
}

void GatewayScene::start()
{
    this->gateway = this->launch({ "gateway-1", "zone-a", this->callers, this->readiness, this->peers, this->store.address(), { this->peers } });
    if (!this->await([&] { return this->ready(this->readiness); }))
        throw std::runtime_error("the gateway is not ready; its log:\n" + logOf(*this->gateway));
}

void GatewayScene::startSecond(const std::string& failureDomain, const HttpAddress& storeAddress)
{
    this->secondCallers = this->free(host);
    const HttpAddress secondReadiness = this->free(host);
    this->second = this->launch({ "gateway-2", failureDomain, this->secondCallers, secondReadiness, this->secondPeers, storeAddress, { this->peers } });
    if (!this->await([&] { return this->ready(secondReadiness); }))
        throw std::runtime_error("the second gateway is not ready; its log:\n" + logOf(*this->second));
}

void GatewayScene::startSecondWithoutStore()
{
    this->startSecond("zone-a", this->free(host));
}

std::unique_ptr<RawCaller> GatewayScene::call(const std::string& method, const std::string& path, const std::string& extraHeaders, const std::string& key)
{
    const std::string text = callText({ method, path, "request-" + std::to_string(++this->calls), std::chrono::seconds(4), key, extraHeaders });
    return std::make_unique<RawCaller>(this->context, this->callers, text);
}

std::unique_ptr<RawCaller> GatewayScene::upload(const std::string& path, const std::string& body)
{
    const std::string text = callText({ "POST", path, "request-" + std::to_string(++this->calls), std::chrono::seconds(4), "key-1", "Connection: close\r\n", body });
    return std::make_unique<RawCaller>(this->context, this->callers, text);
}

std::string GatewayScene::answer(RawCaller& caller, const std::string& ending)
{
    this->await([&] { return caller.closed() || caller.received().find(ending) != std::string::npos; });
    return caller.received();
}

}
