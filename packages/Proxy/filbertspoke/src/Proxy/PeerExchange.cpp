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

constexpr std::string_view messageTarget = "/peers/word";
// Interval of the rounds in which all peers that are due are contacted; half the shortest interval between two messages.
constexpr Duration roundInterval = std::chrono::milliseconds(100);
// Rounds within which each member sends a message.
constexpr std::uint64_t memberRoundPeriod = 2;
// A peer responds within one or two milliseconds; a missing response after this time counts as a failure.
constexpr Duration peerTimeout = std::chrono::milliseconds(300);
// A large configuration takes longer than that over a link that other members use at the same time. While bytes arrive, the daemon
// waits for up to the time in which a change must become active.
constexpr Duration transferAllowance = std::chrono::seconds(2);
constexpr Duration connectionIdleTime = std::chrono::seconds(10);
// Readers of the store send several messages a second.
constexpr Duration relayLifetime = std::chrono::milliseconds(600);
constexpr std::size_t maximumMessageBytes = 64 * 1024 * 1024;
// Group under which a member records the aggregated load that its hub reports.
const std::string hubGroup = "hub";
// Leaves headroom above the random offset, so that the sum of offset and revision stays within 63 bits.
constexpr int revisionOffsetShift = 16;

/** \returns a digest of the list, which is not 0; only compared with digests from the same daemon */
std::uint64_t digestOf(const std::vector<PeerAddress>& peers)
{
    std::string text;
    for (const PeerAddress& peer : peers)
        text += formatSocketAddress(peer.address) + ' ' + peer.failureDomain.str() + '\n';
    return std::hash<std::string> {}(text) | 1U;
}

HubSource hubSource(const GossipMessage& message, bool outdated)
{
    if (outdated)
        return HubSource::None;
    return message.followsStore ? HubSource::Store : message.relaysStore ? HubSource::Relay
                                                                         : HubSource::None;
}

}

PeerExchange::PeerExchange(GatewayContext& context)
    : context(context)
    , revisionOffset(context.random() >> revisionOffsetShift)
    , server(
          context.io, httpAddress(*context.settings.peers), [this](HttpRequest request) { return this->handleRequest(std::move(request)); }, ConnectionKind::Peer)
{
}

void PeerExchange::start()
{
    for (const SocketAddress& seed : this->context.settings.seeds)
        this->context.roster.addSeed(seed);
    asio::co_spawn(this->context.io, this->run(), asio::detached);
}

bool PeerExchange::isOwnHub(const SocketAddress& address) const
{
    return this->context.roster.hub(this->context.settings.failureDomain) == address;
}

bool PeerExchange::hasCurrentEndpoints() const
{
    return this->context.followsStore() && this->context.storeReading.reads() && this->context.registryView.isCurrent(bootNow());
}

bool PeerExchange::relaysStore() const
{
    return this->context.roster.isHub() && this->relayedAt && bootNow() - *this->relayedAt <= relayLifetime;
}

void PeerExchange::noteRelayed(const GossipMessage& message, const PeerState& peer, TimePoint now)
{
    const bool sameEndpoints = this->context.registryLoaded && peer.endpointsRevision == message.endpointsRevision;
    const bool sameConfiguration = this->context.table && this->context.table->version() >= message.configurationVersion;
    if (sameEndpoints && (message.followsStore || (message.relaysStore && this->isOwnHub(message.address))))
        this->context.noteRegistryCurrent(now);
    if (message.followsStore && sameEndpoints && sameConfiguration)
        this->relayedAt = now;
}

void PeerExchange::addWork(GossipMessage& message, const SocketAddress& receiver) const
{
    const bool hub = this->context.roster.isHub();
    const auto domain = this->context.roster.domainOf(receiver);
    const auto entry = this->peerStates.find(receiver);
    if (!domain)
        return;
    if (*domain != this->context.settings.failureDomain) {
        message.sum = hub;
        if (hub && this->context.roster.hub(*domain) == receiver)
            message.work = this->context.loads.withMembers();
    } else if (hub) {
        message.sum = true;
        message.work = this->context.loads.withoutMember(entry == this->peerStates.end() ? DaemonId() : entry->second.daemon);
    } else if (this->isOwnHub(receiver)) {
        message.work = this->context.loads.own();
    }
}

void PeerExchange::addPeers(GossipMessage& message, const SocketAddress& receiver) const
{
    std::vector<PeerAddress> peers = this->context.roster.reachable();
    message.peersDigest = digestOf(peers);
    const auto entry = this->peerStates.find(receiver);
    message.knownPeersDigest = entry == this->peerStates.end() ? 0 : entry->second.peersDigest;
    if (entry == this->peerStates.end() || entry->second.knownPeersDigest != message.peersDigest)
        message.peers = std::move(peers);
}

