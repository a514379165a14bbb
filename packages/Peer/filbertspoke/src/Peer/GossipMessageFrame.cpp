#include "GossipMessageFrame.h"

#include "gen-cpp/peer_types.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <exception>
#include <memory>
#include <utility>

namespace filbertspoke {

namespace {

using apache::thrift::transport::TMemoryBuffer;
using Protocol = apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer>;

// Several times the size of the largest configuration document with its routes.
constexpr std::int32_t maximumStringBytes = 16 * 1024 * 1024;
constexpr std::int32_t maximumListElements = 65536;

wire::RegistryEntry toWire(const RegisteredEndpoint& endpoint)
{
    wire::RegistryEntry entry;
    entry.id = endpoint.id.str();
    entry.serviceName = endpoint.service.str();
    entry.address = endpoint.address.address;
    entry.port = endpoint.address.port;
    entry.failureDomain = endpoint.failureDomain.str();
    entry.draining = endpoint.draining;
    entry.slots = static_cast<std::int32_t>(endpoint.slots);
    entry.accelerator = endpoint.accelerator.str();
    entry.firstLayer = static_cast<std::int32_t>(endpoint.layers.first());
    entry.lastLayer = static_cast<std::int32_t>(endpoint.layers.last());
    entry.heartbeat = static_cast<std::int64_t>(endpoint.heartbeat);
    entry.startedAtMs = endpoint.startedAtMs;
    return entry;
}

RegisteredEndpoint fromWire(const wire::RegistryEntry& entry)
{
    RegisteredEndpoint endpoint;
    endpoint.id = EndpointId(entry.id);
    endpoint.service = ServiceId(entry.serviceName);
    endpoint.address = { entry.address, static_cast<std::uint16_t>(entry.port) };
    endpoint.failureDomain = FailureDomainId(entry.failureDomain);
    endpoint.draining = entry.draining;
    endpoint.slots = static_cast<std::uint32_t>(entry.slots);
    endpoint.accelerator = AcceleratorId(entry.accelerator);
    endpoint.layers = LayerRange(static_cast<std::uint32_t>(entry.firstLayer), static_cast<std::uint32_t>(entry.lastLayer));
    endpoint.heartbeat = static_cast<std::uint64_t>(entry.heartbeat);
    endpoint.startedAtMs = entry.startedAtMs;
    return endpoint;
}

wire::RequestTraitEvidence toWire(const RequestTraitEvidence& evidence)
{
    wire::RequestTraitEvidence entry;
    entry.trait = evidence.trait.str();
    entry.quarantined = evidence.quarantined;
    if (evidence.servedAge)
        entry.__set_servedAgeMicroseconds(evidence.servedAge->count());
    for (const EndpointCrash& crash : evidence.crashes) {
        wire::EndpointCrash& sent = entry.crashes.emplace_back();
        sent.endpoint = crash.run.endpoint.str();
        sent.startedAtMs = crash.run.startedAtMs;
        sent.ageMicroseconds = crash.age.count();
        sent.heldMicroseconds = crash.held.count();
    }
    return entry;
}

RequestTraitEvidence fromWire(const wire::RequestTraitEvidence& entry)
{
    RequestTraitEvidence evidence;
    evidence.trait = RequestTraitId(entry.trait);
    evidence.quarantined = entry.quarantined;
    if (entry.__isset.servedAgeMicroseconds)
        evidence.servedAge = std::max(Duration(entry.servedAgeMicroseconds), Duration::zero());
    for (const wire::EndpointCrash& crash : entry.crashes)
        evidence.crashes.push_back({ { EndpointId(crash.endpoint), crash.startedAtMs }, std::max(Duration(crash.ageMicroseconds), Duration::zero()), std::max(Duration(crash.heldMicroseconds), Duration::zero()) });
    return evidence;
}

wire::RateLimit toWire(const RateLimitReport& report)
{
    wire::RateLimit entry;
    entry.endpoint = report.run.endpoint.str();
    entry.startedAtMs = report.run.startedAtMs;
    if (report.requestsPerSecond)
        entry.__set_requestsPerSecond(*report.requestsPerSecond);
    entry.ageMicroseconds = report.age.count();
    return entry;
}

RateLimitReport fromWire(const wire::RateLimit& entry)
{
    RateLimitReport report;
    report.run = { EndpointId(entry.endpoint), entry.startedAtMs };
    if (entry.__isset.requestsPerSecond)
        report.requestsPerSecond = entry.requestsPerSecond;
    report.age = std::max(Duration(entry.ageMicroseconds), Duration::zero());
    return report;
}

GossipMessage fromWire(wire::GatewayWord message)
{
    GossipMessage gossip;
    gossip.daemon = DaemonId(message.daemon);
    gossip.address = { message.address, static_cast<std::uint16_t>(message.port) };
    gossip.configurationVersion = static_cast<std::uint64_t>(message.configurationVersion);
    for (const wire::EndpointWork& work : message.work)
        gossip.work.insert_or_assign(EndpointId(work.endpoint), WorkInProgress { work.requests, work.tokenLayers, work.__isset.requestRate ? work.requestRate : 0 });
    gossip.peersDigest = static_cast<std::uint64_t>(message.peersDigest);
    gossip.knownPeersDigest = static_cast<std::uint64_t>(message.knownPeersDigest);
    if (!message.peers.empty())
        gossip.peers.emplace();
    for (std::size_t index = 0; index < message.peers.size(); ++index) {
        auto address = parseSocketAddress(message.peers[index]);
        const bool named = index < message.peerDomains.size();
        if (address)
            gossip.peers->push_back({ std::move(*address), FailureDomainId(named ? message.peerDomains[index] : "") });
    }
    for (const wire::AvoidedEndpoint& avoided : message.avoided)
        gossip.avoided.push_back({ EndpointId(avoided.endpoint), Duration(avoided.remainingMicroseconds) });
    gossip.failureDomain = FailureDomainId(message.failureDomain);
    gossip.sum = message.sum;
    gossip.endpointsRevision = static_cast<std::uint64_t>(message.endpointsRevision);
    gossip.knownRevision = static_cast<std::uint64_t>(message.knownRevision);
    gossip.followsStore = message.followsStore;
    gossip.relaysStore = message.relaysStore;
    gossip.wantsEndpoints = message.wantsEndpoints;
    if (message.__isset.storeEra)
        gossip.storeEra = static_cast<StoreEra>(message.storeEra);
    for (const wire::LeavingEndpoint& run : message.leaving)
        gossip.leaving.push_back({ EndpointId(run.endpoint), run.startedAtMs });
    for (const wire::RefusingEndpoint& refusing : message.refusing)
        gossip.refusing.push_back({ { EndpointId(refusing.endpoint), refusing.startedAtMs }, Duration(refusing.remainingMicroseconds) });
    if (message.__isset.handoverAddress)
        gossip.handover = parseSocketAddress(message.handoverAddress);
    for (const std::string& service : message.unreachableServices)
        gossip.unreachableServices.emplace_back(service);
    for (const wire::RateLimit& limit : message.rateLimits)
        gossip.rateLimits.push_back(fromWire(limit));
    for (const wire::RequestTraitEvidence& evidence : message.requestTraits)
        gossip.requestTraits.push_back(fromWire(evidence));
    if (message.__isset.siteGateways && message.siteGateways > 0)
        gossip.siteSize = SiteSize { static_cast<std::size_t>(message.siteGateways), std::max(Duration(message.siteGatewaysAgeMicroseconds), Duration::zero()) };
    if (message.__isset.configurationKey && message.__isset.configurationDocument)
        gossip.configuration = ConfigurationDocument { std::move(message.configurationKey), std::move(message.configurationDocument) };
    if (message.__isset.endpoints) {
        gossip.endpoints.emplace();
        for (const wire::RegistryEntry& entry : message.endpoints)
            gossip.endpoints->push_back(fromWire(entry));
    }
    return gossip;
}

}

std::string encodeGossipMessage(const GossipMessage& gossip)
{
    wire::GatewayWord message;
    message.daemon = gossip.daemon.str();
    message.address = gossip.address.address;
    message.port = gossip.address.port;
    message.configurationVersion = static_cast<std::int64_t>(gossip.configurationVersion);
    for (const auto& [endpoint, work] : gossip.work) {
        wire::EndpointWork entry;
        entry.endpoint = endpoint.str();
        entry.requests = work.requests;
        entry.tokenLayers = work.tokenLayers;
        if (work.requestRate > 0)
            entry.__set_requestRate(work.requestRate);
        message.work.push_back(std::move(entry));
    }
    message.__set_peersDigest(static_cast<std::int64_t>(gossip.peersDigest));
    message.__set_knownPeersDigest(static_cast<std::int64_t>(gossip.knownPeersDigest));
    message.__isset.peerDomains = gossip.peers.has_value();
    for (const PeerAddress& peer : gossip.peers.value_or(std::vector<PeerAddress> {})) {
        message.peers.push_back(formatSocketAddress(peer.address));
        message.peerDomains.push_back(peer.failureDomain.str());
    }
    message.__isset.avoided = !gossip.avoided.empty();
    for (const AvoidedEndpoint& avoided : gossip.avoided) {
        wire::AvoidedEndpoint entry;
        entry.endpoint = avoided.endpoint.str();
        entry.remainingMicroseconds = avoided.remaining.count();
        message.avoided.push_back(std::move(entry));
    }
    message.__isset.leaving = !gossip.leaving.empty();
    for (const EndpointRun& run : gossip.leaving) {
        wire::LeavingEndpoint entry;
        entry.endpoint = run.endpoint.str();
        entry.startedAtMs = run.startedAtMs;
        message.leaving.push_back(std::move(entry));
    }
    message.__isset.refusing = !gossip.refusing.empty();
    for (const RefusingEndpoint& refusing : gossip.refusing) {
        wire::RefusingEndpoint entry;
        entry.endpoint = refusing.run.endpoint.str();
        entry.startedAtMs = refusing.run.startedAtMs;
        entry.remainingMicroseconds = refusing.remaining.count();
        message.refusing.push_back(std::move(entry));
    }
    if (gossip.handover)
        message.__set_handoverAddress(formatSocketAddress(*gossip.handover));
    message.__isset.unreachableServices = !gossip.unreachableServices.empty();
    for (const ServiceId& service : gossip.unreachableServices)
        message.unreachableServices.push_back(service.str());
    message.__isset.rateLimits = !gossip.rateLimits.empty();
    for (const RateLimitReport& report : gossip.rateLimits)
        message.rateLimits.push_back(toWire(report));
    message.__isset.requestTraits = !gossip.requestTraits.empty();
    for (const RequestTraitEvidence& evidence : gossip.requestTraits)
        message.requestTraits.push_back(toWire(evidence));
    if (gossip.storeEra)
        message.__set_storeEra(static_cast<std::int64_t>(*gossip.storeEra));
    message.__set_failureDomain(gossip.failureDomain.str());
    message.__set_sum(gossip.sum);
    message.__set_endpointsRevision(static_cast<std::int64_t>(gossip.endpointsRevision));
    message.__set_knownRevision(static_cast<std::int64_t>(gossip.knownRevision));
    message.__set_followsStore(gossip.followsStore);
    message.__set_relaysStore(gossip.relaysStore);
    message.wantsEndpoints = gossip.wantsEndpoints;
    if (gossip.siteSize) {
        message.__set_siteGateways(static_cast<std::int64_t>(gossip.siteSize->gateways));
        message.__set_siteGatewaysAgeMicroseconds(gossip.siteSize->age.count());
    }
    if (gossip.configuration) {
        message.__set_configurationKey(gossip.configuration->key);
        message.__set_configurationDocument(gossip.configuration->text);
    }
    if (gossip.endpoints) {
        message.__isset.endpoints = true;
        for (const RegisteredEndpoint& endpoint : *gossip.endpoints)
            message.endpoints.push_back(toWire(endpoint));
    }
    auto buffer = std::make_shared<TMemoryBuffer>();
    Protocol protocol(buffer);
    message.write(&protocol);
    return buffer->getBufferAsString();
}

Result<GossipMessage> decodeGossipMessage(std::string_view bytes)
{
    // TMemoryBuffer takes a mutable pointer, but in its default observing mode it only reads the bytes.
    auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
    auto buffer = std::make_shared<TMemoryBuffer>(data, static_cast<std::uint32_t>(bytes.size()));
    Protocol protocol(buffer, maximumStringBytes, maximumListElements);
    wire::GatewayWord message;
    try {
        message.read(&protocol);
    } catch (const std::exception&) {
        return make_error_code(ErrorCode::MalformedMessage);
    }
    if (buffer->available_read() != 0)
        return make_error_code(ErrorCode::MalformedMessage);
    return fromWire(std::move(message));
}

}
