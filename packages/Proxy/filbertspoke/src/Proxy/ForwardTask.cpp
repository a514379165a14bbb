#include <filbertspoke/Proxy>

#include <algorithm>
#include <utility>

namespace filbertspoke {

namespace asio = boost::asio;

namespace {

// A connection within a site is there within a few milliseconds; packets that are lost are sent again after 200 ms.
constexpr Duration connectTimeout = std::chrono::milliseconds(300);
// A caller is sent back for this part of the time that it has, spread so that callers don't return together; a
// shortage that comes from a lost engine takes some seconds to repair. Callers come back for up to a third.
constexpr double shortestReturn = 0.1;
constexpr double longestReturn = 0.25;
// Answers to other requests that are dropped before the connection is given up.
constexpr int maximumLateReplies = 2;
// A body that belongs to another request's answer is read and dropped within this time.
constexpr Duration lateBodyTimeout = std::chrono::milliseconds(200);

TimePoint deadlineOf(const CallerRequest& request, const Route& route, TimePoint received)
{
    return received + std::min(request.timeLimit.value_or(route.timeout), route.timeout);
}

}

ForwardTask::ForwardTask(GatewayContext& context, std::shared_ptr<CallerConnection> caller, CallerRequest request, const Route& route, ServiceId service, std::optional<AccountId> account, TimePoint received)
    : context(context)
    , caller(std::move(caller))
    , request(std::move(request))
    , route(route)
    , service(std::move(service))
    , account(std::move(account))
    , received(received)
    , deadline(deadlineOf(this->request, this->route, received))
    , history(this->route)
{
}

bool ForwardTask::mayGoOn(const AttemptHistory& attempts, AttemptEnd end) const
{
    const bool affordable = this->paid || !attempts.isRepeat() || this->context.retryBudget(this->service).hasRetry();
    return affordable && mayRetry(attempts.state(this->timeLeft()), end);
}

std::optional<AttemptHistory> ForwardTask::afterSilence(const EndpointId& first) const
{
    AttemptHistory assumed = this->history;
    assumed.noteFailure({ AttemptEnd::Lost, first, first, EndpointFault::Silent });
    return this->mayGoOn(assumed, AttemptEnd::Lost) ? std::optional(std::move(assumed)) : std::nullopt;
}

bool ForwardTask::payForSend()
{
    if (!this->history.isRepeat() || this->paid)
        return true;
    this->paid = this->context.retryBudget(this->service).takeRetry();
    if (this->paid)
        this->context.metrics.count({ "retries_charged_total", this->service.str() });
    return this->paid;
}

bool ForwardTask::noteFailure(const AttemptResult& result, const EndpointId& first)
{
    const EndpointId blamed = result.blamed.value_or(first);
    this->context.registry.noteFault(blamed, result.fault, bootNow());
    if (result.fault == EndpointFault::Unreachable)
        this->context.streams.suspect(blamed);
    this->history.noteFailure({ *result.failure, first, blamed, result.fault });
    const bool retry = this->mayGoOn(this->history, *result.failure);
    const AttemptState state = this->history.state(this->timeLeft());
    const double saved = this->context.retryBudget(this->service).saved();
    const auto gateways = this->context.siteGateways();
    logLine(WriteLog::Level::Warning, "attempt-failed", { { "request", this->request.id.str() }, { "endpoint", first.str() }, { "blamed", blamed.str() }, { "reason", result.reason }, { "sends", std::to_string(state.sends) }, { "possibleRuns", std::to_string(state.possibleRuns) }, { "timeLeftMs", milliseconds(state.timeLeft) }, { "retry", retry ? "yes" : "no" }, { "charged", retry && this->history.isRepeat() ? "yes" : "no" }, { "retriesSaved", std::to_string(saved) }, { "gateways", gateways ? std::to_string(*gateways) : "unknown" } });
    this->context.metrics.count({ "attempts_failed_total", result.reason });
    this->context.metrics.observeRetryBudget(this->service, saved, gateways.value_or(0));
    return retry;
}

Duration ForwardTask::returnDelay()
{
    const double part = shortestReturn + (longestReturn - shortestReturn) * this->context.draw();
    return scaled(std::max<Duration>(this->timeLeft(), Duration::zero()), part);
}

asio::awaitable<void> ForwardTask::giveUp(ErrorCode reason)
{
    if (this->caller->gone()) {
        this->logEnd("caller-gone", 0);
        co_return;
    }
    const AttemptState state = this->history.state(this->timeLeft());
    const bool notRun = certainlyNotRun(state);
    Refusal refusal(notRun ? reason : ErrorCode::EndpointFailed, notRun ? Ran::No : Ran::Unknown);
    if (notRun)
        refusal = refusal.retryAfter(this->returnDelay());
    const HttpResponse response = this->context.wires.caller->encodeRefusal(refusal, this->request.id);
    this->logDecision("request-given-up", { { "reason", std::string(name(reason)) }, { "possibleRuns", std::to_string(state.possibleRuns) }, { "avoided", std::to_string(this->history.faultyEndpoints()) }, { "timeLeftMs", milliseconds(state.timeLeft) }, { "returnAfterMs", refusal.retryAfter() ? milliseconds(*refusal.retryAfter()) : "" } });
    this->logEnd(std::string(name(refusal.code())), response.status);
    co_await this->caller->respond(response, this->keepAlive());
}

void ForwardTask::logDecision(const std::string& event, std::vector<std::pair<std::string, std::string>> fields) const
{
    fields.insert(fields.begin(), { "request", this->request.id.str() });
    fields.emplace_back("configuration", this->context.table ? std::to_string(this->context.table->version()) : "none");
    fields.emplace_back("endpointsRevision", std::to_string(this->context.registry.revision()));
    fields.emplace_back("othersWorkAgeMs", this->context.loadsHeardAt ? milliseconds(bootNow() - *this->context.loadsHeardAt) : "none");
    logLine(WriteLog::Level::Info, event, std::move(fields));
}

void ForwardTask::logEnd(const std::string& outcome, unsigned status) const
{
    logLine(WriteLog::Level::Info, "request-ended", { { "request", this->request.id.str() }, { "route", this->route.name }, { "service", this->service.str() }, { "outcome", outcome }, { "status", std::to_string(status) }, { "tookMs", milliseconds(bootNow() - this->received) }, { "sends", std::to_string(this->history.attemptCount()) }, { "configuration", this->context.table ? std::to_string(this->context.table->version()) : "none" } });
    this->context.metrics.count({ "requests_total", outcome });
}

asio::awaitable<UpstreamPointer> ForwardTask::open(const ForwardMetadata& order, AttemptResult& result)
{
    const SocketAddress& address = order.stages.front().address;
    const HttpRequest message = this->context.wires.caller->encodeForward(this->request, order);
    this->history.noteAttempt();
    UpstreamPointer connection = this->context.pool.takeIdle(address);
    if (!connection) {
        connection = this->context.pool.make(address);
        this->upstream = connection;
        const std::error_code error = co_await connection->connect(std::min(connectTimeout, this->timeLeft()));
        if (error) {
            result = { AttemptEnd::NotSent, EndpointFault::Unreachable, {}, "connect" };
            co_return nullptr;
        }
    }
    this->upstream = connection;
    if (this->caller->checkGone()) {
        this->context.pool.giveBack(address, connection);
        result = { AttemptEnd::NotSent, EndpointFault::Broken, {}, "caller-gone" };
        co_return nullptr;
    }
    this->history.noteSent();
    this->paid = false;
    const std::error_code error = co_await connection->send(message, this->timeLeft());
    // A failed write may still have delivered the whole request, and its answer may be waiting.
    if (error)
        result.reason = "write";
    co_return connection;
}

asio::awaitable<Result<EndpointReply>> ForwardTask::readReply(const UpstreamPointer& connection, Duration timeout)
{
    const TimePoint limit = bootNow() + timeout;
    for (int late = 0; late <= maximumLateReplies; ++late) {
        const Result<ResponseHead> head = co_await connection->readHead(std::max<Duration>(limit - bootNow(), std::chrono::milliseconds(1)));
        if (!head)
            co_return head.error();
        EndpointReply reply = this->context.wires.caller->decodeReply(head->status, head->headers);
        const bool interim = head->status < 200;
        if (!interim && (!reply.id || *reply.id == this->request.id))
            co_return reply;
        if (!interim)
            logLine(WriteLog::Level::Warning, "late-answer-dropped", { { "request", this->request.id.str() }, { "answers", reply.id ? reply.id->str() : "" } });
        if (const std::error_code error = co_await connection->skipBody(lateBodyTimeout))
            co_return error;
    }
    co_return make_error_code(ErrorCode::MalformedMessage);
}

std::optional<AttemptResult> ForwardTask::judge(const EndpointReply& reply) const
{
    std::optional<EndpointId> blamed;
    if (reply.faultAt)
        blamed = this->context.registry.findByAddress(*reply.faultAt);
    if (reply.notExecuted)
        return AttemptResult { AttemptEnd::NotExecuted, blamed || reply.status == 421 ? EndpointFault::Unreachable : EndpointFault::Failed, blamed, "not-executed-" + std::to_string(reply.status) };
    if (!reply.sealed || !reply.id)
        return AttemptResult { AttemptEnd::Lost, EndpointFault::Broken, blamed, "not-authentic" };
    if (reply.status >= 500)
        return AttemptResult { AttemptEnd::ReportedFailure, EndpointFault::Failed, blamed, "status-" + std::to_string(reply.status) };
    return std::nullopt;
}

}
