#include <filbertspoke/Proxy>

#include <algorithm>
#include <utility>

namespace filbertspoke {

namespace asio = boost::asio;

namespace {

// Connecting within a site takes a few milliseconds. The limit leaves time for one TCP retransmission, which follows after 200 ms.
constexpr Duration connectTimeout = std::chrono::milliseconds(300);
// Range of the Retry-After delay as a fraction of the remaining time. It is randomized so that refused callers do not retry at
// the same moment. A capacity shortage caused by a lost engine takes a few seconds to repair, and callers retry for up to a
// third of their time.
constexpr double minRetryAfterFraction = 0.1;
constexpr double maxRetryAfterFraction = 0.25;
// Status of an endpoint that is not the one named in the request.
constexpr unsigned misdirectedStatus = 421;
// Responses to other requests that are dropped before the connection is abandoned.
constexpr int maximumMismatchedReplies = 2;
// Time limit for reading and discarding the body of another request's response.
constexpr Duration mismatchedBodyTimeout = std::chrono::milliseconds(200);

constexpr std::size_t fingerprintDigits = 32; // 128 bits

std::string joined(const std::vector<PromptPartId>& parts)
{
    std::string text;
    for (const PromptPartId& part : parts)
        text += (text.empty() ? "" : ",") + part.str();
    return text;
}

std::vector<RequestTraitId> promptTraitsOf(const CallerRequest& request)
{
    std::vector<RequestTraitId> traits;
    for (const PromptPartId& part : request.sharedPromptParts)
        traits.emplace_back("prompt-part:" + part.str());
    return traits;
}

RequestTraitId fingerprintOf(const CallerRequest& request, const std::optional<AccountId>& account)
{
    const std::string digest = requestDigest({ account ? account->str() : "", request.http.method, request.host, request.http.target, request.http.body });
    return RequestTraitId("request:" + digest.substr(0, fingerprintDigits));
}

std::optional<std::uint32_t> priorityOf(const GatewayContext& context, const Route& route, const std::optional<AccountId>& account)
{
    const auto ofAccount = account && context.table ? context.table->accountPriority(*account) : std::nullopt;
    return ofAccount ? ofAccount : route.priority;
}

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
    , promptTraits(promptTraitsOf(this->request))
    , priority(priorityOf(context, this->route, this->account))
    , fingerprint(fingerprintOf(this->request, this->account))
    , received(received)
    , deadline(deadlineOf(this->request, this->route, received))
    , handoverDraw(context.randomFraction())
    , history(this->route)
    , streamBegun(this->request.lastEventId.has_value())
    , pauseTimer(context.io)
{
    this->context.tasks.insert(this);
}

ForwardTask::~ForwardTask()
{
    this->context.tasks.erase(this);
}

bool ForwardTask::canRetry(const AttemptHistory& attempts, AttemptEnd end) const
{
    if (this->abandoned)
        return false;
    const bool affordable = this->retryCharged || !attempts.isRepeat() || this->context.retryBudget(this->service).hasRetry();
    return affordable && mayRetry(attempts.state(this->timeLeft()), end);
}

std::optional<AttemptHistory> ForwardTask::historyAfterStall(const EndpointId& first, const EndpointId& blamed) const
{
    AttemptHistory historyAfter = this->history;
    historyAfter.noteFailure({ AttemptEnd::Lost, first, blamed, EndpointFault::Silent });
    return this->canRetry(historyAfter, AttemptEnd::Lost) ? std::optional(std::move(historyAfter)) : std::nullopt;
}

bool ForwardTask::chargeRetryBudget()
{
    if (!this->history.isRepeat() || this->retryCharged)
        return true;
    this->retryCharged = this->context.retryBudget(this->service).takeRetry();
    if (this->retryCharged)
        this->context.metrics.count({ "retries_charged_total", this->service.str() });
    return this->retryCharged;
}

void ForwardTask::noteFault(const AttemptResult& result, const EndpointId& first, const EndpointId& blamed)
{
    // A pushback excludes the endpoint for exactly the time that it named; that is no sign of a defect.
    const bool counts = !result.pushedBack || blamed != first;
    if (counts && result.fault == EndpointFault::Refused)
        this->context.noteRefusal(blamed, result.sentAt.value_or(bootNow()));
    else if (counts)
        this->context.registry.noteFault(blamed, result.fault, bootNow());
    if (blamed == first && result.failure == AttemptEnd::NotSent && result.fault == EndpointFault::Unreachable)
        this->context.noteUnreachable(first);
    if (result.fault == EndpointFault::Unreachable)
        this->context.streams.notifySuspected(blamed, "request " + this->request.id.str() + ": " + result.reason);
}

bool ForwardTask::noteFailure(const AttemptResult& result, const EndpointId& first)
{
    const EndpointId blamed = result.blamed.value_or(first);
    if (!this->abandoned)
        this->noteFault(result, first, blamed);
    this->history.noteFailure({ *result.failure, first, blamed, result.fault });
    const bool retry = this->canRetry(this->history, *result.failure);
    const std::string reason = this->abandoned ? "stopped" : result.reason;
    const AttemptState state = this->history.state(this->timeLeft());
    const double saved = this->context.retryBudget(this->service).saved();
    const auto gateways = this->context.siteGateways();
    logLine(WriteLog::Level::Warning, "attempt-failed", { { "request", this->request.id.str() }, { "service", this->service.str() }, { "endpoint", first.str() }, { "blamed", blamed.str() }, { "reason", reason }, { "evidence", result.evidence }, { "events", std::to_string(result.events) }, { "fingerprint", this->fingerprint.str() }, { "sharedPromptParts", joined(this->request.sharedPromptParts) }, { "sends", std::to_string(state.sends) }, { "possibleRuns", std::to_string(state.possibleRuns) }, { "timeLeftMs", milliseconds(state.timeLeft) }, { "retry", retry ? "yes" : "no" }, { "charged", retry && this->history.isRepeat() ? "yes" : "no" }, { "retriesSaved", std::to_string(saved) }, { "gateways", gateways ? std::to_string(*gateways) : "unknown" } });
    this->context.metrics.count({ "attempts_failed_total", reason });
    this->context.metrics.observeRetryBudget(this->service, saved, gateways.value_or(0));
    return retry;
}

Duration ForwardTask::retryAfterDelay()
{
    const double fraction = minRetryAfterFraction + (maxRetryAfterFraction - minRetryAfterFraction) * this->context.randomFraction();
    const Duration delay = scaled(std::max<Duration>(this->timeLeft(), Duration::zero()), fraction);
    // Callers that are refused during the same pushback return one after the other behind its end.
    const auto pushback = this->pushbackRemaining();
    return pushback ? std::max(delay, *pushback + scaled(delay, this->context.randomFraction())) : delay;
}

std::optional<Duration> ForwardTask::pushbackRemaining() const
{
    return this->context.registry.pushbackRemaining(this->service, this->modelLayers(), bootNow());
}

std::uint32_t ForwardTask::modelLayers() const
{
    const ForwardedService* forwarded = this->context.table ? this->context.table->findService(this->service) : nullptr;
    return forwarded && forwarded->engine ? forwarded->engine->layers : 0;
}

std::vector<RequestTraitId> ForwardTask::traits() const
{
    std::vector<RequestTraitId> traits = this->promptTraits;
    traits.push_back(this->fingerprint);
    return traits;
}

void ForwardTask::noteServed()
{
    this->context.requestQuarantine.noteServed(this->promptTraits, bootNow(), this->fingerprint);
}

std::string ForwardTask::priorityText(const std::string& none) const
{
    return this->priority ? std::to_string(*this->priority) : none;
}

std::uint32_t ForwardTask::rank() const
{
    if (this->streamBegun || !this->context.table)
        return 0;
    return generationRank(this->context.table->streamPriorities(this->service), this->priority);
}

void ForwardTask::noteGenerationStarted()
{
    if (std::exchange(this->generationStarted, true))
        return;
    this->context.metrics.count({ "generations_started_total", this->priorityText("none"), "priority" });
}

std::vector<EndpointId> ForwardTask::receivingEndpoints() const
{
    std::vector<EndpointId> endpoints;
    const std::uint32_t layers = this->modelLayers();
    const auto refusing = layers == 0 ? RefusingCandidates::Excluded : RefusingCandidates::Included;
    for (const EndpointRecord* record : this->context.registry.candidates(this->service, bootNow(), refusing)) {
        const RegisteredEndpoint& endpoint = record->endpoint;
        const bool first = layers == 0 || (!endpoint.layers.empty() && endpoint.layers.first() == 0);
        if (first && this->history.mayUse(endpoint.id))
            endpoints.push_back(endpoint.id);
    }
    return endpoints;
}

std::optional<Duration> ForwardTask::rateLimitDelay() const
{
    const std::vector<EndpointId> endpoints = this->receivingEndpoints();
    std::optional<Duration> shortest = endpoints.empty() ? std::optional(Duration::zero()) : std::nullopt;
    for (const EndpointId& endpoint : endpoints) {
        const auto delay = this->context.rateLimits.delay(endpoint, bootNow());
        if (delay && (!shortest || *delay < *shortest))
            shortest = delay;
    }
    return shortest;
}

bool ForwardTask::rateLimitQueueIsFull(std::size_t waiting, Duration time) const
{
    double rate = 0;
    for (const EndpointId& endpoint : this->receivingEndpoints())
        rate += this->context.rateLimits.share(endpoint);
    return static_cast<double>(waiting) > rate * std::chrono::duration<double>(time).count();
}

asio::awaitable<void> ForwardTask::respondFailure(ErrorCode reason, std::optional<Duration> returnAfter)
{
    if (this->caller->disconnected()) {
        this->logOutcome("caller-gone", 0);
        co_return;
    }
    if (this->abandoned) {
        reason = ErrorCode::Draining;
        returnAfter = unavailableRetryAfter;
    }
    const AttemptState state = this->history.state(this->timeLeft());
    const bool notRun = certainlyNotRun(state);
    Refusal refusal(notRun ? reason : ErrorCode::EndpointFailed, notRun ? Ran::No : Ran::Unknown);
    if (notRun)
        refusal = refusal.retryAfter(returnAfter ? *returnAfter : this->retryAfterDelay());
    const auto rateDelay = this->rateLimitDelay();
    const bool generation = this->route.kind == RouteKind::Stream;
    if (generation && notRun)
        this->context.metrics.count({ "generations_refused_total", this->priorityText("none"), "priority" });
    const HttpResponse response = this->context.codecs.caller->encodeRefusal(refusal, this->request.id);
    this->logDecision("request-given-up", { { "reason", std::string(name(reason)) }, { "possibleRuns", std::to_string(state.possibleRuns) }, { "avoided", std::to_string(this->history.faultyEndpoints()) }, { "rateLimitMs", rateDelay ? milliseconds(*rateDelay) : "others" }, { "timeLeftMs", milliseconds(state.timeLeft) }, { "returnAfterMs", refusal.retryAfter() ? milliseconds(*refusal.retryAfter()) : "" }, { "priority", this->priorityText("") }, { "rank", generation ? std::to_string(this->rank()) : "" }, { "queued", std::to_string(this->context.waiters.size()) } });
    const std::string outcome(name(refusal.code()));
    co_await this->respond(response, outcome);
}

asio::awaitable<void> ForwardTask::respond(const HttpResponse& response, const std::string& outcome)
{
    co_await this->caller->respond(response, this->keepAlive());
    this->logOutcome(this->caller->disconnected() ? "caller-gone" : outcome, response.status);
}

asio::awaitable<void> ForwardTask::pause(Duration duration)
{
    this->pauseTimer.expires_after(duration);
    co_await this->pauseTimer.async_wait(asTuple);
}

void ForwardTask::logDecision(const std::string& event, std::vector<std::pair<std::string, std::string>> fields) const
{
    fields.insert(fields.begin(), { { "request", this->request.id.str() }, { "service", this->service.str() } });
    fields.emplace_back("configuration", this->context.table ? std::to_string(this->context.table->version()) : "none");
    fields.emplace_back("endpointsRevision", std::to_string(this->context.registry.revision()));
    fields.emplace_back("othersWorkAgeMs", this->context.lastLoadReportAt ? milliseconds(bootNow() - *this->context.lastLoadReportAt) : "none");
    logLine(WriteLog::Level::Info, event, std::move(fields));
}

std::string ForwardTask::rateShare(const EndpointId& endpoint) const
{
    return this->context.rateLimits.limit(endpoint) ? std::to_string(this->context.rateLimits.share(endpoint)) : "";
}

void ForwardTask::logOutcome(const std::string& outcome, unsigned status) const
{
    logLine(WriteLog::Level::Info, "request-ended", { { "request", this->request.id.str() }, { "route", this->route.name }, { "service", this->service.str() }, { "fingerprint", this->fingerprint.str() }, { "outcome", outcome }, { "status", std::to_string(status) }, { "tookMs", milliseconds(bootNow() - this->received) }, { "sends", std::to_string(this->history.attemptCount()) }, { "configuration", this->context.table ? std::to_string(this->context.table->version()) : "none" } });
    this->context.metrics.count({ "requests_total", outcome });
}

void ForwardTask::abandon()
{
    this->abandoned = true;
    this->closeConnections();
}

void ForwardTask::closeConnections()
{
    this->pauseTimer.cancel();
    for (const UpstreamPointer& connection : { this->upstream, this->offered }) {
        if (connection)
            connection->close();
    }
}

asio::awaitable<UpstreamPointer> ForwardTask::sendRequest(const ForwardMetadata& metadata, UpstreamPointer& slot, AttemptResult& result)
{
    const ForwardStage& first = metadata.stages.front();
    const HttpRequest message = this->context.codecs.caller->encodeForward(this->request, metadata);
    co_return co_await this->sendMessage(first.address, first.endpoint, message, slot, result);
}

asio::awaitable<UpstreamPointer> ForwardTask::sendMessage(const SocketAddress& address, const EndpointId& endpoint, const HttpRequest& message, UpstreamPointer& slot, AttemptResult& result)
{
    this->history.noteAttempt();
    // A second copy of the answer to an earlier attempt has the id of this request too: it may still arrive on the connection of that attempt.
    UpstreamPointer connection = this->context.pool.takeIdle(address, this->usedConnections);
    if (!connection) {
        connection = this->context.pool.create(address);
        slot = connection;
        const TimePoint startedAt = bootNow();
        const Duration limit = std::min(connectTimeout, this->timeLeft());
        const std::error_code error = co_await connection->connect(limit);
        if (error) {
            const bool heldUp = wasHeldUp(startedAt, limit);
            result = { AttemptEnd::NotSent, heldUp ? EndpointFault::Broken : EndpointFault::Unreachable, {}, heldUp ? "held-up" : "connect" };
            co_return nullptr;
        }
        this->context.noteConnected(endpoint);
    }
    slot = connection;
    if (this->caller->checkDisconnected()) {
        this->context.pool.giveBack(address, connection);
        result = { AttemptEnd::NotSent, EndpointFault::Broken, {}, "caller-gone" };
        co_return nullptr;
    }
    this->history.noteSent();
    this->usedConnections.insert(connection);
    this->retryCharged = false;
    const std::error_code error = co_await connection->send(message, this->timeLeft());
    // The endpoint may have received the whole request in spite of a write error, and may have responded to it.
    if (error)
        result.reason = "write";
    co_return connection;
}

asio::awaitable<Result<EndpointReply>> ForwardTask::readReply(const UpstreamPointer& connection, const EndpointId& endpoint, Duration timeout)
{
    const TimePoint limit = bootNow() + timeout;
    for (int mismatched = 0; mismatched <= maximumMismatchedReplies; ++mismatched) {
        const Result<ResponseHead> head = co_await connection->readHead(std::max<Duration>(limit - bootNow(), std::chrono::milliseconds(1)));
        if (!head)
            co_return head.error();
        EndpointReply reply = this->context.codecs.caller->decodeReply(head->status, head->headers);
        this->context.noteSignals(endpoint, reply.signals);
        if (!reply.signals.requestsPerSecond)
            this->context.noteRateLimit(endpoint, std::nullopt);
        if (!reply.id || *reply.id == this->request.id)
            co_return reply;
        logLine(WriteLog::Level::Warning, "late-answer-dropped", { { "request", this->request.id.str() }, { "answers", reply.id ? reply.id->str() : "" } });
        if (const std::error_code error = co_await connection->skipBody(mismatchedBodyTimeout))
            co_return error;
    }
    co_return make_error_code(ErrorCode::MalformedMessage);
}

AttemptResult lostResponse(const std::error_code& error, EndpointFault fault, const std::string& reason)
{
    AttemptResult result { AttemptEnd::Lost, fault, {}, isMalformedResponse(error) ? "answer-malformed" : reason };
    result.evidence = error.message();
    return result;
}

std::optional<AttemptResult> ForwardTask::classifyFailure(const EndpointReply& reply) const
{
    std::optional<EndpointId> blamed;
    if (reply.faultAt)
        blamed = this->context.registry.findByAddress(*reply.faultAt);
    if (reply.notExecuted) {
        const EndpointFault fault = blamed ? EndpointFault::Refused : reply.status == misdirectedStatus ? EndpointFault::Unreachable
                                                                                                        : EndpointFault::Failed;
        return AttemptResult { AttemptEnd::NotExecuted, fault, blamed, "not-executed-" + std::to_string(reply.status), reply.signals.pushback.has_value() };
    }
    if (!reply.sealed || !reply.id)
        return AttemptResult { AttemptEnd::Lost, EndpointFault::Broken, blamed, "not-authentic" };
    if (reply.status >= 500)
        return AttemptResult { AttemptEnd::ReportedFailure, EndpointFault::Failed, blamed, "status-" + std::to_string(reply.status) };
    return std::nullopt;
}

}
