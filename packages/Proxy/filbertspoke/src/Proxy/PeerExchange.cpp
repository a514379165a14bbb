#include <filbertspoke/Proxy>

#include "internal/Awaiting.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace filbertspoke {

namespace asio = boost::asio;

namespace {

using internal::sleepFor;

constexpr std::string_view wordTarget = "/peers/word";
// How often the roster is asked who is to be spoken with; half the shortest pause between two words.
constexpr Duration rosterPause = std::chrono::milliseconds(100);
constexpr std::uint64_t roundsOfMembers = 2;
// A peer answers within a millisecond or two; a longer silence counts as a failure.
constexpr Duration peerTimeout = std::chrono::milliseconds(300);
constexpr Duration connectionIdleTime = std::chrono::seconds(10);
constexpr std::size_t maximumWordBytes = 64 * 1024 * 1024;
// The group under which a member keeps its hub's sum.
const std::string hubGroup = "hub";
// Leaves room for counting on from a random number within 63 bits.
constexpr int revisionOffsetShift = 16;

}

PeerExchange::PeerExchange(GatewayContext& context, const StoreFollower& follower)
    : context(context)
    , follower(follower)
    , revisionOffset(context.random() >> revisionOffsetShift)
    , server(context.io, httpAddress(*context.settings.peers), [this](HttpRequest request) { return this->answer(std::move(request)); })
{
}

void PeerExchange::start()
{
    for (const SocketAddress& seed : this->context.settings.seeds)
        this->context.roster.addSeed(seed);
    asio::co_spawn(this->context.io, this->run(), asio::detached);
}

bool PeerExchange::isMyHub(const SocketAddress& address) const
{
    return this->context.roster.hub(this->context.settings.failureDomain) == address;
}

bool PeerExchange::hasCurrentEndpoints() const
{
    return this->context.registryKnown && this->context.followsStore() && this->follower.reachable();
}

void PeerExchange::addWork(GossipMessage& word, const SocketAddress& receiver) const
{
    const bool hub = this->context.roster.isHub();
    const auto domain = this->context.roster.domainOf(receiver);
    const auto entry = this->heard.find(receiver);
    if (!domain)
        return;
    if (*domain != this->context.settings.failureDomain) {
        word.sum = hub;
        if (hub && this->context.roster.hub(*domain) == receiver)
            word.work = this->context.loads.withMembers();
    } else if (hub) {
        word.sum = true;
        word.work = this->context.loads.withoutMember(entry == this->heard.end() ? DaemonId() : entry->second.daemon);
    } else if (this->isMyHub(receiver)) {
        word.work = this->context.loads.own();
    }
}

void PeerExchange::addDocuments(GossipMessage& word, const SocketAddress& receiver) const
{
    const auto entry = this->heard.find(receiver);
    if (entry == this->heard.end())
        return;
    if (entry->second.configurationVersion < word.configurationVersion)
        word.configuration = this->context.document;
    if (!entry->second.wantsEndpoints || !this->hasCurrentEndpoints() || entry->second.knownRevision == word.endpointsRevision)
        return;
    word.endpoints.emplace();
    for (const auto& [id, record] : this->context.registry.records())
        word.endpoints->push_back(record.endpoint);
}

GossipMessage PeerExchange::wordFor(const SocketAddress& receiver) const
{
    GossipMessage word;
    word.daemon = this->context.settings.daemon;
    word.failureDomain = this->context.settings.failureDomain;
    word.address = *this->context.settings.peers;
    word.configurationVersion = this->context.table ? this->context.table->version() : 0;
    word.peers = this->context.roster.reachable();
    word.siteSize = this->context.roster.siteSize(bootNow());
    word.followsStore = this->hasCurrentEndpoints();
    // A member takes the list from its hub only, as long as there is one that has it.
    word.wantsEndpoints = !word.followsStore && (this->context.followsStore() || this->isMyHub(receiver));
    word.endpointsRevision = this->revisionOffset + this->context.registry.revision();
    const auto entry = this->heard.find(receiver);
    word.knownRevision = entry == this->heard.end() ? 0 : entry->second.endpointsRevision;
    const TimePoint now = bootNow();
    for (const auto& [id, record] : this->context.registry.records()) {
        const auto remaining = EndpointRegistry::ownAvoidance(record, now);
        if (remaining && record.lastFault == EndpointFault::Unreachable)
            word.avoided.push_back({ id, *remaining });
    }
    this->addWork(word, receiver);
    this->addDocuments(word, receiver);
    return word;
}

void PeerExchange::takeWork(GossipMessage& word, TimePoint now)
{
    this->context.loadsHeardAt = now;
    const bool near = word.failureDomain == this->context.settings.failureDomain;
    const bool hub = this->context.roster.isHub();
    if (near && hub && !word.sum) {
        this->context.loads.replaceMemberLoad(word.daemon, std::move(word.work), now);
    } else if (near && !hub && word.sum && this->isMyHub(word.address)) {
        this->context.loads.replaceGroupLoad(hubGroup, std::move(word.work), now);
        this->context.loads.markRefreshed(this->context.roster.neighbours());
    }
    if (!near && hub && word.sum && this->context.roster.hub(word.failureDomain) == word.address)
        this->context.loads.replaceGroupLoad(word.failureDomain.str(), std::move(word.work), now);
}

