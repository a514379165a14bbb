#include "LedgerSimulation.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace filbertspoke::testing {

using namespace std::chrono_literals;

namespace {

LedgerLimits smallLimits()
{
    LedgerLimits limits;
    limits.keyLifetime = 60s;
    limits.maximumClockSkew = 1s;
    limits.abandonedClaimTimeout = 5s;
    limits.idleReadInterval = 500ms;
    limits.markerInterval = 10s;
    limits.maximumBatchRecords = 2;
    return limits;
}

}

Now LedgerSimulation::nowOf(std::size_t daemon) const
{
    return { this->now.monotonic(), this->now.wall() + 400ms * static_cast<int>(daemon) };
}

void LedgerSimulation::start(std::size_t daemon)
{
    Process& process = this->processes[daemon];
    process.incarnation = ++this->lastIncarnation;
    process.paused = false;
    process.ledger = std::make_unique<KeyLedger>(KeyHolder { DaemonId("d" + std::to_string(daemon)), process.incarnation }, smallLimits());
    this->handle(daemon, process.ledger->wake(this->nowOf(daemon)));
}

void LedgerSimulation::crash(std::size_t daemon)
{
    std::erase_if(this->pendingRequests, [&](const auto& entry) { return entry.second.daemon == daemon; });
    this->start(daemon);
}

std::string LedgerSimulation::chooseKey(unsigned selector)
{
    constexpr std::size_t activeKeys = 3;
    if (this->keys.size() < activeKeys || selector % 8 == 0) {
        std::string text = CallerKey::lowerBound(this->now.wall());
        text[14] = '7';
        text[19] = '8';
        const std::string serial = std::to_string(this->keys.size());
        text.replace(text.size() - serial.size(), serial.size(), serial);
        this->keys.push_back(text);
    }
    return this->keys[this->keys.size() - 1 - selector % std::min(this->keys.size(), activeKeys)];
}

void LedgerSimulation::sendRequest(std::size_t daemon, const LedgerEvent& event)
{
    const std::string key = this->chooseKey(event.target);
    KeyGroundTruth& truth = this->groundTruths[key];
    const RequestId request("r" + std::to_string(++this->requestsSent));
    const std::string digest = event.parameter % 16 == 0 ? "other" : "usual";
    const TimePoint deadline = this->now.monotonic() + 500ms * (1 + event.parameter % 20);
    const PendingRequest pending { key, digest, daemon, truth.requestCount == 0 && event.parameter % 2 == 0, truth.requestCount, deadline };
    ++truth.requestCount;
    this->pendingRequests[request] = pending;
    this->handle(daemon, this->processes[daemon].ledger->begin({ request, key, digest, deadline, pending.firstUse }, this->nowOf(daemon)));
}

void LedgerSimulation::disconnectCaller(const LedgerEvent& event)
{
    if (this->pendingRequests.empty())
        return;
    const auto request = std::next(this->pendingRequests.begin(), event.target % this->pendingRequests.size());
    const RequestId id = request->first;
    const std::size_t daemon = request->second.daemon;
    if (this->processes[daemon].paused)
        return;
    this->pendingRequests.erase(request);
    this->handle(daemon, this->processes[daemon].ledger->leave(id, this->nowOf(daemon)));
}

void LedgerSimulation::advanceTime(Duration time)
{
    const TimePoint end = this->now.monotonic() + time;
    while (this->now.monotonic() < end) {
        TimePoint next = end;
        for (const Process& process : this->processes) {
            if (!process.paused)
                next = std::min(next, process.ledger->nextWake());
        }
        next = std::max(next, this->now.monotonic() + 1ms);
        this->now = this->now.after(next - this->now.monotonic());
        for (std::size_t i = 0; i < daemonCount; ++i) {
            if (!this->processes[i].paused)
                this->handle(i, this->processes[i].ledger->wake(this->nowOf(i)));
        }
    }
}

void LedgerSimulation::completeLogMessage(const LogMessage& message)
{
    const std::size_t daemon = message.daemon;
    const bool alive = this->isAlive(daemon, message.incarnation);
    KeyLedger& ledger = *this->processes[daemon].ledger;
    if (const auto* append = std::get_if<AppendKeyRecords>(&message.request)) {
        this->log.insert(this->log.end(), append->payloads.begin(), append->payloads.end());
        if (alive)
            this->handle(daemon, ledger.appended(append->appendId, this->nowOf(daemon)));
        return;
    }
    if (!alive)
        return;
    constexpr LogOffset readSize = 3;
    const LogOffset first = std::max(std::get<ReadKeyRecords>(message.request).from, this->oldest);
    std::vector<LogRecord> records;
    for (LogOffset offset = first; offset < std::min<LogOffset>(this->log.size(), first + readSize); ++offset)
        records.push_back({ "actions", offset, this->log[offset] });
    this->handle(daemon, ledger.recordsRead(records, this->oldest, this->log.size(), this->nowOf(daemon)));
}

