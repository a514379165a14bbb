#include "CompletionHandler.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace filbertspoke::internal {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t maximumReplacements = 8;
constexpr Duration defaultStepTimeout = 1s;
constexpr Duration planningRetryDelay = 1s; // the endpoint view changes with every load report

std::string describe(const Chain& chain)
{
    std::ostringstream text;
    for (const ChainStage& stage : chain)
        text << (&stage == &chain.front() ? "" : " ") << stage.endpoint << stage.layers;
    return text.str();
}

std::string join(const std::vector<EndpointId>& endpoints)
{
    std::string text;
    for (const EndpointId& endpoint : endpoints)
        text += (text.empty() ? "" : " ") + endpoint.str();
    return text;
}

Ran ranState(const PipelineRun& run)
{
    return run.started() ? Ran::Yes : Ran::No;
}

WriteLog endedEarly(const RequestId& request, ErrorCode code, std::uint32_t tokens, const std::vector<EndpointId>& lost)
{
    return { WriteLog::Level::Warning, "completion-ended-early",
        { { "request", request.str() }, { "code", std::string(name(code)) }, { "tokens", std::to_string(tokens) }, { "lost", join(lost) } } };
}

CompletionSpec specOf(const CompletionReceived& event, const ModelConfiguration& model)
{
    return CompletionSpec::Builder(event.request)
        .model(model.id, model.version, model.layers)
        .prompt(splitTokens(event.prompt))
        .received(event.received)
        .maximumTokens(event.maximumTokens)
        .build();
}

}

void CompletionHandler::handle(const CompletionReceived& event, const Now& now, Actions& actions)
{
    if (this->completions.contains(event.request)) {
        // A refusal with this id would go to the caller of the request in progress.
        actions.push_back(count("requests_dropped_total", "duplicate-id"));
        return;
    }
    if (std::optional<Refusal> refusal = this->check(event)) {
        this->refuse(event.request, *refusal, now, actions);
        return;
    }
    const ModelConfiguration& model = *this->context.configuration->configuration.findModel(event.model);
    const TimePoint deadline = now.monotonic() + event.deadline.value_or(model.deadline);
    this->completions.emplace(event.request, Completion { PipelineRun(specOf(event, model)), {}, {}, 0, {} });
    if (event.received.size() >= event.maximumTokens) {
        actions.push_back(CompleteRequest { event.request, "length" });
        this->completions.erase(event.request);
        return;
    }
    this->deadlines.set(event.request, deadline);
    this->admit(event, deadline, now, actions);
}

std::optional<Refusal> CompletionHandler::check(const CompletionReceived& event) const
{
    if (this->context.draining)
        return Refusal(ErrorCode::Draining, Ran::No).retryAfter(planningRetryDelay);
    if (!this->context.configuration)
        return Refusal(ErrorCode::ConfigurationUnavailable, Ran::No).retryAfter(planningRetryDelay);
    const Configuration& configuration = this->context.configuration->configuration;
    if (!configuration.findAccount(event.account))
        return Refusal(ErrorCode::UnknownAccount, Ran::No);
    const ModelConfiguration* model = configuration.findModel(event.model);
    if (!model)
        return Refusal(ErrorCode::UnknownModel, Ran::No);
    if (event.maximumTokens == 0 || event.maximumTokens > model->maximumTokens)
        return Refusal(ErrorCode::MalformedRequest, Ran::No).withDetail("max_tokens must be from 1 to " + std::to_string(model->maximumTokens));
    if (splitTokens(event.prompt).empty())
        return Refusal(ErrorCode::MalformedRequest, Ran::No).withDetail("prompt holds no token");
    return std::nullopt;
}

AdmissionController& CompletionHandler::currentAdmission()
{
    const ConfigurationInForce& inForce = *this->context.configuration;
    if (!this->admission)
        this->admission.emplace(inForce.configuration, AdmissionLimits {});
    else if (this->admissionRevision != inForce.revision)
        this->admission->configure(inForce.configuration);
    this->admissionRevision = inForce.revision;
    this->admission->limiter().setDaemons(this->context.listedDaemons);
    return *this->admission;
}

