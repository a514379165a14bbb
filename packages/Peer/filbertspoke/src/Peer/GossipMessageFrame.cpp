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

// The largest configuration document with its routes, several times over.
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

GatewayWord fromWire(wire::GatewayWord message)
{
    GatewayWord word;
    word.daemon = DaemonId(message.daemon);
    word.address = { message.address, static_cast<std::uint16_t>(message.port) };
    word.configurationVersion = static_cast<std::uint64_t>(message.configurationVersion);
    for (const wire::EndpointWork& work : message.work)
        word.work.insert_or_assign(EndpointId(work.endpoint), WorkInProgress { work.requests, work.tokenLayers });
    for (const std::string& peer : message.peers) {
        if (auto address = parseSocketAddress(peer))
            word.peers.push_back(std::move(*address));
    }
    for (const wire::AvoidedEndpoint& avoided : message.avoided)
        word.avoided.push_back({ EndpointId(avoided.endpoint), Duration(avoided.remainingMicroseconds) });
    word.failureDomain = FailureDomainId(message.failureDomain);
    word.sum = message.sum;
    word.endpointsRevision = static_cast<std::uint64_t>(message.endpointsRevision);
    word.knownRevision = static_cast<std::uint64_t>(message.knownRevision);
    word.followsStore = message.followsStore;
    word.wantsEndpoints = message.wantsEndpoints;
    if (message.__isset.siteGateways && message.siteGateways > 0)
        word.siteSize = RosterSize { static_cast<std::size_t>(message.siteGateways), std::max(Duration(message.siteGatewaysAgeMicroseconds), Duration::zero()) };
    if (message.__isset.configurationKey && message.__isset.configurationDocument)
        word.configuration = ConfigurationDocument { std::move(message.configurationKey), std::move(message.configurationDocument) };
    if (message.__isset.endpoints) {
        word.endpoints.emplace();
        for (const wire::RegistryEntry& entry : message.endpoints)
            word.endpoints->push_back(fromWire(entry));
    }
    return word;
}

}

std::string encodeGossipMessage(const GatewayWord& word)
{
    wire::GatewayWord message;
    message.daemon = word.daemon.str();
    message.address = word.address.address;
    message.port = word.address.port;
    message.configurationVersion = static_cast<std::int64_t>(word.configurationVersion);
    for (const auto& [endpoint, work] : word.work) {
        wire::EndpointWork entry;
        entry.endpoint = endpoint.str();
        entry.requests = work.requests;
        entry.tokenLayers = work.tokenLayers;
        message.work.push_back(std::move(entry));
    }
    for (const SocketAddress& peer : word.peers)
        message.peers.push_back(socketText(peer));
    message.__isset.avoided = !word.avoided.empty();
    for (const AvoidedEndpoint& avoided : word.avoided) {
        wire::AvoidedEndpoint entry;
        entry.endpoint = avoided.endpoint.str();
        entry.remainingMicroseconds = avoided.remaining.count();
        message.avoided.push_back(std::move(entry));
    }
    message.__set_failureDomain(word.failureDomain.str());
    message.__set_sum(word.sum);
    message.__set_endpointsRevision(static_cast<std::int64_t>(word.endpointsRevision));
    message.__set_knownRevision(static_cast<std::int64_t>(word.knownRevision));
    message.__set_followsStore(word.followsStore);
    message.wantsEndpoints = word.wantsEndpoints;
    if (word.siteSize) {
        message.__set_siteGateways(static_cast<std::int64_t>(word.siteSize->gateways));
        message.__set_siteGatewaysAgeMicroseconds(word.siteSize->age.count());
    }
    if (word.configuration) {
        message.__set_configurationKey(word.configuration->key);
        message.__set_configurationDocument(word.configuration->text);
    }
    if (word.endpoints) {
        message.__isset.endpoints = true;
        for (const RegisteredEndpoint& endpoint : *word.endpoints)
            message.endpoints.push_back(toWire(endpoint));
    }
    auto buffer = std::make_shared<TMemoryBuffer>();
    Protocol protocol(buffer);
    message.write(&protocol);
    return buffer->getBufferAsString();
}

Result<GatewayWord> decodeGossipMessage(std::string_view bytes)
{
    // The buffer only observes the bytes, though its interface takes them as mutable.
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
