#include <filbertspoke/Proxy>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace filbertspoke {

namespace asio = boost::asio;

namespace {

constexpr std::string_view wordTarget = "/peers/word";
// Both sides of a pair speak in turn, so that each hears the other twice in this time.
constexpr Duration leastPause = std::chrono::milliseconds(250);
// With many peers each is asked less often, which bounds a gateway's own traffic.
constexpr Duration pausePerPeer = std::chrono::milliseconds(40);
constexpr Duration answerTimeout = std::chrono::milliseconds(300);
constexpr Duration unreachablePause = std::chrono::seconds(1);
// A peer that never answers for so long is no longer asked; it comes back by asking itself.
constexpr int forgetAfterFailures = 30;

}

PeerExchange::PeerExchange(GatewayContext& context, const StoreFollower& follower)
    : context(context)
    , follower(follower)
    , server(context.io, { context.settings.peers->address, context.settings.peers->port }, [this](HttpRequest request) { return this->answer(std::move(request)); })
{
}

void PeerExchange::start()
{
    for (const SocketAddress& seed : this->context.settings.seeds)
        this->meet(seed);
}

void PeerExchange::meet(const SocketAddress& address)
{
    if (address == *this->context.settings.peers || this->peers.contains(address))
        return;
    this->peers.emplace(address, Peer {});
    asio::co_spawn(this->context.io, this->converse(address), asio::detached);
}

Duration PeerExchange::pause() const
{
    return std::max<Duration>(leastPause, pausePerPeer * static_cast<Duration::rep>(this->peers.size()));
}

GatewayWord PeerExchange::wordFor(const SocketAddress& address) const
{
    GatewayWord word;
    word.daemon = this->context.settings.daemon;
    word.address = *this->context.settings.peers;
    word.configurationVersion = this->context.table ? this->context.table->version() : 0;
    word.work = this->context.loads.own();
    for (const auto& [known, peer] : this->peers) {
        if (peer.reachable)
            word.peers.push_back(known);
    }
    const TimePoint now = bootNow();
    for (const auto& [id, record] : this->context.registry.records()) {
        const auto remaining = EndpointRegistry::ownAvoidance(record, now);
        if (remaining && record.lastFault == EndpointFault::Unreachable)
            word.avoided.push_back({ id, *remaining });
    }
    const bool current = this->follower.reachable() && this->context.registryKnown;
    word.wantsEndpoints = !current;
    const auto peer = this->peers.find(address);
    if (peer == this->peers.end())
        return word;
    if (peer->second.configurationVersion < word.configurationVersion)
        word.configuration = this->context.document;
    if (peer->second.wantsEndpoints && current) {
        word.endpoints.emplace();
        for (const auto& [id, record] : this->context.registry.records())
            word.endpoints->push_back(record.endpoint);
    }
    return word;
}

void PeerExchange::take(GatewayWord word)
{
    this->meet(word.address);
    for (const SocketAddress& address : word.peers)
        this->meet(address);
    const auto peer = this->peers.find(word.address);
    if (peer != this->peers.end()) {
        peer->second.configurationVersion = word.configurationVersion;
        peer->second.wantsEndpoints = word.wantsEndpoints;
    }
    const TimePoint now = bootNow();
    this->context.loads.notePeer(word.daemon, std::move(word.work), now);
    for (const AvoidedEndpoint& avoided : word.avoided) {
        this->context.registry.noteHearsay(avoided.endpoint, avoided.remaining, now);
        this->context.streams.suspect(avoided.endpoint);
    }
    if (word.configuration)
        this->context.takeDocument(*word.configuration, word.daemon.str());
    const bool current = this->follower.reachable() && this->context.registryKnown;
    if (word.endpoints && !current) {
        this->context.registry.replaceAll(*word.endpoints, now);
        if (!this->context.registryKnown)
            logLine(WriteLog::Level::Info, "endpoints-from-peer", { { "peer", word.daemon.str() }, { "endpoints", std::to_string(word.endpoints->size()) } });
        this->context.registryKnown = true;
    }
}

asio::awaitable<std::optional<HttpResponse>> PeerExchange::answer(HttpRequest request)
{
    if (targetPath(request) != wordTarget)
        co_return emptyResponse(404);
    auto word = decodeGatewayWord(request.body);
    if (!word) {
        logLine(WriteLog::Level::Warning, "peer-word-unreadable", { { "reason", word.error().message() } });
        co_return emptyResponse(400);
    }
    const SocketAddress address = word->address;
    this->take(std::move(*word));
    HttpResponse response = emptyResponse(200);
    response.body = encodeGatewayWord(this->wordFor(address));
    co_return response;
}

void PeerExchange::noteReachable(const SocketAddress& address, bool reachable)
{
    const auto peer = this->peers.find(address);
    if (peer == this->peers.end() || peer->second.reachable == reachable)
        return;
    peer->second.reachable = reachable;
    logLine(reachable ? WriteLog::Level::Info : WriteLog::Level::Warning, reachable ? "peer-regained" : "peer-lost", { { "peer", address.address + ':' + std::to_string(address.port) } });
}

asio::awaitable<bool> PeerExchange::exchangeWords(HttpConnection& connection, const SocketAddress& address)
{
    HttpRequest request { "POST", std::string(wordTarget), {}, encodeGatewayWord(this->wordFor(address)) };
    const HttpOutcome outcome = co_await exchange(connection, std::move(request), answerTimeout);
    std::string reason;
    const HttpResponse* response = successfulResponse(outcome, reason);
    auto word = response ? decodeGatewayWord(response->body) : Result<GatewayWord>(make_error_code(ErrorCode::PeerUnreachable));
    this->noteReachable(address, static_cast<bool>(word));
    if (word)
        this->take(std::move(*word));
    else
        connection.close();
    co_return static_cast<bool>(word);
}

asio::awaitable<void> PeerExchange::converse(SocketAddress address)
{
    HttpConnection connection(this->context.io, { address.address, address.port }, { answerTimeout, std::chrono::seconds(10), 64 * 1024 * 1024 });
    asio::steady_timer timer(this->context.io);
    const auto& seeds = this->context.settings.seeds;
    const bool seed = std::find(seeds.begin(), seeds.end(), address) != seeds.end();
    int failures = 0;
    while (seed || failures < forgetAfterFailures) {
        const bool heard = co_await this->exchangeWords(connection, address);
        failures = heard ? 0 : failures + 1;
        timer.expires_after(heard ? this->pause() : std::max(this->pause(), unreachablePause));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    this->peers.erase(address);
}

}