void CompletionHandler::admit(const CompletionReceived& event, TimePoint deadline, const Now& now, Actions& actions)
{
    const double cost = event.maximumTokens - event.received.size();
    const AdmissionRequest request { event.request, event.account, event.priority, deadline, cost, event.model };
    AdmissionController& admission = this->currentAdmission();
    this->limitConcurrency(event.model);
    const AdmissionDecision decision = admission.offer(request, now.monotonic());
    std::visit(Overloaded {
                   [&](const Admitted&) { this->plan(*this->find(event.request), now, actions); },
                   [&](const Queued&) { this->context.traces.add(event.request, now, "queued", event.account.str()); },
                   [&](const Refusal& refusal) { this->refuse(event.request, refusal, now, actions); } },
        decision);
}

void CompletionHandler::startQueued(const Now& now, Actions& actions)
{
    if (this->admission)
        this->planAll(this->admission->startWaiting(now.monotonic()), now, actions);
}

void CompletionHandler::limitConcurrency(const ModelId& id)
{
    const ModelConfiguration* model = this->context.configuration->configuration.findModel(id);
    if (!model)
        return;
    if (const std::optional<std::uint32_t> limit = this->concurrency.limit(*model, this->context.endpoints, this->context.daemons))
        this->admission->setConcurrency(id, *limit);
}

void CompletionHandler::planAll(const std::vector<RequestId>& requests, const Now& now, Actions& actions)
{
    for (const RequestId& request : requests) {
        if (Completion* completion = this->find(request))
            this->plan(*completion, now, actions);
    }
}

Result<Chain> CompletionHandler::findChain(const Completion& completion, const std::vector<EndpointId>& excluded, const Now& now)
{
    const CompletionSpec& spec = completion.run.spec();
    PlanRequest::Builder builder(spec.model(), spec.version());
    builder.layers(spec.layers());
    builder.tokens(static_cast<std::uint32_t>(spec.promptTokens().size()) + completion.run.tokenCount(), spec.maximumTokens() - completion.run.tokenCount());
    for (const EndpointId& endpoint : excluded)
        builder.exclude(endpoint);
    return this->context.planner.plan(builder.build(), this->context.endpoints, this->context.random, now.monotonic());
}

Result<Chain> CompletionHandler::findChainWithLate(Completion& completion, const Now& now)
{
    std::vector<EndpointId> excluded = completion.excluded;
    for (const EndpointId& late : completion.late)
        std::erase(excluded, late);
    Result<Chain> chain = this->findChain(completion, excluded, now);
    if (chain) {
        completion.excluded = std::move(excluded);
        completion.late.clear();
    }
    return chain;
}

void CompletionHandler::plan(Completion& completion, const Now& now, Actions& actions)
{
    const CompletionSpec& spec = completion.run.spec();
    Result<Chain> chain = this->findChain(completion, completion.excluded, now);
    if (!chain && !completion.late.empty())
        chain = this->findChainWithLate(completion, now);
    if (!chain) {
        const Refusal refusal(ErrorCode::NoPipeline, ranState(completion.run));
        this->refuse(spec.request(), refusal.retryAfter(planningRetryDelay), now, actions);
        return;
    }
    this->context.traces.add(spec.request(), now, "planned", describe(*chain));
    this->context.endpoints.chainClosed(completion.run.chain());
    this->context.endpoints.chainOpened(*chain);
    this->carryOut(completion, completion.run.assign(*chain), now, actions);
}

void CompletionHandler::handle(const StepAnswered& event, const Now& now, Actions& actions)
{
    Completion* completion = this->find(event.receipt.step().request());
    if (!completion) {
        actions.push_back(count("answers_dropped_total", "no-request"));
        return;
    }
    const bool wasOutstanding = completion->run.outstanding() && completion->run.outstanding()->step.sequence() == event.receipt.step().sequence();
    const TimePoint sent = completion->stepSent;
    const RunOutputs outputs = completion->run.answered(event.endpoint, event.receipt);
    const bool dropped = std::holds_alternative<AnswerDropped>(outputs.front());
    if (event.receipt.status() == StepStatus::Draining)
        this->context.endpoints.markDraining(event.endpoint);
    if (wasOutstanding && !dropped)
        this->context.endpoints.workFinished(event.endpoint, now.monotonic() - sent, now.monotonic(), event.receipt.step().count());
    this->carryOut(*completion, outputs, now, actions);
}