void LedgerSimulation::failLogMessage(const LogMessage& message, bool mayBeStored)
{
    if (!this->isAlive(message.daemon, message.incarnation))
        return;
    KeyLedger& ledger = *this->processes[message.daemon].ledger;
    const auto* append = std::get_if<AppendKeyRecords>(&message.request);
    const Now time = this->nowOf(message.daemon);
    this->handle(message.daemon, append ? ledger.appendFailed(append->appendId, mayBeStored, time) : ledger.readFailed(time));
}

void LedgerSimulation::processLogMessage(LedgerEventKind kind, unsigned index)
{
    if (this->logMessages.empty())
        return;
    const auto position = this->logMessages.begin() + index % std::min<std::size_t>(this->logMessages.size(), 4);
    const LogMessage message = *position;
    if (this->isAlive(message.daemon, message.incarnation) && this->processes[message.daemon].paused)
        return;
    this->logMessages.erase(position);
    const auto* append = std::get_if<AppendKeyRecords>(&message.request);
    if (kind == LedgerEventKind::LogResponds && !this->outage) {
        this->completeLogMessage(message);
    } else if (kind == LedgerEventKind::LogResponseLost && append && !this->outage) {
        this->log.insert(this->log.end(), append->payloads.begin(), append->payloads.end());
        this->failLogMessage(message, true);
    } else if (kind == LedgerEventKind::LogAppendDelayed && append) {
        this->delayedAppends.push_back(append->payloads);
        this->failLogMessage(message, true);
    } else {
        this->failLogMessage(message, false);
    }
}

void LedgerSimulation::processSend(LedgerEventKind kind, unsigned index)
{
    if (this->inFlightSends.empty())
        return;
    const auto position = this->inFlightSends.begin() + index % this->inFlightSends.size();
    const Send send = *position;
    const bool alive = this->isAlive(send.daemon, send.incarnation);
    if (alive && this->processes[send.daemon].paused)
        return;
    this->inFlightSends.erase(position);
    KeyGroundTruth& truth = this->groundTruths[send.key];
    const bool runs = kind == LedgerEventKind::ServiceRuns || kind == LedgerEventKind::ServiceResponseLost;
    if (runs) {
        ++truth.executions;
        truth.outcome = "outcome " + std::to_string(++this->outcomesProduced);
        truth.digest = send.digest;
        RC_ASSERT(truth.executions == 1u);
    }
    if (kind == LedgerEventKind::ServiceDidNotRun)
        --truth.unresolvedSends;
    if (!alive)
        return;
    KeyLedger& ledger = *this->processes[send.daemon].ledger;
    const Now time = this->nowOf(send.daemon);
    if (kind == LedgerEventKind::ServiceRuns)
        this->handle(send.daemon, ledger.finish(send.key, { 201, "text/plain", truth.outcome, false }, time));
    else if (kind == LedgerEventKind::ServiceDidNotRun)
        this->handle(send.daemon, ledger.release(send.key, Refusal(ErrorCode::EndpointUnreachable, Ran::No), time));
    else
        this->handle(send.daemon, ledger.fail(send.key, time));
}

