#include "FromWire.h"

#include <cmath>
#include <limits>
#include <utility>

namespace filbertspoke::internal {

namespace {

/** \brief Thrown for a value out of range; fromWire() returns ErrorCode::MalformedMessage for it. */
struct OutOfRange { };

void require(bool condition)
{
    if (!condition)
        throw OutOfRange {};
}

std::uint64_t number(std::int64_t wireNumber) { return static_cast<std::uint64_t>(wireNumber); }
std::uint32_t number(std::int32_t wireNumber) { return static_cast<std::uint32_t>(wireNumber); }

std::string name(std::string&& text)
{
    constexpr std::size_t maximumNameBytes = 256;
    require(!text.empty() && text.size() <= maximumNameBytes);
    return std::move(text);
}

/** \brief Limits an incarnation to half of the range, since each refutation increases it by one. */
std::uint64_t incarnation(std::int64_t wireNumber)
{
    require(wireNumber >= 0 && wireNumber <= std::numeric_limits<std::int64_t>::max() / 2);
    return number(wireNumber);
}

Duration age(std::int64_t microseconds)
{
    require(microseconds >= 0);
    return Duration(microseconds);
}

double rate(double perSecond)
{
    require(std::isfinite(perSecond) && perSecond >= 0);
    return perSecond;
}

ListedDaemon convert(wire::DaemonAddress&& daemon)
{
    require(daemon.port >= 0 && daemon.port <= std::numeric_limits<std::uint16_t>::max());
    return { DaemonId(name(std::move(daemon.id))), FailureDomainId(std::move(daemon.failureDomain)),
        std::move(daemon.address), static_cast<std::uint16_t>(daemon.port) };
}

DaemonStateUpdate convert(wire::DaemonWord&& update)
{
    require(update.state >= wire::DaemonState::ALIVE && update.state <= wire::DaemonState::GONE);
    return { convert(std::move(update.daemon)), incarnation(update.incarnation), static_cast<MemberState>(update.state) };
}

EndpointObservation convert(wire::EndpointWord&& observation)
{
    require(observation.sign >= wire::EndpointSign::DRAINING && observation.sign <= wire::EndpointSign::SILENT);
    return { EndpointId(name(std::move(observation.endpoint))), static_cast<EndpointSignal>(observation.sign),
        age(observation.ageMicroseconds) };
}

EndpointLoad convert(wire::EndpointLoad&& load)
{
    const LoadReport report { number(load.queued), number(load.running), rate(load.tokensPerSecond),
        load.draining };
    return { EndpointId(name(std::move(load.endpoint))), report, age(load.ageMicroseconds) };
}

AccountDemand convert(wire::AccountDemand&& demand)
{
    return { AccountId(name(std::move(demand.account))), rate(demand.requestsPerSecond),
        number(demand.inProgress) };
}

template <typename Wire>
auto convert(std::vector<Wire>&& values)
{
    std::vector<decltype(convert(std::move(values.front())))> result;
    result.reserve(values.size());
    for (Wire& value : values)
        result.push_back(convert(std::move(value)));
    return result;
}

Gossip convert(wire::Gossip&& gossip)
{
    return { convert(std::move(gossip.daemons)), convert(std::move(gossip.endpoints)) };
}

PeerStatus convert(wire::PeerStatus&& status)
{
    return { DaemonId(name(std::move(status.daemon))), incarnation(status.incarnation),
        number(status.configurationRevision), number(status.requestsInProgress), status.draining };
}

PeerProbe convert(wire::PeerProbe&& probe)
{
    return { convert(std::move(probe.status)), convert(std::move(probe.sender)), number(probe.sequence),
        convert(std::move(probe.gossip)) };
}

PeerProbeRequest convert(wire::PeerProbeRequest&& request)
{
    return { convert(std::move(request.status)), convert(std::move(request.sender)), number(request.sequence),
        convert(std::move(request.target)), convert(std::move(request.gossip)) };
}

PeerProbeAnswer convert(wire::PeerProbeAnswer&& answer)
{
    return { convert(std::move(answer.status)), DaemonId(name(std::move(answer.subject))),
        number(answer.sequence), convert(std::move(answer.gossip)) };
}

RecordsRequest convert(wire::RecordsRequest&& request)
{
    return { name(std::move(request.stream)), number(request.fromOffset) };
}

RecordsTransfer convert(wire::RecordsTransfer&& transfer)
{
    RecordsTransfer result { name(std::move(transfer.stream)), number(transfer.oldestOffset),
        number(transfer.nextOffset), {} };
    result.records.reserve(transfer.records.size());
    for (wire::LogRecord& record : transfer.records)
        result.records.push_back({ result.stream, number(record.offset), std::move(record.payload) });
    return result;
}

LoadReports convert(wire::LoadReports&& reports) { return { convert(std::move(reports.loads)) }; }

DemandReport convert(wire::DemandReport&& report) { return { convert(std::move(report.demands)) }; }

ForwardedCall convert(wire::ForwardedCall&& call)
{
    return { RequestId(name(std::move(call.request))), AccountId(std::move(call.account)),
        ServiceId(name(std::move(call.serviceName))), std::move(call.method), std::move(call.path),
        std::move(call.contentType), std::move(call.body), std::move(call.key),
        age(call.deadlineMicroseconds) };
}

/** \returns the code with this name, or EndpointFailed for a name that this version doesn't know */
ErrorCode errorCode(const std::string& text)
{
    for (int value = 1; value <= static_cast<int>(ErrorCode::LogTruncated); ++value) {
        if (filbertspoke::name(static_cast<ErrorCode>(value)) == text)
            return static_cast<ErrorCode>(value);
    }
    return ErrorCode::EndpointFailed;
}

Ran ran(const std::string& text)
{
    for (const Ran value : { Ran::No, Ran::Yes }) {
        if (filbertspoke::name(value) == text)
            return value;
    }
    return Ran::Unknown;
}

ForwardedAnswer convert(wire::ForwardedAnswer&& answer)
{
    ForwardedAnswer result { RequestId(name(std::move(answer.request))), number(answer.status),
        std::move(answer.contentType), std::move(answer.body), std::nullopt };
    if (!answer.__isset.refusal)
        return result;
    result.refusal = Refusal(errorCode(answer.refusal), ran(answer.ran));
    if (answer.__isset.retryAfterMicroseconds)
        result.refusal = result.refusal->retryAfter(age(answer.retryAfterMicroseconds));
    return result;
}

Result<PeerMessage> convert(wire::PeerMessage&& message)
{
    if (message.__isset.status)
        return PeerMessage(convert(std::move(message.status)));
    if (message.__isset.probe)
        return PeerMessage(convert(std::move(message.probe)));
    if (message.__isset.probeRequest)
        return PeerMessage(convert(std::move(message.probeRequest)));
    if (message.__isset.probeAnswer)
        return PeerMessage(convert(std::move(message.probeAnswer)));
    if (message.__isset.recordsRequest)
        return PeerMessage(convert(std::move(message.recordsRequest)));
    if (message.__isset.recordsTransfer)
        return PeerMessage(convert(std::move(message.recordsTransfer)));
    if (message.__isset.loadReports)
        return PeerMessage(convert(std::move(message.loadReports)));
    if (message.__isset.demandReport)
        return PeerMessage(convert(std::move(message.demandReport)));
    if (message.__isset.forwardedCall)
        return PeerMessage(convert(std::move(message.forwardedCall)));
    if (message.__isset.forwardedAnswer)
        return PeerMessage(convert(std::move(message.forwardedAnswer)));
    return make_error_code(ErrorCode::UnsupportedVersion);
}

}

Result<PeerFrame> fromWire(wire::PeerFrame&& frame)
{
    try {
        DaemonId sender(name(std::move(frame.sender)));
        Result<PeerMessage> message = convert(std::move(frame.message));
        if (!message)
            return message.error();
        return PeerFrame { std::move(sender), std::move(*message) };
    } catch (const OutOfRange&) {
        return make_error_code(ErrorCode::MalformedMessage);
    }
}

}
