// Steps of a ForwardTask that hand its request over to another gateway.
#include <filbertspoke/Proxy>

#include <algorithm>
#include <utility>

namespace filbertspoke {

namespace asio = boost::asio;

namespace {

// A request is handed over this often; a gateway that does not take it answers at once.
constexpr std::size_t maximumHandovers = 2;
// Largest response to a call that is handed over, like that of an endpoint.
constexpr std::size_t maximumResponseBytes = 1024 * 1024;

EndpointId handoverName(const SocketAddress& target)
{
    return EndpointId("gateway " + formatSocketAddress(target));
}

}

std::optional<SocketAddress> ForwardTask::handoverTarget() const
{
    const EndpointReachability& reachability = this->context.reachability(this->service);
    if (this->request.endpointsUsed || this->handoverDraw < reachability.ownShare() || this->triedGateways.size() >= maximumHandovers || this->history.attemptsExhausted())
        return std::nullopt;
    return this->context.handoverTargets.choose(this->service, this->context.roster.reachable(), this->triedGateways, this->context.settings.failureDomain, this->handoverDraw, bootNow());
}

bool ForwardTask::canHandOver(const AttemptHistory& attempts) const
{
    // Whether the other gateway finds an endpoint is unknown. A few silent endpoints also make this gateway's paths suspect.
    const bool cutOff = this->context.reachability(this->service).state() == Reachability::CutOff;
    return cutOff && !attempts.attemptsExhausted() && this->handoverTarget().has_value();
}

asio::awaitable<UpstreamPointer> ForwardTask::sendHandover(const SocketAddress& target, std::optional<std::uint64_t> lastEventId, std::uint32_t endpointsUsed, UpstreamPointer& slot, AttemptResult& result)
{
    const HandoverMetadata metadata { this->timeLeft(), endpointsUsed, lastEventId };
    const HttpRequest message = this->context.codecs.caller->encodeHandover(this->request, metadata);
    this->logDecision("request-handed-over", { { "gateway", formatSocketAddress(target) }, { "state", std::string(name(this->context.reachability(this->service).state())) }, { "endpointsUsed", std::to_string(metadata.endpointsUsed) }, { "sends", std::to_string(this->history.attemptCount()) } });
    this->context.metrics.count({ "requests_handed_over_total", "" });
    const EndpointId gateway = handoverName(target);
    co_return co_await this->sendMessage(target, gateway, message, slot, result);
}

asio::awaitable<Result<EndpointReply>> ForwardTask::readHandoverReply(const UpstreamPointer& connection, Duration timeout)
{
    const Result<ResponseHead> head = co_await connection->readHead(std::max<Duration>(timeout, std::chrono::milliseconds(1)));
    if (!head)
        co_return head.error();
    EndpointReply reply = this->context.codecs.caller->decodeReply(head->status, head->headers);
    if (reply.id && *reply.id != this->request.id)
        co_return make_error_code(ErrorCode::MalformedMessage);
    co_return reply;
}

std::optional<AttemptResult> ForwardTask::handoverFailureOf(const EndpointReply& reply, bool streaming) const
{
    const bool ranHere = !certainlyNotRun(this->history.state(this->timeLeft()));
    const auto end = handoverFailure(reply.status, reply.sealed, ranHere, streaming);
    if (!end)
        return std::nullopt;
    AttemptResult failure { *end, EndpointFault::Failed, {}, "status-" + std::to_string(reply.status) + "-there" };
    failure.declined = declinesHandover(reply.status, reply.sealed);
    return failure;
}

asio::awaitable<AttemptResult> ForwardTask::relayHandoverResponse(const UpstreamPointer& connection, const SocketAddress& target, const EndpointReply& reply)
{
    HttpResponse response;
    response.status = reply.status;
    response.headers = reply.headers;
    Result<BodyProgress> progress = BodyProgress::More;
    while (progress && *progress == BodyProgress::More) {
        if (response.body.size() > maximumResponseBytes || this->timeLeft() <= Duration::zero())
            co_return AttemptResult { AttemptEnd::Lost, EndpointFault::Broken, {}, "answer-unfinished" };
        progress = co_await connection->readBody(response.body, this->timeLeft());
    }
    if (!progress)
        co_return lostResponse(progress.error(), EndpointFault::Broken, "answer-broken-off");
    this->context.pool.giveBack(target, connection);
    this->caller->stopWatching();
    const std::string outcome = reply.sealed ? "answered-elsewhere" : "refused-elsewhere";
    co_await this->respond(response, outcome);
    co_return AttemptResult {};
}

bool ForwardTask::noteHandoverFailure(const SocketAddress& target, const AttemptResult& result)
{
    this->triedGateways.insert(target);
    const EndpointId gateway = handoverName(target);
    this->history.noteFailure({ *result.failure, gateway, gateway, result.fault });
    if (result.declined) {
        ++this->declinedHandovers;
        this->context.handoverTargets.noteDeclined(target, this->service, bootNow());
    }
    const bool ended = endsHandovers(this->declinedHandovers, certainlyNotRun(this->history.state(this->timeLeft())));
    const bool retry = !ended && this->canRetry(this->history, *result.failure);
    logLine(WriteLog::Level::Warning, "handover-failed", { { "request", this->request.id.str() }, { "gateway", formatSocketAddress(target) }, { "reason", result.reason }, { "evidence", result.evidence }, { "events", std::to_string(result.events) }, { "timeLeftMs", milliseconds(this->timeLeft()) }, { "declined", std::to_string(this->declinedHandovers) }, { "retry", retry ? "yes" : "no" } });
    this->context.metrics.count({ "handovers_failed_total", result.reason });
    return retry;
}

}
