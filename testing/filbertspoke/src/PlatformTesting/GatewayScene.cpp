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

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
const std::string host = ownLoopbackAddress(1);

struct EngineRange {
    int first;
    int last;
};

const std::map<std::string, EngineRange> engineRanges { { "engine-a1", { 0, 4 } }, { "engine-a2", { 4, 8 } }, { "engine-b1", { 0, 4 } }, { "engine-b2", { 4, 8 } } };

ReplicaScript emptyReport()
{
    ReplicaScript script;
    const std::string body = R"({"CallSeq":0,"Busy":false,"Stalled":[]})";
    script.pieces = { "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body };
    return script;
}

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

const std::string& RawCaller::received() const
{
    return this->state->received;
}

bool RawCaller::closed() const
{
    return this->state->closed;
}

void RawCaller::leave()
{
    boost::system::error_code ignored;
    this->state->socket.close(ignored);
}

GatewayScene::GatewayScene()
    : store(this->context, { host, 0 })
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
    const std::string engine = R"({"Slots":8,"KvTokenBytes":8000,"Stride":1,"step_ms":1,"per_seq_ms":0.001,"context_per_k":0.001,"read_per_s":100000.0,"usual":{"prompt":10,"answer":10},"Layers":8,"LayerMb":10.0,"ActBytes":100,"PipeMbps":1000.0,"Models":[{"Name":"m","LoadS":1}],"Kinds":[{"Name":"l4","Megabytes":1000.0,"pace":1.0,"ReadFactor":1.0}]})";
    const std::string common = R"("Host":"h.example","TimeoutMs":5000,"TargetLatencyMs":500,)";
    this->store.put("keyed.op", "config", R"({"Version":)" + std::to_string(version) + R"(,"Routes":[{"Name":"chat",)" + common + R"("PathPrefix":"/chat/","Kind":"stream","GapTargetMs":200,"Service":"llm","Attempts":2,"StreamResume":true},{"Name":"book",)" + common + R"("PathPrefix":"/book/","Kind":"non_idempotent","Service":")" + bookingService + R"("},{"Name":"stock",)" + common + R"("PathPrefix":"/stock/","Kind":"idempotent","Service":"app","Attempts":2}],"Services":[{"Name":"llm","Engine":)" + engine + R"(},{"Name":"app"}],"Tenants":[{"Name":"gold","ApiKeys":["key-1"]}]})");
}

void GatewayScene::putEndpoint(const std::string& id, const std::string& state)
{
    const HttpAddress address = this->replicas.at(id)->address();
    const auto range = engineRanges.find(id);
    const std::string layers = range == engineRanges.end() ? "" : R"(,"Kind":"l4","Layers":{"From":)" + std::to_string(range->second.first) + R"(,"To":)" + std::to_string(range->second.last) + R"(,"Version":1})";
    this->store.put("keyed.servers", id, R"({"Service":")" + std::string(range == engineRanges.end() ? "app" : "llm") + R"(","Address":")" + address.address + ":" + std::to_string(address.port) + R"(","Zone":"zone-a","Slots":6,"State":")" + state + R"(","CallSeq":)" + std::to_string(++this->heartbeat) + R"(,"born":1700000000000)" + layers + "}");
}

Process GatewayScene::launch(const std::string& name, const HttpAddress& callersAddress, const HttpAddress& readinessAddress, const HttpAddress& peersAddress, const HttpAddress& storeAddress)
{
    const auto text = [](const HttpAddress& address) { return address.address + ":" + std::to_string(address.port); };
    const std::string file = this->folder + "/" + name + ".yaml";
    std::ofstream(file) << "daemon: " << name << "\nfailureDomain: zone-a\ncallers: " << text(callersAddress) << "\nreadiness: " << text(readinessAddress) << "\npeers: " << text(peersAddress) << "\nseeds: [\"" << text(this->peers) << "\"]\nstore: " << text(storeAddress) << "\nretryBudget:\n    ratio: 0.2\n    reserve: 10\nstopTimeoutMs: 8000\n";
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
    this->gateway = this->launch("gateway-1", this->callers, this->readiness, this->peers, this->store.address());
    if (!this->await([&] { return this->ready(this->readiness); }))
        throw std::runtime_error("the gateway is not ready");
}

void GatewayScene::startSecondWithoutStore()
{
    this->secondCallers = this->free(host);
    const HttpAddress secondReadiness = this->free(host);
    this->second = this->launch("gateway-2", this->secondCallers, secondReadiness, this->free(host), this->free(host));
    if (!this->await([&] { return this->ready(secondReadiness); }))
        throw std::runtime_error("the second gateway is not ready");
}

std::unique_ptr<RawCaller> GatewayScene::call(const std::string& method, const std::string& path, const std::string& extraHeaders, const std::string& key)
{
    const std::string text = method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: request-" + std::to_string(++this->calls) + "\r\nDeadline-Ms: 4000\r\nKey: " + key + "\r\nToken-Count: 10,10\r\n" + extraHeaders + (method == "POST" ? "Content-Length: 4\r\n\r\nbody" : "\r\n");
    return std::make_unique<RawCaller>(this->context, this->callers, text);
}

std::string GatewayScene::answer(RawCaller& caller, const std::string& ending)
{
    this->await([&] { return caller.closed() || caller.received().find(ending) != std::string::npos; });
    return caller.received();
}

}
