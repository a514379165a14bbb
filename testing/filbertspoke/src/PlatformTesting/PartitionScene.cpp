#include <filbertspoke/PlatformTesting>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <unistd.h>

namespace filbertspoke {

namespace {

using Clock = std::chrono::steady_clock;

const std::string endOfStream = "0\r\n\r\n";
const std::string servedBody = "served";
constexpr unsigned retryReserve = 200;
constexpr std::chrono::milliseconds callLimit { 4000 };

struct EndpointPlan {
    std::string id;
    LayerRange layers;
};

const std::vector<EndpointPlan> endpointPlans { { "app-1", {} }, { "app-2", {} }, { "app-3", {} }, { "engine-a1", { 0, 4 } }, { "engine-a2", { 4, 8 } }, { "engine-b1", { 0, 4 } }, { "engine-b2", { 4, 8 } }, { "engine-c1", { 0, 4 } }, { "engine-c2", { 4, 8 } } };

bool isStream(const std::string& path)
{
    return path.starts_with("/chat/");
}

}

CallEnd PlacedCall::end() const
{
    const std::string& received = this->caller->received();
    if (received.starts_with("HTTP/1.1 2") && received.ends_with(isStream(this->path) ? endOfStream : servedBody))
        return CallEnd::Served;
    if (!received.empty() && !received.starts_with("HTTP/1.1 2") && received.find("\r\n\r\n") != std::string::npos)
        return CallEnd::Refused;
    if (!this->caller->closed())
        return CallEnd::Pending;
    return received.empty() ? CallEnd::Unread : CallEnd::BrokenOff;
}

PartitionScene::PartitionScene(const std::vector<std::string>& failureDomains, double retryRatio)
    : folder("/tmp/filbertspoke-partition-" + std::to_string(getpid()))
{
    std::filesystem::create_directories(this->folder);
    for (const EndpointPlan& plan : endpointPlans)
        this->endpoints.emplace(plan.id, std::make_unique<ReplicaStandIn>(this->context, ownLoopbackAddress(1), [this](const HttpRequest& request) { return this->answer(request); }));
    const auto port = [](std::uint32_t index) { return HttpAddress { ownLoopbackAddress(index), freePort(ownLoopbackAddress(index)) }; };
    constexpr std::uint32_t firstGatewayAddress = 10;
    std::vector<HttpAddress> seeds;
    for (const std::string& domain : failureDomains) {
        if (!this->domains.contains(domain))
            this->addDomain(domain);
        const auto index = static_cast<std::uint32_t>(firstGatewayAddress + this->gateways.size());
        GatewayText text { "gateway-" + std::to_string(this->gateways.size()), domain, port(index), port(index), port(index), this->domains.at(domain).store->address(), {}, retryReserve, retryRatio, GatewayText().stopTimeout, port(index) };
        seeds.push_back(text.peers);
        this->gateways.push_back({ std::move(text), nullptr });
    }
    for (Gateway& gateway : this->gateways) {
        gateway.text.seeds = seeds;
        const std::string file = this->folder + "/" + gateway.text.name + ".yaml";
        std::ofstream(file) << settingsText(gateway.text);
        gateway.process = std::make_unique<Process>("filbertspoked", std::vector<std::string> { "gateway", "--settings", file });
    }
    for (const Gateway& gateway : this->gateways) {
        HttpRequest request;
        request.target = "/filbertspoke/ready";
        const bool ready = this->await([&] {
            const HttpOutcome outcome = exchange(this->context, gateway.text.readiness, request);
            const auto* response = std::get_if<HttpResponse>(&outcome);
            return response && response->status == 200;
        });
        if (!ready)
            throw std::runtime_error(gateway.text.name + " is not ready");
    }
}

PartitionScene::~PartitionScene()
{
    this->gateways.clear();
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

void PartitionScene::addDomain(const std::string& failureDomain)
{
    Domain domain;
    domain.store = std::make_unique<StoreStandIn>(this->context, HttpAddress { ownLoopbackAddress(2), 0 });
    domain.store->putConfiguration(configurationText(1, usualRoutes()));
    for (const EndpointPlan& plan : endpointPlans) {
        auto link = std::make_unique<EndpointLink>(this->context, ownLoopbackAddress(3), this->endpoints.at(plan.id)->address());
        domain.store->putEndpoint(plan.id, endpointText({ plan.id, link->address(), "zone-a", "ready", plan.layers }));
        domain.links.emplace(plan.id, std::move(link));
    }
    this->domains.emplace(failureDomain, std::move(domain));
}

ReplicaScript PartitionScene::answer(const HttpRequest& request) const
{
    if (request.target.starts_with("/filbertspoke/"))
        return emptyReport();
    ReplicaScript script;
    const ForwardedRequest forwarded = readForwarded(request);
    if (!forwarded.chained) {
        script.pieces = { wholeAnswer(request, 200, servedBody) };
        return script;
    }
    script.pieces.push_back(streamHead(request));
    for (int event = forwarded.lastEvent + 1; event <= this->eventsOfAStream; ++event)
        script.pieces.push_back(eventChunk(event));
    script.pieces.push_back(lastChunk());
    script.pause = this->eventPause;
    return script;
}

void PartitionScene::setLinks(const std::string& failureDomain, LinkState state)
{
    for (const auto& [endpoint, link] : this->domains.at(failureDomain).links)
        link->setState(state);
}

PlacedCall PartitionScene::call(std::size_t gateway, const std::string& path)
{
    PlacedCall call { gateway, path, "request-" + std::to_string(++this->calls), Clock::now(), nullptr };
    const std::string text = callText({ path.starts_with("/stock/") ? "GET" : "POST", path, call.id, callLimit, "key-1", {} });
    call.caller = std::make_unique<RawCaller>(this->context, this->gateways.at(gateway).text.callers, text);
    return call;
}

std::vector<PlacedCall> PartitionScene::callAll(std::chrono::milliseconds duration, std::chrono::milliseconds interval, const std::vector<std::string>& paths)
{
    std::vector<PlacedCall> calls;
    const auto until = Clock::now() + duration;
    auto next = Clock::now();
    std::size_t round = 0;
    this->await([&] {
        const auto now = Clock::now();
        if (now >= until || now < next)
            return now >= until;
        next += interval;
        for (std::size_t gateway = 0; gateway < this->gateways.size(); ++gateway) {
            if (this->gateways[gateway].process)
                calls.push_back(this->call(gateway, paths[round % paths.size()]));
        }
        ++round;
        return false;
    });
    return calls;
}

void PartitionScene::awaitEnds(const std::vector<PlacedCall>& calls)
{
    this->await([&calls] { return std::none_of(calls.begin(), calls.end(), [](const PlacedCall& call) { return call.end() == CallEnd::Pending; }); });
}

ArrivalCount PartitionScene::arrivals(const std::string& id) const
{
    ArrivalCount count;
    for (const auto& [name, endpoint] : this->endpoints) {
        const auto here = std::count_if(endpoint->requests().begin(), endpoint->requests().end(), [&id](const HttpRequest& request) { return readForwarded(request).id == id; });
        count.requests += static_cast<std::size_t>(here);
        count.endpoints += here > 0 ? 1 : 0;
    }
    return count;
}

int PartitionScene::abandoned() const
{
    int count = 0;
    for (const auto& [name, endpoint] : this->endpoints)
        count += endpoint->abandoned();
    return count;
}

void PartitionScene::kill(std::size_t gateway)
{
    const auto process = std::move(this->gateways.at(gateway).process);
    if (!process)
        return;
    process->kill();
    while (const auto line = process->readLine())
        this->log += *line + '\n';
}

std::string PartitionScene::logOf(const std::string& id)
{
    for (std::size_t gateway = 0; gateway < this->gateways.size(); ++gateway)
        this->kill(gateway);
    std::istringstream lines(this->log);
    std::string about;
    for (std::string line; std::getline(lines, line);) {
        if (line.find('"' + id + '"') != std::string::npos)
            about += line + '\n';
    }
    return about;
}

ServedCount servedAt(const std::vector<PlacedCall>& calls, const std::vector<std::size_t>& gateways, std::chrono::steady_clock::time_point since)
{
    ServedCount count;
    for (const PlacedCall& call : calls) {
        if (call.sentAt < since || std::find(gateways.begin(), gateways.end(), call.gateway) == gateways.end())
            continue;
        ++count.sent;
        count.served += call.end() == CallEnd::Served ? 1 : 0;
    }
    return count;
}

}
