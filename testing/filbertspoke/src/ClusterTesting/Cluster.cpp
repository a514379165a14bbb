#include "Cluster.h"

#include <filbertspoke/StandIns>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <random>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <unistd.h>

namespace filbertspoke {

namespace json = boost::json;

namespace {

constexpr std::chrono::seconds requestLimit { 60 };
const std::string account = "bole-workshops";
const std::vector<std::string> failureDomains { "addis-bole", "addis-merkato", "addis-piassa" };

// Each author has an account of its own, so that the questionnaires differ.
std::string questionnaireText(const std::string& author, std::uint32_t layers, std::uint32_t maximumTokens)
{
    std::ostringstream text;
    text << "organisation: Gearwell Systems\nteam: workshop-assistant\nweighsMore: throughput\nfailureDomains:\n";
    for (const std::string& domain : failureDomains)
        text << "    - " << domain << '\n';
    text << "models:\n    - name: assistant\n      version: \"1\"\n      layers: " << layers
         << "\n      longestAnswerTokens: " << maximumTokens << "\n      answerWithinMs: 60000\n"
         << R"(services:
    - name: bench-app
      answerWithinMs: 5000
      calls:
          - what: book parts
            method: POST
            path: /bookings
            mayBeRepeated: no
          - what: list stock
            method: GET
            path: /stock/list
            mayBeRepeated: yes
          - what: look up stock
            method: GET
            path: /stock
            mayBeRepeated: yes
            neededAtOnce: yes
accounts:
    - name: )"
         << account << "\n    - name: bench-of-" << author << "\n";
    return text.str();
}

std::string socketLines(const std::string& key, const HttpAddress& address)
{
    return key + ":\n    address: " + address.address + "\n    port: " + std::to_string(address.port) + "\n";
}

std::string platformLines(const HttpAddress& address)
{
    return "        address: " + address.address + "\n        port: " + std::to_string(address.port) + "\n";
}

HttpAddress parseAddress(const json::value& line, const std::string& field)
{
    const std::string text(line.at(field).as_string());
    const auto colon = text.rfind(':');
    return { text.substr(0, colon), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))) };
}

// The daemon writes JSON lines; the one that says where it listens comes first.
json::value awaitStarted(Process& process)
{
    while (const std::optional<std::string> line = process.readLine()) {
        const json::value parsed = json::parse(*line);
        if (parsed.at("event") == "started")
            return parsed;
    }
    throw std::runtime_error("a daemon ended before it was ready");
}

std::unique_ptr<StandInProcess> startRelay(const HttpAddress& target)
{
    return std::make_unique<StandInProcess>(StandInProcess::start(
        { "relay", "--target-address", target.address, "--target-port", std::to_string(target.port) }));
}

std::string engineId(std::uint32_t stage, std::uint32_t replica)
{
    return "engine-" + std::to_string(stage) + "-" + std::to_string(replica);
}

}

const std::string Cluster::defaultPrompt = "the chain skips";

std::string newKey()
{
    static std::mt19937_64 random { std::random_device {}() };
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    std::ostringstream digits;
    digits << std::hex << std::setfill('0') << std::setw(12) << milliseconds << '7' << std::setw(3) << (random() & 0xfff)
           << 'a' << std::setw(15) << (random() & 0xfffffffffffffff);
    std::string key = digits.str();
    for (const std::size_t position : { 8, 13, 18, 23 })
        key.insert(position, "-");
    return key;
}

Cluster::Cluster(const ClusterOptions& clusterOptions)
    : options(clusterOptions)
    , directory((std::filesystem::temp_directory_path() / ("filbertspoke-test-" + std::to_string(::getpid()))).string())
{
    std::filesystem::create_directories(this->directory);
    this->logProcess = std::make_unique<StandInProcess>(StandInProcess::start({ "log" }));
    this->startEndpoints();
    if (this->startApproval("hanna").wait() != 0)
        throw std::runtime_error("the configuration was not approved");
    for (std::uint32_t index = 0; index < this->options.daemons; ++index)
        this->startDaemon(index, nullptr);
    this->listHosts();
    for (std::uint32_t index = 0; index < this->options.daemons; ++index) {
        if (!this->await([&] { return this->ready(index); }))
            throw std::runtime_error("a daemon is not ready");
    }
}

Cluster::~Cluster()
{
    std::error_code ignored;
    std::filesystem::remove_all(this->directory, ignored);
}