void PeerExchange::addDocuments(GossipMessage& message, const SocketAddress& receiver)
{
    const auto entry = this->peerStates.find(receiver);
    if (entry == this->peerStates.end())
        return;
    if (this->configurationRelay.mustSend(receiver, message.configurationVersion, bootNow()))
        message.configuration = this->context.document;
    const bool upToDate = this->hasCurrentEndpoints() || this->relaysStore();
    if (!entry->second.wantsEndpoints || !upToDate || entry->second.knownRevision == message.endpointsRevision)
        return;
    message.endpoints = this->context.registry.entries();
}

GossipMessage PeerExchange::messageFor(const SocketAddress& receiver)
{
    GossipMessage message;
    message.daemon = this->context.settings.daemon;
    message.failureDomain = this->context.settings.failureDomain;
    message.address = *this->context.settings.peers;
    message.configurationVersion = this->context.table ? this->context.table->version() : 0;
    message.siteSize = this->context.roster.siteSize(bootNow());
    message.followsStore = this->hasCurrentEndpoints();
    message.relaysStore = !message.followsStore && this->relaysStore();
    // A member requests the endpoint list from its hub only, as long as the hub has a current one.
    message.wantsEndpoints = !message.followsStore && (this->context.followsStore() || this->isOwnHub(receiver));
    message.endpointsRevision = this->revisionOffset + this->context.registry.revision();
    message.storeEra = this->context.storeEra.current();
    message.leaving = this->context.registry.reportedLeaving();
    // Members hear of each other only through their hub.
    message.refusing = this->context.roster.isHub() ? this->context.registry.knownRefusals(bootNow()) : this->context.registry.ownRefusals(bootNow());
    message.rateLimits = this->context.rateLimits.reports(bootNow());
    message.requestTraits = this->context.requestQuarantine.evidence(bootNow());
    const auto entry = this->peerStates.find(receiver);
    message.knownRevision = entry == this->peerStates.end() ? 0 : entry->second.endpointsRevision;
    message.handover = this->context.settings.handover;
    message.unreachableServices = this->context.unreachableServices();
    const TimePoint now = bootNow();
    for (const auto& [id, record] : this->context.registry.records()) {
        const auto remaining = EndpointRegistry::ownAvoidance(record, now);
        // A daemon that may be cut off itself knows nothing of the endpoints.
        const bool reachable = this->context.reachability(record.endpoint.service).state() == Reachability::Reachable;
        if (remaining && reachable && record.lastFault == EndpointFault::Unreachable)
            message.avoided.push_back({ id, *remaining });
    }
    this->addPeers(message, receiver);
    this->addWork(message, receiver);
    this->addDocuments(message, receiver);
    return message;
}

void PeerExchange::applyWork(GossipMessage& message, TimePoint now)
{
    this->context.lastLoadReportAt = now;
    const bool sameDomain = message.failureDomain == this->context.settings.failureDomain;
    const bool hub = this->context.roster.isHub();
    if (sameDomain && hub && !message.sum) {
        this->context.loads.replaceMemberLoad(message.daemon, std::move(message.work), now);
    } else if (sameDomain && !hub && message.sum && this->isOwnHub(message.address)) {
        this->context.loads.replaceGroupLoad(hubGroup, std::move(message.work), now);
        this->context.loads.markRefreshed(this->context.roster.neighbours(), now);
    }
    if (!sameDomain && hub && message.sum && this->context.roster.hub(message.failureDomain) == message.address)
        this->context.loads.replaceGroupLoad(message.failureDomain.str(), std::move(message.work), now);
}

void PeerExchange::applyEndpoints(const GossipMessage& message, PeerState& peer)
{
    if (!message.endpoints || this->hasCurrentEndpoints())
        return;
    if (!this->context.registryLoaded)
        logLine(WriteLog::Level::Info, "endpoints-from-peer", { { "peer", message.daemon.str() }, { "endpoints", std::to_string(message.endpoints->size()) } });
    this->context.applyEndpoints(*message.endpoints, message.daemon.str());
    peer.endpointsRevision = message.endpointsRevision;
}

