#include "CallHandler.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <utility>
#include <variant>
#include <vector>

namespace filbertspoke::internal {

namespace {

constexpr std::string_view actionStream = "actions";
constexpr std::uint32_t statusCreated = 201;
constexpr Duration outcomeWait = std::chrono::seconds(30); ///< for an action's answer after its caller's deadline

StoredOutcome outcomeOf(const ServiceAnswer& answer)
{
    return { answer.status, answer.contentType, answer.body, false };
}

}

CallHandler::CallHandler(RouterContext& context)
    : context(context)
    , runner(context)
    , ledger(KeyHolder { context.identity.id, context.identity.incarnation })
    , boundKeys(KeyHolder { context.identity.id, context.identity.incarnation })
{
}

std::string CallHandler::digestOf(const AccountId& account, const ServiceCall& call)
{
    return requestDigest({ account.str(), call.service.str(), call.method, call.path, call.contentType, call.body });
}

void CallHandler::start(const Now& now, Actions& actions)
{
    this->carryOut(this->ledger.wake(now), now, actions);
}

void CallHandler::handle(const CallReceived& event, const Now& now, Actions& actions)
{
    if (const auto refusal = this->check(event)) {
        this->refuse(event.request, *refusal, now, actions);
        return;
    }
    const ServiceConfiguration& service = *this->context.configuration->configuration.findService(event.call.service);
    const RouteRule& rule = *service.findRule(event.call.method, event.call.path);
    this->add(event, { rule.idempotent, rule.idempotent && rule.hedged }, now.monotonic() + event.deadline.value_or(service.deadline));
    if (rule.idempotent)
        this->runIdempotent(event.request, now, actions);
    else
        this->runKeyed(event, now, actions);
}

std::optional<Refusal> CallHandler::check(const CallReceived& event) const
{
    // An earlier request with the same key may have run, so only a call without one surely did not.
    const Ran notRun = event.idempotencyKey ? Ran::Unknown : Ran::No;
    if (this->calls.contains(event.request) || this->runs.contains(event.request))
        return Refusal(ErrorCode::MalformedRequest, notRun).withDetail("the request id is in use");
    if (const auto refusal = this->checkAccount(event.account, notRun))
        return refusal;
    const ServiceConfiguration* service = this->context.configuration->configuration.findService(event.call.service);
    if (!service)
        return Refusal(ErrorCode::UnknownService, Ran::No);
    if (!service->findRule(event.call.method, event.call.path))
        return Refusal(ErrorCode::UnknownPath, Ran::No);
    return std::nullopt;
}

std::optional<Refusal> CallHandler::checkAccount(const AccountId& account, Ran notRun) const
{
    if (this->context.draining)
        return Refusal(ErrorCode::Draining, notRun).retryAfter(retryDelay);
    if (!this->context.configuration)
        return Refusal(ErrorCode::ConfigurationUnavailable, notRun).retryAfter(retryDelay);
    if (!this->context.configuration->configuration.findAccount(account))
        return Refusal(ErrorCode::UnknownAccount, Ran::No);
    return std::nullopt;
}

CallHandler::Call& CallHandler::add(const CallReceived& event, CallPolicy policy, TimePoint deadline)
{
    Call& call = this->calls[event.request];
    call.call = event.call;
    call.policy = policy;
    call.deadline = deadline;
    if (!policy.idempotent)
        call.digest = digestOf(event.account, event.call);
    return call;
}

void CallHandler::runIdempotent(const RequestId& request, const Now& now, Actions& actions)
{
    const Call& call = this->calls.at(request);
    this->deadlines.set(request, call.deadline);
    if (const auto end = this->runner.start(request, call.call, call.policy, now, actions))
        this->finish(request, *end, now, actions);
}

void CallHandler::runKeyed(const CallReceived& event, const Now& now, Actions& actions)
{
    const Call& call = this->calls.at(event.request);
    if (!event.idempotencyKey) {
        this->runBound(event.request, this->boundKeys.issueKey(), now, actions);
        return;
    }
    if (!BoundKey::hasBoundPrefix(*event.idempotencyKey)) {
        const KeyedRequest request { event.request, *event.idempotencyKey, call.digest, call.deadline, event.firstUse };
        this->carryOut(this->ledger.begin(request, now), now, actions);
        return;
    }
    const Result<BoundKey> key = BoundKey::parse(*event.idempotencyKey);
    if (!key)
        this->refuse(event.request, Refusal(ErrorCode::MalformedKey, Ran::No), now, actions);
    else if (key->daemon == this->context.identity.id)
        this->runBound(event.request, *key, now, actions);
    else
        this->forward(event.request, event, *key, now, actions);
}

void CallHandler::runBound(const RequestId& request, const BoundKey& key, const Now& now, Actions& actions)
{
    Call& call = this->calls.at(request);
    call.boundKey = key.str();
    this->carryOut(this->boundKeys.begin({ request, key.str(), call.digest, call.deadline, false }, key, now), now, actions);
}

void CallHandler::handle(const KeyRequested& event, const Now& now, Actions& actions)
{
    if (const auto refusal = this->checkAccount(event.account, Ran::No)) {
        this->refuse(event.request, *refusal, now, actions);
        return;
    }
    const std::string key = this->boundKeys.issueKey().str();
    const std::string body = boost::json::serialize(boost::json::object { { "idempotencyKey", key } });
    actions.push_back(AnswerCall { event.request, { statusCreated, "application/json", body }, key });
}

void CallHandler::handle(const CallAnswered& event, const Now& now, Actions& actions)
{
    if (const auto end = this->runner.handle(event, now, actions))
        this->finish(event.request, *end, now, actions);
}

void CallHandler::handle(const CallFailed& event, const Now& now, Actions& actions)
{
    if (const auto end = this->runner.handle(event, now, actions))
        this->finish(event.request, *end, now, actions);
}

void CallHandler::handle(const CallerDisconnected& event, const Now& now, Actions& actions)
{
    const auto call = this->calls.find(event.request);
    if (call == this->calls.end())
        return;
    const bool idempotent = call->second.policy.idempotent;
    this->calls.erase(call);
    this->deadlines.erase(event.request);
    this->context.traces.add(event.request, now, "caller-gone", "");
    if (idempotent) {
        this->runner.cancel(event.request, now, actions);
        return;
    }
    this->boundKeys.leave(event.request);
    this->carryOut(this->ledger.leave(event.request, now), now, actions);
}

void CallHandler::handle(const RecordsRead& event, const Now& now, Actions& actions)
{
    if (event.stream == actionStream)
        this->carryOut(this->ledger.recordsRead(event.records, event.oldest, event.next, now), now, actions);
}

void CallHandler::handle(const ReadFailed& event, const Now& now, Actions& actions)
{
    if (event.stream == actionStream)
        this->carryOut(this->ledger.readFailed(now), now, actions);
}

void CallHandler::handle(const RecordsAppended& event, const Now& now, Actions& actions)
{
    const auto append = this->ledgerAppends.extract(event.append);
    if (append)
        this->carryOut(this->ledger.appended(append.mapped(), now), now, actions);
}

void CallHandler::handle(const AppendFailed& event, const Now& now, Actions& actions)
{
    const auto append = this->ledgerAppends.extract(event.append);
    if (append)
        this->carryOut(this->ledger.appendFailed(append.mapped(), event.sent, now), now, actions);
}

void CallHandler::handle(const Tick& event, const Now& now, Actions& actions)
{
    this->expireCalls(now, actions);
    this->expireRuns(now, actions);
    this->runner.handle(event, now, actions);
    this->carryOut(this->boundKeys.wake(now), now, actions);
    this->carryOut(this->ledger.wake(now), now, actions);
}

std::optional<TimePoint> CallHandler::nextWake() const
{
    const std::optional<TimePoint> ours = earlier(this->deadlines.next(), this->runTimeouts.next());
    return earlier(earlier(ours, this->runner.nextWake()), earlier(this->boundKeys.nextWake(), this->ledger.nextWake()));
}

std::size_t CallHandler::inProgress() const
{
    const std::size_t unresolvedAttempts = this->ledger.platformReachable() ? this->ledger.unresolvedAttempts() : 0;
    return this->calls.size() + this->runs.size() + unresolvedAttempts;
}

void CallHandler::abandon(const Now& now, Actions& actions)
{
    std::vector<RequestId> left;
    for (const auto& [request, call] : this->calls)
        left.push_back(request);
    for (const RequestId& request : left) {
        const bool idempotent = this->calls.at(request).policy.idempotent;
        const Ran ran = idempotent ? this->runner.cancel(request, now, actions) : Ran::Unknown;
        this->boundKeys.leave(request);
        this->carryOut(this->ledger.leave(request, now), now, actions);
        this->refuse(request, Refusal(ErrorCode::Draining, ran).retryAfter(retryDelay), now, actions);
    }
    this->runs.clear();
}

void CallHandler::carryOut(const LedgerOutputs& outputs, const Now& now, Actions& actions)
{
    for (const LedgerOutput& output : outputs)
        std::visit([&](const auto& alternative) { this->carryOut(alternative, now, actions); }, output);
}

void CallHandler::carryOut(const AppendKeyRecords& output, const Now&, Actions& actions)
{
    const std::uint64_t append = this->context.nextAppend++;
    this->ledgerAppends.emplace(append, output.append);
    actions.push_back(AppendRecords { append, std::string(actionStream), output.payloads });
}

void CallHandler::carryOut(const ReadKeyRecords& output, const Now&, Actions& actions)
{
    actions.push_back(ReadRecords { std::string(actionStream), output.from });
}

void CallHandler::carryOut(const RunAction& output, const Now& now, Actions& actions)
{
    const Call& call = this->calls.at(output.request);
    const TimePoint timeout = call.deadline + outcomeWait;
    this->runs.emplace(output.request, KeyedRun { output.key, timeout });
    this->runTimeouts.set(output.request, timeout);
    if (const auto end = this->runner.start(output.request, call.call, CallPolicy {}, now, actions))
        this->finish(output.request, *end, now, actions);
}

void CallHandler::carryOut(const ReturnOutcome& output, const Now& now, Actions& actions)
{
    this->answer(output.request, { output.outcome.status, output.outcome.contentType, output.outcome.body }, now, actions);
}

void CallHandler::carryOut(const RefuseKeyedRequest& output, const Now& now, Actions& actions)
{
    this->refuse(output.request, output.refusal, now, actions);
}

void CallHandler::finish(const RequestId& request, const CallEnd& end, const Now& now, Actions& actions)
{
    const auto run = this->runs.extract(request);
    if (run) {
        this->runTimeouts.erase(request);
        this->settle(run.mapped().key, end, now, actions);
        return;
    }
    std::visit(Overloaded {
                   [&](const ServiceAnswer& answer) { this->answer(request, answer, now, actions); },
                   [&](const Refusal& refusal) { this->refuse(request, refusal, now, actions); },
               },
        end);
}

void CallHandler::settle(const std::string& key, const CallEnd& end, const Now& now, Actions& actions)
{
    const bool bound = BoundKey::hasBoundPrefix(key);
    if (const auto* answer = std::get_if<ServiceAnswer>(&end)) {
        const StoredOutcome outcome = outcomeOf(*answer);
        this->carryOut(bound ? this->boundKeys.finish(key, outcome) : this->ledger.finish(key, outcome, now), now, actions);
        return;
    }
    const Refusal& refusal = std::get<Refusal>(end);
    if (refusal.ran() == Ran::No)
        this->carryOut(bound ? this->boundKeys.release(key, refusal) : this->ledger.release(key, refusal, now), now, actions);
    else
        this->carryOut(bound ? this->boundKeys.fail(key) : this->ledger.fail(key, now), now, actions);
}

void CallHandler::answer(const RequestId& request, const ServiceAnswer& answer, const Now& now, Actions& actions)
{
    const auto call = this->calls.extract(request);
    if (!call)
        return;
    this->deadlines.erase(request);
    this->context.traces.add(request, now, "answered", std::to_string(answer.status));
    actions.push_back(count("calls_total", "answered"));
    const auto& origin = call.mapped().origin;
    if (!origin) {
        actions.push_back(AnswerCall { request, answer, call.mapped().boundKey });
        return;
    }
    const auto peer = this->context.peers.find(origin->peer);
    if (peer != this->context.peers.end())
        actions.push_back(SendToPeer { peer->second, ForwardedAnswer { origin->request, answer.status, answer.contentType, answer.body, std::nullopt } });
}

void CallHandler::refuse(const RequestId& request, const Refusal& refusal, const Now& now, Actions& actions)
{
    const auto call = this->calls.extract(request);
    this->deadlines.erase(request);
    this->context.traces.add(request, now, "refused", std::string(name(refusal.code())));
    actions.push_back(count("calls_refused_total", std::string(name(refusal.code()))));
    if (!call || !call.mapped().origin) {
        actions.push_back(RefuseRequest { request, refusal, call ? call.mapped().boundKey : std::nullopt });
        return;
    }
    const Origin& origin = *call.mapped().origin;
    const auto peer = this->context.peers.find(origin.peer);
    if (peer != this->context.peers.end())
        actions.push_back(SendToPeer { peer->second, ForwardedAnswer { origin.request, 0, "", "", refusal } });
}

void CallHandler::expireCalls(const Now& now, Actions& actions)
{
    for (const RequestId& request : this->deadlines.takeDue(now.monotonic())) {
        const bool idempotent = this->calls.at(request).policy.idempotent;
        const Ran ran = idempotent ? this->runner.cancel(request, now, actions) : Ran::Unknown;
        const ErrorCode code = idempotent ? ErrorCode::DeadlineExceeded : ErrorCode::OutcomeUnknown;
        this->refuse(request, Refusal(code, ran).retryAfter(retryDelay), now, actions);
    }
}

void CallHandler::expireRuns(const Now& now, Actions& actions)
{
    for (const RequestId& request : this->runTimeouts.takeDue(now.monotonic())) {
        this->runner.cancel(request, now, actions);
        this->finish(request, Refusal(ErrorCode::OutcomeUnknown, Ran::Unknown), now, actions);
    }
}

}