void Cluster::startEndpoints()
{
    const std::uint32_t modelLayers = this->options.stages * layersPerStage;
    for (std::uint32_t stage = 0; stage < this->options.stages; ++stage) {
        for (std::uint32_t replica = 0; replica < this->options.replicas; ++replica) {
            const std::uint32_t first = stage * layersPerStage;
            this->engines.push_back(std::make_unique<StandInProcess>(StandInProcess::start({
                "engine",
                "--first-layer",
                std::to_string(first),
                "--last-layer",
                std::to_string(first + layersPerStage),
                "--model-layers",
                std::to_string(modelLayers),
                "--delay-us",
                std::to_string(this->options.engineDelayUs),
            })));
        }
    }
    for (std::uint32_t index = 0; index < this->options.services; ++index)
        this->services.push_back(std::make_unique<StandInProcess>(StandInProcess::start({ "service" })));
}

void Cluster::startDaemon(std::uint32_t index, const DaemonProcess* previous)
{
    const HttpAddress anywhere { ownLoopbackAddress(index + 1), 0 };
    const std::string name = "daemon-" + std::to_string(index);
    std::string settings = "daemon: " + name + "\nfailureDomain: " + failureDomains[index % failureDomains.size()] + "\n";
    settings += socketLines("callers", previous ? previous->callers : anywhere);
    settings += socketLines("peers", previous ? previous->peers : anywhere);
    settings += socketLines("operators", previous ? previous->operators : anywhere);
    settings += "platform:\n    log:\n" + platformLines(this->logAddressOf(index)) + "    hosts:\n" + platformLines(this->logAddress());
    settings += "limits:\n    drainMs: " + std::to_string(this->options.drainMs) + "\n";
    const std::string file = this->writeFile(name + ".yaml", settings);

    Process process("filbertspoked", { "--settings", file });
    const json::value started = awaitStarted(process);
    DaemonProcess daemon { std::move(process), parseAddress(started, "callers"), parseAddress(started, "peers"), parseAddress(started, "operators") };
    if (index < this->daemons.size())
        this->daemons[index] = std::move(daemon);
    else
        this->daemons.push_back(std::move(daemon));
}

void Cluster::restartDaemon(std::uint32_t index)
{
    this->daemons.at(index).process.kill();
    this->startDaemon(index, &this->daemons.at(index));
    this->await([&] { return this->ready(index); });
}

StandInProcess& Cluster::engine(std::uint32_t stage, std::uint32_t replica)
{
    return *this->engines.at(stage * this->options.replicas + replica);
}

HttpAddress Cluster::logAddressOf(std::uint32_t daemon)
{
    if (!this->options.relayLog)
        return this->logAddress();
    auto& relay = this->logRelays[daemon];
    if (!relay)
        relay = startRelay(this->logAddress());
    return relay->address;
}

StandInProcess& Cluster::relay(const std::string& endpoint)
{
    HttpAddress target;
    for (std::uint32_t stage = 0; stage < this->options.stages; ++stage) {
        for (std::uint32_t replica = 0; replica < this->options.replicas; ++replica) {
            if (engineId(stage, replica) == endpoint)
                target = this->engine(stage, replica).address;
        }
    }
    auto& relay = this->relays[endpoint];
    relay = startRelay(target);
    return *relay;
}

json::value Cluster::endpointLine(const std::string& id, const StandInProcess& process, const json::value& role) const
{
    const auto relay = this->relays.find(id);
    const HttpAddress& address = relay == this->relays.end() ? process.address : relay->second->address;
    return { { "kind", "endpoint" }, { "id", id }, { "host", "host-of-" + id }, { "address", address.address }, { "port", address.port },
        { "failureDomain", failureDomains.front() }, { "accelerator", "standard" }, { "role", role }, { "leaving", this->leaving.contains(id) } };
}

void Cluster::listHosts()
{
    json::array hosts;
    for (std::uint32_t stage = 0; stage < this->options.stages; ++stage) {
        const std::uint32_t first = stage * layersPerStage;
        const json::value role { { "model", "assistant" }, { "version", "1" }, { "layers", { first, first + layersPerStage } } };
        for (std::uint32_t replica = 0; replica < this->options.replicas; ++replica)
            hosts.push_back(this->endpointLine(engineId(stage, replica), this->engine(stage, replica), role));
    }
    for (std::uint32_t index = 0; index < this->options.services; ++index)
        hosts.push_back(this->endpointLine("service-" + std::to_string(index), this->service(index), { { "service", "bench-app" } }));
    for (std::uint32_t index = 0; index < this->daemons.size(); ++index) {
        const HttpAddress& peers = this->daemon(index).peers;
        hosts.push_back({ { "kind", "daemon" }, { "id", "daemon-" + std::to_string(index) }, { "address", peers.address },
            { "port", peers.port }, { "failureDomain", failureDomains[index % failureDomains.size()] } });
    }
    callJson(this->context, this->logAddress(), "PUT", "/hosts", hosts);
}