void PeerExchange::takeEndpoints(const GossipMessage& word, Heard& peer, TimePoint now)
{
    if (!word.endpoints || this->hasCurrentEndpoints())
        return;
    this->context.registry.replaceAll(*word.endpoints, now);
    peer.endpointsRevision = word.endpointsRevision;
    if (!this->context.registryKnown)
        logLine(WriteLog::Level::Info, "endpoints-from-peer", { { "peer", word.daemon.str() }, { "endpoints", std::to_string(word.endpoints->size()) } });
    this->context.registryKnown = true;
}

void PeerExchange::take(GossipMessage word)
{
    const TimePoint now = bootNow();
    ++this->context.capacityChanges;
    this->context.roster.notePeerAlive(word.address, word.failureDomain);
    for (const SocketAddress& address : word.peers)
        this->context.roster.meet(address);
    if (word.siteSize)
        this->context.roster.noteReportedSize(*word.siteSize, now);
    this->noteRole();
    Heard& peer = this->heard[word.address];
    peer.daemon = word.daemon;
    peer.configurationVersion = word.configurationVersion;
    peer.knownRevision = word.knownRevision;
    peer.wantsEndpoints = word.wantsEndpoints;
    if (this->isMyHub(word.address))
        this->context.hubHeardAt = word.followsStore ? std::optional<TimePoint>(now) : std::nullopt;
    for (const AvoidedEndpoint& avoided : word.avoided) {
        this->context.registry.noteRemoteAvoidance(avoided.endpoint, avoided.remaining, now);
        this->context.streams.suspect(avoided.endpoint);
    }
    if (word.configuration)
        this->context.takeDocument(*word.configuration, word.daemon.str());
    this->takeEndpoints(word, peer, now);
    this->takeWork(word, now);
}

void PeerExchange::noteRole()
{
    const bool hub = this->context.roster.isHub();
    if (hub == this->wasHub)
        return;
    this->wasHub = hub;
    this->context.loads.clearRemoteLoads();
    logLine(WriteLog::Level::Info, "peer-role", { { "hub", hub ? "yes" : "no" }, { "gateways", std::to_string(this->context.roster.size()) } });
}

asio::awaitable<std::optional<HttpResponse>> PeerExchange::answer(HttpRequest request)
{
    if (targetPath(request) != wordTarget)
        co_return emptyResponse(404);
    auto word = decodeGossipMessage(request.body);
    if (!word) {
        logLine(WriteLog::Level::Warning, "peer-word-unreadable", { { "reason", word.error().message() } });
        co_return emptyResponse(400);
    }
    const SocketAddress address = word->address;
    this->take(std::move(*word));
    HttpResponse response = emptyResponse(200);
    response.body = encodeGossipMessage(this->wordFor(address));
    co_return response;
}

void PeerExchange::noteAnswer(const SocketAddress& address, bool answered)
{
    const bool before = this->context.roster.isReachable(address);
    if (!answered)
        this->context.roster.noteFailure(address);
    const bool lost = before && !this->context.roster.isReachable(address);
    if (lost)
        logLine(WriteLog::Level::Warning, "peer-lost", { { "peer", formatSocketAddress(address) } });
    this->noteRole();
}

asio::awaitable<void> PeerExchange::ask(SocketAddress address)
{
    auto& connection = this->connections[address];
    if (!connection)
        connection = std::make_unique<HttpConnection>(this->context.io, httpAddress(address), HttpLimits { peerTimeout, connectionIdleTime, maximumWordBytes });
    if (connection->busy())
        co_return;
    this->context.roster.noteExchangeStart(address, bootNow());
    HttpRequest request { "POST", std::string(wordTarget), {}, encodeGossipMessage(this->wordFor(address)) };
    const HttpOutcome outcome = co_await exchange(*connection, std::move(request), peerTimeout);
    std::string reason;
    const HttpResponse* response = successfulResponse(outcome, reason);
    auto word = response ? decodeGossipMessage(response->body) : Result<GossipMessage>(make_error_code(ErrorCode::PeerUnreachable));
    this->noteAnswer(address, static_cast<bool>(word));
    if (word)
        this->take(std::move(*word));
}

asio::awaitable<void> PeerExchange::run()
{
    for (std::uint64_t round = 0;; ++round) {
        // Every member speaks within this many rounds.
        if (this->context.roster.isHub() && round % roundsOfMembers == 0)
            this->context.loads.markRefreshed(this->context.roster.neighbours());
        for (const SocketAddress& address : this->context.roster.due(bootNow()))
            asio::co_spawn(this->context.io, this->ask(address), asio::detached);
        co_await sleepFor(this->context.io, rosterPause);
    }
}

}