void CompletionHandler::handle(const StepFailed& event, const Now& now, Actions& actions)
{
    Completion* completion = this->find(event.request);
    if (!completion)
        return;
    const RunOutputs outputs = completion->run.stepFailed(event.endpoint, event.sequence);
    if (outputs.empty())
        return;
    this->context.endpoints.workFailed(event.endpoint, now.monotonic());
    this->carryOut(*completion, outputs, now, actions);
}

void CompletionHandler::endpointLost(const EndpointId& endpoint, const Now& now, Actions& actions)
{
    std::vector<RequestId> requests;
    for (const auto& [request, completion] : this->completions)
        requests.push_back(request);
    std::sort(requests.begin(), requests.end()); // the order of an unordered_map differs between builds; actions must not
    for (const RequestId& request : requests) {
        if (Completion* completion = this->find(request)) {
            const std::optional<StepDue> outstanding = completion->run.outstanding();
            const RunOutputs outputs = completion->run.endpointLost(endpoint);
            if (!outputs.empty() && outstanding)
                this->releaseOutstandingStep(outstanding->endpoint, endpoint, now);
            this->carryOut(*completion, outputs, now, actions);
        }
    }
}

void CompletionHandler::releaseOutstandingStep(const EndpointId& target, const EndpointId& lost, const Now& now)
{
    if (target == lost)
        this->context.endpoints.workFailed(target, now.monotonic());
    else
        this->context.endpoints.workCancelled(target, now.monotonic());
}

void CompletionHandler::handle(const CallerDisconnected& event, const Now& now, Actions& actions)
{
    if (!this->find(event.request))
        return;
    this->context.traces.add(event.request, now, "cancelled", "caller-gone");
    actions.push_back(count("completions_total", "caller-gone"));
    this->end(event.request, now, actions);
}

void CompletionHandler::handle(const Tick&, const Now& now, Actions& actions)
{
    this->expireSteps(now, actions);
    for (const RequestId& request : this->deadlines.takeDue(now.monotonic())) {
        if (Completion* completion = this->find(request))
            this->refuse(request, Refusal(ErrorCode::DeadlineExceeded, ranState(completion->run)), now, actions);
    }
    if (!this->admission)
        return;
    for (const RefusedRequest& refused : this->admission->expire(now.monotonic()))
        this->refuse(refused.request, refused.refusal, now, actions);
}

void CompletionHandler::expireSteps(const Now& now, Actions& actions)
{
    for (const RequestId& request : this->stepTimeouts.takeDue(now.monotonic())) {
        Completion* completion = this->find(request);
        if (completion && completion->run.outstanding())
            this->failTimedOutStep(*completion, now, actions);
    }
}

void CompletionHandler::failTimedOutStep(Completion& completion, const Now& now, Actions& actions)
{
    const StepDue lost = *completion.run.outstanding();
    actions.push_back(count("step_timeouts_total"));
    this->context.endpoints.workFailed(lost.endpoint, now.monotonic());
    completion.late.push_back(lost.endpoint);
    this->carryOut(completion, completion.run.stepFailed(lost.endpoint, lost.step.sequence()), now, actions);
}

std::optional<TimePoint> CompletionHandler::nextWake() const
{
    const std::optional<TimePoint> own = earlier(this->deadlines.next(), this->stepTimeouts.next());
    return this->admission ? earlier(own, this->admission->nextWake()) : own;
}

void CompletionHandler::abandon(const Now& now, Actions& actions)
{
    std::vector<RequestId> requests;
    for (const auto& [request, completion] : this->completions)
        requests.push_back(request);
    std::sort(requests.begin(), requests.end());
    for (const RequestId& request : requests) {
        const Refusal refusal(ErrorCode::Draining, ranState(this->find(request)->run));
        this->refuse(request, refusal.retryAfter(planningRetryDelay), now, actions);
    }
}

