#include <filbertspoke/Proxy>

#include "internal/Awaiting.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <vector>

namespace filbertspoke {

namespace asio = boost::asio;

namespace {

using internal::sleepFor;

constexpr Duration checkInterval = std::chrono::milliseconds(50);
// An endpoint that is alive accepts a connection within a few milliseconds; the limit leaves time for one retransmission.
constexpr Duration probeTimeout = std::chrono::milliseconds(250);

}

asio::awaitable<bool> probeEndpoint(GatewayContext& context, EndpointId endpoint, SocketAddress address)
{
    const UpstreamPointer connection = context.pool.create(address);
    const TimePoint startedAt = bootNow();
    const std::error_code error = co_await connection->connect(probeTimeout);
    connection->close();
    if (!error)
        context.noteConnected(endpoint);
    else if (!wasHeldUp(startedAt, probeTimeout))
        context.noteUnreachable(endpoint);
    co_return !error;
}

void ReachabilityProber::start()
{
    asio::co_spawn(this->context.io, this->run(), asio::detached);
}

asio::awaitable<void> ReachabilityProber::run()
{
    while (true) {
        co_await sleepFor(this->context.io, checkInterval);
        for (const ServiceId& service : this->context.observedServices()) {
            if (const std::size_t count = this->context.reachability(service).takeProbes(bootNow()))
                this->startProbes(service, count);
        }
    }
}

void ReachabilityProber::startProbes(const ServiceId& service, std::size_t count)
{
    std::vector<const EndpointRecord*> records;
    for (const auto& [id, record] : this->context.registry.records()) {
        if (record.endpoint.service == service && EndpointRegistry::takesWork(record, bootNow()))
            records.push_back(&record);
    }
    std::shuffle(records.begin(), records.end(), this->context.random);
    // Endpoints without a fault so far tell more than those that are known to be unreachable.
    std::stable_partition(records.begin(), records.end(), [&](const EndpointRecord* record) { return !this->context.reachability(service).hasFailed(record->endpoint.id); });
    records.resize(std::min(records.size(), count));
    for (const EndpointRecord* record : records)
        asio::co_spawn(this->context.io, probeEndpoint(this->context, record->endpoint.id, record->endpoint.address), asio::detached);
}

}