void LedgerSimulation::handle(std::size_t daemon, const LedgerOutputs& outputs)
{
    const std::uint64_t incarnation = this->processes[daemon].incarnation;
    for (const LedgerOutput& output : outputs) {
        std::visit(Overloaded {
                       [&](const AppendKeyRecords& append) { this->logMessages.push_back({ daemon, incarnation, append }); },
                       [&](const ReadKeyRecords& read) { this->logMessages.push_back({ daemon, incarnation, read }); },
                       [&](const RunAction& run) {
                           RC_ASSERT(this->pendingRequests.contains(run.request));
                           KeyGroundTruth& truth = this->groundTruths[run.key];
                           RC_ASSERT(truth.unresolvedSends == 0u);
                           ++truth.unresolvedSends;
                           this->startedRequests.insert(run.request);
                           this->inFlightSends.push_back({ daemon, incarnation, run.key, this->pendingRequests[run.request].digest });
                       },
                       [&](const ReturnOutcome& answer) {
                           RC_ASSERT(this->pendingRequests.contains(answer.request));
                           this->checkOutcome(this->pendingRequests[answer.request], answer.outcome);
                           this->pendingRequests.erase(answer.request);
                       },
                       [&](const RefuseKeyedRequest& answer) {
                           RC_ASSERT(this->pendingRequests.contains(answer.request));
                           if (answer.refusal.ran() == Ran::No && this->startedRequests.contains(answer.request))
                               RC_ASSERT(answer.refusal.code() == ErrorCode::EndpointUnreachable);
                           this->checkRefusal(this->pendingRequests[answer.request], answer.refusal);
                           this->pendingRequests.erase(answer.request);
                       },
                   },
            output);
    }
}

void LedgerSimulation::checkOutcome(const PendingRequest& pending, const StoredOutcome& outcome) const
{
    const KeyGroundTruth& truth = this->groundTruths.at(pending.key);
    RC_ASSERT(truth.executions == 1u);
    RC_ASSERT(truth.outcome == outcome.body);
    RC_ASSERT(truth.digest == pending.digest);
}

void LedgerSimulation::checkRefusal(const PendingRequest& pending, const Refusal& refusal) const
{
    if (refusal.ran() != Ran::No)
        return;
    const KeyGroundTruth& truth = this->groundTruths.at(pending.key);
    // A caller that states a first use must not send further requests with the key, so their effects do not count.
    const bool concurrentFirstUse = pending.firstUse && truth.requestCount > 1;
    const bool otherRan = refusal.code() == ErrorCode::KeyReused && truth.digest != pending.digest;
    if (concurrentFirstUse || otherRan)
        return;
    RC_ASSERT(truth.executions == 0u);
    RC_ASSERT(refusal.code() == ErrorCode::KeyReused || truth.unresolvedSends == 0u);
}

void LedgerSimulation::apply(const LedgerEvent& event)
{
    const std::size_t daemon = event.target % daemonCount;
    Process& process = this->processes[daemon];
    switch (event.kind) {
    case LedgerEventKind::SendRequest:
        if (!process.paused)
            this->sendRequest(daemon, event);
        return;
    case LedgerEventKind::CallerDisconnects:
        return this->disconnectCaller(event);
    case LedgerEventKind::AdvanceTime:
        return this->advanceTime(event.parameter % 16 == 0 ? Duration(20s) : event.parameter % 4 == 0 ? Duration(1s)
                                                                                                      : Duration(20ms));
    case LedgerEventKind::LogResponds:
    case LedgerEventKind::LogResponseLost:
    case LedgerEventKind::LogRejects:
    case LedgerEventKind::LogAppendDelayed:
        return this->processLogMessage(event.kind, event.parameter);
    case LedgerEventKind::DelayedAppendArrives:
        if (!this->delayedAppends.empty()) {
            this->log.insert(this->log.end(), this->delayedAppends.front().begin(), this->delayedAppends.front().end());
            this->delayedAppends.pop_front();
        }
        return;
    case LedgerEventKind::ServiceRuns:
    case LedgerEventKind::ServiceResponseLost:
    case LedgerEventKind::ServiceDidNotRun:
    case LedgerEventKind::ServiceTimesOut:
        return this->processSend(event.kind, event.parameter);
    case LedgerEventKind::Pause:
        process.paused = true;
        return;
    case LedgerEventKind::Resume:
        process.paused = false;
        return;
    case LedgerEventKind::Crash:
        return this->crash(daemon);
    case LedgerEventKind::TruncateLog:
        this->oldest = std::min<LogOffset>(this->log.size(), this->oldest + event.parameter % 8);
        return;
    case LedgerEventKind::ToggleOutage:
        this->outage = !this->outage;
        return;
    case LedgerEventKind::Count:
        return;
    }
}

void LedgerSimulation::recover()
{
    this->outage = false;
    for (Process& process : this->processes)
        process.paused = false;
    for (int round = 0; round < 400; ++round) {
        while (!this->logMessages.empty())
            this->processLogMessage(LedgerEventKind::LogResponds, 0);
        while (!this->inFlightSends.empty())
            this->processSend(LedgerEventKind::ServiceRuns, 0);
        this->advanceTime(50ms);
    }
    RC_ASSERT(this->pendingRequests.empty());
}

}