void CompletionHandler::carryOut(Completion& completion, const RunOutputs& outputs, const Now& now, Actions& actions)
{
    const RequestId request = completion.run.spec().request();
    for (const RunOutput& output : outputs) {
        std::visit(Overloaded {
                       [&](const StepDue& due) { this->sendStep(completion, due, now, actions); },
                       [&](const TokenReady& token) { actions.push_back(EmitToken { request, token.index, token.text }); },
                       [&](const CacheReleased& release) { actions.push_back(CancelSteps { release.endpoint, request }); },
                       [&](const AnswerDropped&) { actions.push_back(count("answers_dropped_total", "not-outstanding")); },
                       [&](const RunFinished&) {},
                       [&](const ChainNeeded&) {} },
            output);
    }
    // RunFinished and ChainNeeded end or change the completion, so they are handled after all other outputs.
    for (const RunOutput& output : outputs) {
        if (std::holds_alternative<RunFinished>(output))
            this->finish(completion, now, actions);
        else if (const auto* needed = std::get_if<ChainNeeded>(&output))
            this->replaceChain(completion, *needed, now, actions);
    }
}

void CompletionHandler::sendStep(Completion& completion, const StepDue& due, const Now& now, Actions& actions)
{
    completion.stepSent = now.monotonic();
    const EndpointState* state = this->context.endpoints.find(due.endpoint);
    this->stepTimeouts.set(due.step.request(), now.monotonic() + (state ? state->answerTimeout(due.step.count()) : defaultStepTimeout));
    this->context.endpoints.workStarted(due.endpoint, now.monotonic());
    actions.push_back(SendStep { due.endpoint, due.step });
}

void CompletionHandler::replaceChain(Completion& completion, const ChainNeeded& needed, const Now& now, Actions& actions)
{
    const RequestId request = completion.run.spec().request();
    this->stepTimeouts.erase(request);
    this->context.traces.add(request, now, "stage-lost", needed.lost.str());
    actions.push_back(count("stages_lost_total"));
    if (needed.exclude)
        completion.excluded.push_back(needed.lost);
    if (++completion.replacements > maximumReplacements) {
        const Refusal refusal(ErrorCode::EndpointFailed, ranState(completion.run));
        this->refuse(request, refusal.retryAfter(planningRetryDelay), now, actions);
        return;
    }
    this->plan(completion, now, actions);
}

void CompletionHandler::finish(const Completion& completion, const Now& now, Actions& actions)
{
    const RequestId request = completion.run.spec().request();
    actions.push_back(CompleteRequest { request, "length" });
    actions.push_back(count("completions_total", "complete"));
    this->context.traces.add(request, now, "complete", std::to_string(completion.run.tokenCount()) + " tokens");
    this->end(request, now, actions);
}

// The id is passed by value because it may be a member of the completion that end() erases.
void CompletionHandler::refuse(RequestId request, const Refusal& refusal, const Now& now, Actions& actions)
{
    const Completion* completion = this->find(request);
    if (completion && completion->run.started() && refusal.code() != ErrorCode::Draining) // DrainHandler logs abandoned requests
        actions.push_back(endedEarly(request, refusal.code(), completion->run.tokenCount(), completion->excluded));
    actions.push_back(RefuseRequest { request, refusal });
    actions.push_back(count("completions_refused_total", std::string(name(refusal.code()))));
    this->context.traces.add(request, now, "refused", std::string(name(refusal.code())));
    this->end(request, now, actions);
}

void CompletionHandler::end(RequestId request, const Now& now, Actions& actions)
{
    auto entry = this->completions.find(request);
    if (entry == this->completions.end())
        return;
    PipelineRun& run = entry->second.run;
    this->context.endpoints.chainClosed(run.chain());
    if (run.outstanding())
        this->context.endpoints.workCancelled(run.outstanding()->endpoint, now.monotonic());
    for (const RunOutput& output : run.cancel()) {
        if (const auto* release = std::get_if<CacheReleased>(&output))
            actions.push_back(CancelSteps { release->endpoint, request });
    }
    const bool complete = run.tokenCount() >= run.spec().maximumTokens();
    const ModelId model = run.spec().model();
    this->completions.erase(entry);
    this->deadlines.erase(request);
    this->stepTimeouts.erase(request);
    if (!this->admission)
        return;
    this->limitConcurrency(model);
    this->planAll(complete ? this->admission->finished(request, now.monotonic()) : this->admission->cancel(request, now.monotonic()), now, actions);
}

CompletionHandler::Completion* CompletionHandler::find(const RequestId& request)
{
    auto entry = this->completions.find(request);
    return entry == this->completions.end() ? nullptr : &entry->second;
}

}