std::string Cluster::writeFile(const std::string& name, const std::string& text)
{
    const std::string path = this->directory + "/" + name;
    std::ofstream(path) << text;
    return path;
}

Process Cluster::startApproval(const std::string& author, const std::string& base)
{
    const std::uint32_t layers = this->options.stages * layersPerStage;
    const std::string file = this->writeFile("answers-" + author + ".yaml", questionnaireText(author, layers, maximumTokens));
    const std::string log = this->logAddress().address + ":" + std::to_string(this->logAddress().port);
    std::vector<std::string> arguments { "approve", file, "--author", author, "--approver", "dawit", "--log", log };
    if (!base.empty())
        arguments.insert(arguments.end(), { "--base", base });
    return Process("filbertspokectl", arguments);
}

bool Cluster::ready(std::uint32_t daemon)
{
    const json::value state = this->status(daemon);
    if (!state.is_object() || !state.at("ready").as_bool())
        return false;
    const json::array& endpoints = state.at("endpoints").as_array();
    const auto available = std::count_if(endpoints.begin(), endpoints.end(), [](const json::value& endpoint) { return endpoint.at("takesNewWork").as_bool(); });
    return static_cast<std::size_t>(available) >= this->engines.size() + this->services.size() - this->leaving.size();
}

std::uint32_t Cluster::busiestReplica(std::uint32_t stage)
{
    std::uint32_t busiest = 0;
    std::size_t most = 0;
    for (std::uint32_t replica = 0; replica < this->options.replicas; ++replica) {
        const std::size_t count = this->runs(this->engine(stage, replica).address).size();
        if (count > most)
            busiest = replica;
        most = std::max(most, count);
    }
    return busiest;
}

json::value Cluster::status(std::uint32_t daemon)
{
    try {
        return callJson(this->context, this->daemon(daemon).operators, "GET", "/v1/status");
    } catch (const std::runtime_error&) {
        return nullptr;
    }
}

std::shared_ptr<PendingExchange> Cluster::send(const HttpAddress& address, HttpRequest request)
{
    auto pending = std::make_shared<PendingExchange>();
    this->connections.push_back(std::make_unique<HttpConnection>(this->context, address, HttpLimits {}));
    request.headers.push_back({ "Filbertspoke-Account", account });
    request.headers.push_back({ "Content-Type", "application/json" });
    this->connections.back()->exchange(std::move(request), requestLimit, [pending](HttpOutcome outcome) { pending->outcome = std::move(outcome); });
    return pending;
}

std::shared_ptr<PendingExchange> Cluster::complete(std::uint32_t daemon, std::uint32_t tokens, const std::string& prompt, const std::vector<std::string>& received)
{
    json::object body { { "model", "assistant" }, { "prompt", prompt }, { "max_tokens", tokens }, { "stream", true } };
    HttpRequest request { "POST", "/v1/completions", {}, {} };
    if (!received.empty()) {
        body["received"] = json::array(received.begin(), received.end());
        request.headers.push_back({ "Last-Event-ID", std::to_string(received.size() - 1) });
    }
    request.body = json::serialize(body);
    return this->send(this->daemon(daemon).callers, std::move(request));
}

std::shared_ptr<PendingExchange> Cluster::call(std::uint32_t daemon, const std::string& method, const std::string& path, const std::string& body, const std::string& key, bool firstUse)
{
    HttpRequest request { method, "/services/bench-app" + path, {}, body };
    if (!key.empty())
        request.headers.push_back({ "Idempotency-Key", key });
    if (firstUse)
        request.headers.push_back({ "Idempotency-Key-First-Use", "true" });
    return this->send(this->daemon(daemon).callers, std::move(request));
}

std::vector<std::string> Cluster::reference(std::uint32_t tokens, const std::string& prompt) const
{
    return referenceCompletion(tokenize(prompt), tokens, ModelId("assistant"), "1", this->options.stages * layersPerStage);
}

void Cluster::control(const HttpAddress& address, const json::value& order)
{
    callJson(this->context, address, "POST", "/control", order);
}

json::array Cluster::runs(const HttpAddress& address)
{
    return callJson(this->context, address, "GET", "/control/runs").as_array();
}

std::size_t Cluster::runsWithBody(const std::string& body)
{
    std::size_t count = 0;
    for (const auto& replica : this->services) {
        for (const json::value& run : this->runs(replica->address))
            count += run.at("body").as_string() == body ? 1 : 0;
    }
    return count;
}

bool Cluster::await(const std::function<bool()>& condition)
{
    return runUntil(this->context, condition);
}

}
