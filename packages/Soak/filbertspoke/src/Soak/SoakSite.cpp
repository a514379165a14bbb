#include <filbertspoke/Soak>

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <utility>

#include <unistd.h>

namespace filbertspoke::soak {

namespace {

using namespace std::chrono_literals;

struct EndpointPlan {
    std::string id;
    std::string domain;
    LayerRange layers;
};

const std::vector<EndpointPlan> endpointPlans {
    { "app-1", "zone-a", {} },
    { "app-2", "zone-b", {} },
    { "app-3", "zone-b", {} },
    { "engine-a1", "zone-a", { 0, 4 } },
    { "engine-a2", "zone-a", { 4, 8 } },
    { "engine-b1", "zone-b", { 0, 4 } },
    { "engine-b2", "zone-b", { 4, 8 } },
    { "engine-c1", "zone-b", { 0, 4 } },
};
const std::string leavingReplica = "app-3";
constexpr std::size_t gatewayCount = 4;
constexpr std::uint32_t firstGatewayAddress = 10;
// Part of the requests that endpoints in trouble treat in each of the wrong ways.
constexpr double wrongShare = 0.06;
constexpr std::size_t fillerBytes = 4096;

HttpAddress anyPort(std::uint32_t index)
{
    return { ownLoopbackAddress(index), 0 };
}

/** \returns whether the bytes begin with a whole and sound head of a response */
bool hasSoundHead(const std::string& bytes)
{
    ResponseParser parser;
    boost::beast::error_code error;
    parser.put(boost::asio::buffer(bytes), error);
    return !error && parser.is_header_done();
}

void collectLog(SoakGateway& gateway)
{
    while (auto line = gateway.process->readLine())
        gateway.log.push_back(std::move(*line));
}

HttpAddress reservedPort(std::uint32_t index)
{
    return { ownLoopbackAddress(index), freePort(ownLoopbackAddress(index)) };
}

}

SoakSite::View::View(boost::asio::io_context& context, std::string domain)
    : domain(std::move(domain))
    , store(context, anyPort(1))
{
}

SoakSite::SoakSite(boost::asio::io_context& context, SoakRecord& record, SoakPaths paths, std::uint64_t seed)
    : context(context)
    , record(record)
    , random(seed)
    , folder((std::filesystem::temp_directory_path() / ("filbertspoke-soak-" + std::to_string(::getpid()))).string())
{
    std::filesystem::create_directories(this->folder);
    const bool shared = paths == SoakPaths::Shared;
    const std::vector<std::string> domains = shared ? std::vector<std::string> { "zone-a", "zone-b", "zone-a", "zone-b" } : std::vector<std::string> { "zone-a", "zone-b", "zone-a", "zone-c" };
    for (const std::string& domain : shared ? std::set<std::string> { "" } : std::set<std::string>(domains.begin(), domains.end()))
        this->views.push_back(std::make_unique<View>(context, domain));
    for (const EndpointPlan& plan : endpointPlans) {
        auto& endpoint = this->endpoints[plan.id];
        endpoint = std::make_unique<ReplicaStandIn>(context, ownLoopbackAddress(1), [this, id = plan.id](const HttpRequest& request) { return this->answer(id, request); });
        this->endpointNames.push_back(plan.id);
        for (const auto& view : this->views)
            view->links[plan.id] = std::make_unique<RelayStandIn>(context, anyPort(2), endpoint->address(), anyPort(2));
        this->putEndpoint(plan.id, "ready");
    }
    this->changeConfiguration();
    std::vector<HttpAddress> seeds;
    for (std::size_t index = 0; index < gatewayCount; ++index) {
        const auto address = static_cast<std::uint32_t>(firstGatewayAddress + index);
        SoakGateway gateway;
        gateway.storeLink = std::make_unique<RelayStandIn>(context, anyPort(2), this->viewOf(domains[index]).store.address(), anyPort(2));
        gateway.text = { "gateway-" + std::to_string(index), domains[index], reservedPort(address), reservedPort(address), reservedPort(address), gateway.storeLink->address(), {}, retryReserve };
        if (!shared)
            gateway.text.handover = reservedPort(address);
        seeds.push_back(gateway.text.peers);
        this->gateways.push_back(std::move(gateway));
    }
    for (SoakGateway& gateway : this->gateways) {
        gateway.text.seeds = seeds;
        this->start(gateway);
    }
}

SoakSite::~SoakSite()
{
    this->gateways.clear();
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

void SoakSite::start(SoakGateway& gateway)
{
    const std::string file = this->folder + "/" + gateway.text.name + ".yaml";
    std::ofstream(file) << settingsText(gateway.text);
    if (gateway.process)
        collectLog(gateway);
    gateway.process.emplace("filbertspoked", std::vector<std::string> { "gateway", "--settings", file });
    ++gateway.starts;
    gateway.disturbedAt = Clock::now();
}

std::vector<std::string> SoakSite::logOf(SoakGateway& gateway)
{
    gateway.process->kill();
    collectLog(gateway);
    return gateway.log;
}

void SoakSite::changeConfiguration()
{
    ++this->version;
    this->putConfiguration();
}

void SoakSite::putConfiguration()
{
    std::vector<RouteText> routes = usualRoutes();
    const RouteText lookUp = routes.back();
    for (int added = 1; added <= this->version; ++added)
        routes.push_back({ "probe-" + std::to_string(added), "/probe-" + std::to_string(added) + "/", lookUp.kind, lookUp.service, lookUp.attempts });
    for (const auto& view : this->views)
        view->store.putConfiguration(configurationText(this->version, routes));
}

void SoakSite::drainLastReplica()
{
    this->putEndpoint(leavingReplica, "draining");
    this->drained = true;
}

void SoakSite::putEndpoint(const std::string& id, const std::string& state)
{
    this->states[id] = state;
    ++this->heartbeat;
    for (const auto& view : this->views)
        view->store.putEndpoint(id, this->entryOf(id, *view));
}

void SoakSite::renewEndpoints()
{
    if (this->storeAway || this->entriesLost)
        return;
    for (const auto& [id, state] : this->states) {
        ++this->heartbeat;
        for (const auto& view : this->views)
            view->store.renewEndpoint(id, this->entryOf(id, *view));
    }
}

std::string SoakSite::entryOf(const std::string& id, const View& view)
{
    const auto plan = std::find_if(endpointPlans.begin(), endpointPlans.end(), [&](const EndpointPlan& candidate) { return candidate.id == id; });
    EndpointText entry { id, view.links.at(id)->address(), plan->domain, this->states.at(id), plan->layers, this->heartbeat };
    entry.startedAtMs += this->starts[id];
    return endpointText(entry);
}

SoakSite::View& SoakSite::viewOf(const std::string& domain)
{
    const auto view = std::find_if(this->views.begin(), this->views.end(), [&](const auto& candidate) { return candidate->domain.empty() || candidate->domain == domain; });
    return **view;
}

void SoakSite::restartStore(std::size_t lost)
{
    for (const auto& view : this->views)
        view->store.restartFromCopy(lost);
    this->entriesLost = true;
}

void SoakSite::setStoreAway(bool value)
{
    this->storeAway = value;
    for (const auto& view : this->views)
        view->store.setAway(value);
}

void SoakSite::controlLinks(const std::string& endpoint, const boost::json::object& order)
{
    for (const auto& view : this->views)
        view->links.at(endpoint)->control(order);
}

void SoakSite::controlPaths(const std::string& domain, const boost::json::object& order)
{
    for (const auto& [endpoint, link] : this->viewOf(domain).links)
        link->control(order);
}

void SoakSite::writeAgain()
{
    this->entriesLost = false;
    this->putConfiguration();
    for (const auto& [id, state] : std::map<std::string, std::string>(this->states))
        this->putEndpoint(id, state);
}

void SoakSite::restartEndpoint(const std::string& endpoint)
{
    this->leaving.erase(endpoint);
    ++this->starts[endpoint];
    this->putEndpoint(endpoint, "ready");
}

ReplicaScript SoakSite::answerWell(const HttpRequest& request) const
{
    ReplicaScript script;
    const ForwardedRequest forwarded = readForwarded(request);
    if (!forwarded.chained) {
        script.pieces = { wholeAnswer(request, 200, "served " + forwarded.id) };
        return script;
    }
    script.pieces = { streamHead(request) };
    for (int event = forwarded.lastEvent + 1; event <= eventsOfAStream; ++event)
        script.pieces.push_back(eventChunk(event, forwarded.id));
    script.pieces.push_back(lastChunk());
    script.pause = 20ms;
    return script;
}

ReplicaScript SoakSite::answer(const std::string& endpoint, const HttpRequest& request)
{
    if (request.target.starts_with("/filbertspoke/"))
        return emptyReport();
    const std::string id = readForwarded(request).id;
    const unsigned start = this->starts[endpoint];
    this->record.note(ArrivalRecord { id, endpoint, start, Clock::now() });
    const std::chrono::milliseconds pushback = this->pushbacks[endpoint];
    if (pushback.count() > 0) {
        this->record.note(SignalRecord { id, endpoint, start, false, pushback, Clock::now() });
        return { { pushbackAnswer(std::to_string(static_cast<double>(pushback.count()) / 1000)) }, 5ms, ReplicaScript::End::Keep };
    }
    ReplicaScript script = this->answerInTrouble(endpoint, request);
    // A gateway hears nothing from an answer that it has to reject.
    if (this->leaving.contains(endpoint) && !script.pieces.empty() && hasSoundHead(script.pieces.front())) {
        script.pieces.front() = leavingAnswer(std::move(script.pieces.front()));
        this->record.note(SignalRecord { id, endpoint, start, true, {}, Clock::now() });
    }
    return script;
}

ReplicaScript SoakSite::answerInTrouble(const std::string& endpoint, const HttpRequest& request)
{
    const bool wrong = this->trouble;
    if (wrong && this->draw() < wrongShare)
        return { { fullAnswer() }, 5ms, ReplicaScript::End::Keep };
    const ForwardedRequest forwarded = readForwarded(request);
    this->record.note(RunRecord { forwarded.id, endpoint, forwarded.account, forwarded.keyPassedOn, Clock::now() });
    ReplicaScript script = this->answerWell(request);
    if (wrong)
        this->spoil(script);
    return script;
}

void SoakSite::makeMalformed(ReplicaScript& script)
{
    // Whatever the endpoint sends, a body that is passed on is not that of the request.
    script.pieces.back() += "malformed";
    script.end = ReplicaScript::End::Close;
    std::string& head = script.pieces.front();
    const std::size_t status = head.find("200");
    const std::size_t framing = std::min(head.find("Content-Length"), head.find("Transfer-Encoding"));
    switch (std::uniform_int_distribution<int>(0, 4)(this->random)) {
    case 0:
        head.replace(status, 3, "000");
        break;
    case 1:
        head.replace(status, 3, "600");
        break;
    case 2:
        head.insert(framing, "X-Mark: 7\r\n ");
        break;
    case 3:
        head.insert(framing, "X Mark: 7\r\n");
        break;
    default:
        head.replace(framing, head.find("\r\n", framing) - framing, "Transfer-Encoding: gzip");
        break;
    }
}

void SoakSite::spoil(ReplicaScript& script)
{
    const auto way = static_cast<int>(this->draw() / wrongShare);
    const bool stream = script.pieces.size() > 1;
    switch (way) {
    case 0:
        script.pieces.resize(stream ? 2 : 0);
        script.end = ReplicaScript::End::Reset;
        break;
    case 1:
        script.pieces.resize(stream ? 3 : 0);
        script.end = ReplicaScript::End::Silence;
        break;
    case 2:
        script.pieces.back().resize(script.pieces.back().size() / 2);
        script.end = ReplicaScript::End::Close;
        break;
    case 3:
        script.pieces.push_back(wholeAnswer("another", 200, "served another"));
        break;
    case 4:
        script.pieces.insert(script.pieces.begin(), wholeAnswer("another", 200, "served another"));
        break;
    case 5:
        script.pieces.front() = "nonsense\r\n";
        break;
    case 6:
        script.pause = 400ms;
        break;
    case 7:
        // Bytes that are no answer come until the gateway closes the connection.
        script.pieces = { script.pieces.front().substr(0, script.pieces.front().find("\r\n") + 2), "Filler: " + std::string(fillerBytes, 'x') + "\r\n" };
        script.end = ReplicaScript::End::Endless;
        break;
    case 8:
        script.pieces.back() = std::string(fillerBytes, 'x');
        script.end = ReplicaScript::End::Endless;
        break;
    case 9:
        // The request runs, and nothing of its answer arrives.
        script.pieces.clear();
        script.end = ReplicaScript::End::Reset;
        break;
    case 10:
        this->makeMalformed(script);
        break;
    default:
        break;
    }
}

}