void PeerExchange::handleMessage(GossipMessage message)
{
    const TimePoint now = bootNow();
    ++this->context.capacityChanges;
    this->context.roster.notePeerAlive(message.address, message.failureDomain);
    for (const PeerAddress& known : message.peers.value_or(std::vector<PeerAddress> {}))
        this->context.roster.addPeer(known);
    if (message.siteSize)
        this->context.roster.noteReportedSize(*message.siteSize, now);
    this->updateRole();
    PeerState& peer = this->peerStates[message.address];
    peer.daemon = message.daemon;
    if (message.peers)
        peer.peersDigest = message.peersDigest;
    peer.knownPeersDigest = message.knownPeersDigest;
    this->configurationRelay.notePeer(message.address, message.configurationVersion, message.wantsEndpoints, now);
    peer.knownRevision = message.knownRevision;
    peer.wantsEndpoints = message.wantsEndpoints;
    const bool outdated = this->context.noteStoreEra(message.storeEra, message.daemon.str()) == EraRelation::Outdated;
    if (this->isOwnHub(message.address))
        this->context.storeReading.noteHub(hubSource(message, outdated), now);
    if (message.handover)
        this->context.handoverTargets.note(message.address, { *message.handover, message.failureDomain, { message.unreachableServices.begin(), message.unreachableServices.end() } }, now);
    for (const AvoidedEndpoint& avoided : message.avoided) {
        this->context.registry.noteRemoteAvoidance(avoided.endpoint, avoided.remaining, now);
        this->context.streams.notifySuspected(avoided.endpoint, "gateway " + message.daemon.str());
    }
    for (const EndpointRun& run : message.leaving)
        this->context.registry.noteRemoteLeaving(run);
    for (const RefusingEndpoint& refusing : message.refusing)
        this->context.noteRemoteRefusal(refusing, message.daemon);
    this->context.rateLimits.merge(message.rateLimits, now);
    this->context.requestQuarantine.merge(message.requestTraits, now);
    if (message.configuration)
        this->context.applyConfiguration(*message.configuration, message.daemon.str());
    if (!outdated) {
        this->applyEndpoints(message, peer);
        this->noteRelayed(message, peer, now);
    }
    this->applyWork(message, now);
}

void PeerExchange::updateRole()
{
    const bool hub = this->context.roster.isHub();
    if (hub == this->wasHub)
        return;
    this->wasHub = hub;
    this->context.loads.clearRemoteLoads();
    logLine(WriteLog::Level::Info, "peer-role", { { "hub", hub ? "yes" : "no" }, { "gateways", std::to_string(this->context.roster.size()) } });
}

asio::awaitable<std::optional<HttpResponse>> PeerExchange::handleRequest(HttpRequest request)
{
    if (targetPath(request) != messageTarget)
        co_return emptyResponse(404);
    auto message = decodeGossipMessage(request.body);
    if (!message) {
        logLine(WriteLog::Level::Warning, "peer-word-unreadable", { { "reason", message.error().message() } });
        co_return emptyResponse(400);
    }
    const SocketAddress address = message->address;
    this->context.roster.noteExchangeStart(address, bootNow());
    this->handleMessage(std::move(*message));
    HttpResponse response = emptyResponse(200);
    response.body = encodeGossipMessage(this->messageFor(address));
    co_return response;
}

void PeerExchange::recordExchange(const SocketAddress& address, bool answered, const std::string& reason)
{
    const bool reachableBefore = this->context.roster.isReachable(address);
    if (!answered)
        this->context.roster.noteFailure(address);
    const bool lost = reachableBefore && !this->context.roster.isReachable(address);
    if (lost)
        logLine(WriteLog::Level::Warning, "peer-lost", { { "peer", formatSocketAddress(address) }, { "reason", reason } });
    this->updateRole();
}

asio::awaitable<void> PeerExchange::exchangeWith(SocketAddress address)
{
    auto& connection = this->connections[address];
    if (!connection)
        connection = std::make_unique<HttpConnection>(this->context.io, httpAddress(address), HttpLimits { peerTimeout, connectionIdleTime, maximumMessageBytes, transferAllowance, socketTimeoutsFor(ConnectionKind::Peer) });
    if (connection->busy())
        co_return;
    this->context.roster.noteExchangeStart(address, bootNow());
    HttpRequest request { "POST", std::string(messageTarget), {}, encodeGossipMessage(this->messageFor(address)) };
    const HttpOutcome outcome = co_await exchange(*connection, std::move(request), peerTimeout);
    std::string reason;
    const HttpResponse* response = successfulResponse(outcome, reason);
    auto message = response ? decodeGossipMessage(response->body) : Result<GossipMessage>(make_error_code(ErrorCode::PeerUnreachable));
    if (response && !message)
        reason = message.error().message();
    this->recordExchange(address, static_cast<bool>(message), reason);
    if (message)
        this->handleMessage(std::move(*message));
}

asio::awaitable<void> PeerExchange::run()
{
    for (std::uint64_t round = 0;; ++round) {
        // Each member has sent a message within this many rounds.
        if (this->context.roster.isHub() && round % memberRoundPeriod == 0)
            this->context.loads.markRefreshed(this->context.roster.neighbours(), bootNow());
        this->context.updateRateLimits(bootNow());
        for (const SocketAddress& address : this->context.roster.due(bootNow()))
            asio::co_spawn(this->context.io, this->exchangeWith(address), asio::detached);
        co_await sleepFor(this->context.io, roundInterval);
    }
}

}
