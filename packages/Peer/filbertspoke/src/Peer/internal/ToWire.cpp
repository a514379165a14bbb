#include "ToWire.h"

#include <algorithm>
#include <iterator>

namespace filbertspoke::internal {

namespace {

std::int64_t wireNumber(std::uint64_t number) { return static_cast<std::int64_t>(number); }
std::int32_t wireNumber(std::uint32_t number) { return static_cast<std::int32_t>(number); }

wire::DaemonAddress convert(const ListedDaemon& daemon)
{
    wire::DaemonAddress result;
    result.id = daemon.id.str();
    result.failureDomain = daemon.failureDomain.str();
    result.address = daemon.address;
    result.port = daemon.port;
    return result;
}

wire::DaemonWord convert(const DaemonStateUpdate& update)
{
    wire::DaemonWord result;
    result.daemon = convert(update.daemon);
    result.incarnation = wireNumber(update.incarnation);
    result.state = static_cast<wire::DaemonState::type>(update.state);
    return result;
}

wire::EndpointWord convert(const EndpointObservation& observation)
{
    wire::EndpointWord result;
    result.endpoint = observation.endpoint.str();
    result.sign = static_cast<wire::EndpointSign::type>(observation.signal);
    result.ageMicroseconds = observation.age.count();
    return result;
}

wire::EndpointLoad convert(const EndpointLoad& load)
{
    wire::EndpointLoad result;
    result.endpoint = load.endpoint.str();
    result.queued = wireNumber(load.load.queued);
    result.running = wireNumber(load.load.running);
    result.tokensPerSecond = load.load.tokensPerSecond;
    result.draining = load.load.draining;
    result.ageMicroseconds = load.age.count();
    return result;
}

wire::AccountDemand convert(const AccountDemand& demand)
{
    wire::AccountDemand result;
    result.account = demand.account.str();
    result.requestsPerSecond = demand.requestsPerSecond;
    result.inProgress = wireNumber(demand.inProgress);
    return result;
}

wire::LogRecord convert(const LogRecord& record)
{
    wire::LogRecord result;
    result.offset = wireNumber(record.offset);
    result.payload = record.payload;
    return result;
}

template <typename Value>
auto convert(const std::vector<Value>& values)
{
    std::vector<decltype(convert(values.front()))> result;
    result.reserve(values.size());
    std::transform(values.begin(), values.end(), std::back_inserter(result),
        [](const Value& value) { return convert(value); });
    return result;
}

wire::Gossip convert(const Gossip& gossip)
{
    wire::Gossip result;
    if (!gossip.daemons.empty())
        result.__set_daemons(convert(gossip.daemons));
    if (!gossip.endpoints.empty())
        result.__set_endpoints(convert(gossip.endpoints));
    return result;
}

wire::PeerStatus convert(const PeerStatus& status)
{
    wire::PeerStatus result;
    result.daemon = status.from.str();
    result.incarnation = wireNumber(status.incarnation);
    result.configurationRevision = wireNumber(status.configurationRevision);
    result.requestsInProgress = wireNumber(status.requestsInProgress);
    result.draining = status.draining;
    return result;
}

template <typename Wire, typename Message>
void setGossip(Wire& target, const Message& message)
{
    if (!message.gossip.daemons.empty() || !message.gossip.endpoints.empty())
        target.__set_gossip(convert(message.gossip));
}

wire::PeerProbe convert(const PeerProbe& probe)
{
    wire::PeerProbe result;
    result.status = convert(probe.status);
    result.sender = convert(probe.self);
    result.sequence = wireNumber(probe.sequence);
    setGossip(result, probe);
    return result;
}

wire::PeerProbeRequest convert(const PeerProbeRequest& request)
{
    wire::PeerProbeRequest result;
    result.status = convert(request.status);
    result.sender = convert(request.self);
    result.sequence = wireNumber(request.sequence);
    result.target = convert(request.target);
    setGossip(result, request);
    return result;
}

wire::PeerProbeAnswer convert(const PeerProbeAnswer& answer)
{
    wire::PeerProbeAnswer result;
    result.status = convert(answer.status);
    result.subject = answer.subject.str();
    result.sequence = wireNumber(answer.sequence);
    setGossip(result, answer);
    return result;
}

wire::RecordsRequest convert(const RecordsRequest& request)
{
    wire::RecordsRequest result;
    result.stream = request.stream;
    result.fromOffset = wireNumber(request.from);
    return result;
}

wire::RecordsTransfer convert(const RecordsTransfer& transfer)
{
    wire::RecordsTransfer result;
    result.stream = transfer.stream;
    result.oldestOffset = wireNumber(transfer.oldest);
    result.nextOffset = wireNumber(transfer.next);
    result.records = convert(transfer.records);
    return result;
}

wire::ForwardedCall convert(const ForwardedCall& call)
{
    wire::ForwardedCall result;
    result.request = call.request.str();
    result.account = call.account.str();
    result.serviceName = call.service.str();
    result.method = call.method;
    result.path = call.path;
    result.contentType = call.contentType;
    result.body = call.body;
    result.key = call.key;
    result.deadlineMicroseconds = call.deadline.count();
    return result;
}

void setRefusal(wire::ForwardedAnswer& target, const Refusal& refusal)
{
    target.__set_refusal(std::string(name(refusal.code())));
    target.__set_ran(std::string(name(refusal.ran())));
    if (refusal.retryAfter())
        target.__set_retryAfterMicroseconds(refusal.retryAfter()->count());
}

wire::ForwardedAnswer convert(const ForwardedAnswer& answer)
{
    wire::ForwardedAnswer result;
    result.request = answer.request.str();
    result.status = wireNumber(answer.status);
    result.contentType = answer.contentType;
    result.body = answer.body;
    if (answer.refusal)
        setRefusal(result, *answer.refusal);
    return result;
}

wire::LoadReports convert(const LoadReports& reports)
{
    wire::LoadReports result;
    result.loads = convert(reports.loads);
    return result;
}

wire::DemandReport convert(const DemandReport& report)
{
    wire::DemandReport result;
    result.demands = convert(report.demands);
    return result;
}

}

wire::PeerFrame toWire(const PeerFrame& frame)
{
    wire::PeerFrame result;
    result.sender = frame.sender.str();
    wire::PeerMessage& target = result.message;
    std::visit(Overloaded {
                   [&](const PeerStatus& message) { target.__set_status(convert(message)); },
                   [&](const PeerProbe& message) { target.__set_probe(convert(message)); },
                   [&](const PeerProbeRequest& message) { target.__set_probeRequest(convert(message)); },
                   [&](const PeerProbeAnswer& message) { target.__set_probeAnswer(convert(message)); },
                   [&](const RecordsRequest& message) { target.__set_recordsRequest(convert(message)); },
                   [&](const RecordsTransfer& message) { target.__set_recordsTransfer(convert(message)); },
                   [&](const LoadReports& message) { target.__set_loadReports(convert(message)); },
                   [&](const DemandReport& message) { target.__set_demandReport(convert(message)); },
                   [&](const ForwardedCall& message) { target.__set_forwardedCall(convert(message)); },
                   [&](const ForwardedAnswer& message) { target.__set_forwardedAnswer(convert(message)); },
               },
        frame.message);
    return result;
}

}
