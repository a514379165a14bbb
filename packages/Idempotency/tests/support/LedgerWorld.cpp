#include "LedgerWorld.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace filbertspoke::testing {

using namespace std::chrono_literals;

namespace {

LedgerLimits smallLimits()
{
    LedgerLimits limits;
    limits.window = 60s;
    limits.clockTolerance = 1s;
    limits.settleTime = 5s;
    limits.silence = 500ms;
    limits.markInterval = 10s;
    limits.maximumBatch = 2;
    return limits;
}

}

Now World::nowOf(std::size_t daemon) const
{
    return { this->now.monotonic(), this->now.wall() + 400ms * static_cast<int>(daemon) };
}

void World::start(std::size_t daemon)
{
    Process& process = this->processes[daemon];
    process.incarnation = ++this->lastIncarnation;
    process.paused = false;
    process.ledger = std::make_unique<KeyLedger>(KeyHolder { DaemonId("d" + std::to_string(daemon)), process.incarnation }, smallLimits());
    this->take(daemon, process.ledger->wake(this->nowOf(daemon)));
}

void World::crash(std::size_t daemon)
{
    std::erase_if(this->open, [&](const auto& entry) { return entry.second.daemon == daemon; });
    this->start(daemon);
}

std::string World::keyText(unsigned which)
{
    constexpr std::size_t keysInPlay = 3;
    if (this->keys.size() < keysInPlay || which % 8 == 0) {
        std::string text = CallerKey::lowerBound(this->now.wall());
        text[14] = '7';
        text[19] = '8';
        const std::string serial = std::to_string(this->keys.size());
        text.replace(text.size() - serial.size(), serial.size(), serial);
        this->keys.push_back(text);
    }
    return this->keys[this->keys.size() - 1 - which % std::min(this->keys.size(), keysInPlay)];
}

void World::ask(std::size_t daemon, const Happening& happening)
{
    const std::string key = this->keyText(happening.which);
    Truth& truth = this->truths[key];
    const RequestId request("r" + std::to_string(++this->requests));
    const std::string digest = happening.amount % 16 == 0 ? "other" : "usual";
    const TimePoint deadline = this->now.monotonic() + 500ms * (1 + happening.amount % 20);
    const Asked asked { key, digest, daemon, truth.asked == 0 && happening.amount % 2 == 0, truth.asked, deadline };
    ++truth.asked;
    this->open[request] = asked;
    this->take(daemon, this->processes[daemon].ledger->begin({ request, key, digest, deadline, asked.firstUse }, this->nowOf(daemon)));
}

void World::leave(const Happening& happening)
{
    if (this->open.empty())
        return;
    const auto request = std::next(this->open.begin(), happening.which % this->open.size());
    const RequestId id = request->first;
    const std::size_t daemon = request->second.daemon;
    if (this->processes[daemon].paused)
        return;
    this->open.erase(request);
    this->take(daemon, this->processes[daemon].ledger->leave(id, this->nowOf(daemon)));
}

void World::pass(Duration time)
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
                this->take(i, this->processes[i].ledger->wake(this->nowOf(i)));
        }
    }
}

void World::answerLog(const LogMessage& message)
{
    const std::size_t daemon = message.daemon;
    const bool listening = this->isAlive(daemon, message.incarnation);
    KeyLedger& ledger = *this->processes[daemon].ledger;
    if (const auto* append = std::get_if<AppendKeyRecords>(&message.request)) {
        this->log.insert(this->log.end(), append->payloads.begin(), append->payloads.end());
        if (listening)
            this->take(daemon, ledger.appended(append->append, this->nowOf(daemon)));
        return;
    }
    if (!listening)
        return;
    constexpr LogOffset readSize = 3;
    const LogOffset first = std::max(std::get<ReadKeyRecords>(message.request).from, this->oldest);
    std::vector<LogRecord> records;
    for (LogOffset offset = first; offset < std::min<LogOffset>(this->log.size(), first + readSize); ++offset)
        records.push_back({ "actions", offset, this->log[offset] });
    this->take(daemon, ledger.recordsRead(records, this->oldest, this->log.size(), this->nowOf(daemon)));
}

void World::failLog(const LogMessage& message, bool mayBeStored)
{
    if (!this->isAlive(message.daemon, message.incarnation))
        return;
    KeyLedger& ledger = *this->processes[message.daemon].ledger;
    const auto* append = std::get_if<AppendKeyRecords>(&message.request);
    const Now time = this->nowOf(message.daemon);
    this->take(message.daemon, append ? ledger.appendFailed(append->append, mayBeStored, time) : ledger.readFailed(time));
}

void World::logMessage(Kind kind, unsigned which)
{
    if (this->messages.empty())
        return;
    const auto position = this->messages.begin() + which % std::min<std::size_t>(this->messages.size(), 4);
    const LogMessage message = *position;
    if (this->isAlive(message.daemon, message.incarnation) && this->processes[message.daemon].paused)
        return;
    this->messages.erase(position);
    const auto* append = std::get_if<AppendKeyRecords>(&message.request);
    if (kind == Kind::LogAnswers && !this->outage) {
        this->answerLog(message);
    } else if (kind == Kind::LogAnswerLost && append && !this->outage) {
        this->log.insert(this->log.end(), append->payloads.begin(), append->payloads.end());
        this->failLog(message, true);
    } else if (kind == Kind::LogTakesLate && append) {
        this->lateRecords.push_back(append->payloads);
        this->failLog(message, true);
    } else {
        this->failLog(message, false);
    }
}

void World::service(Kind kind, unsigned which)
{
    if (this->sends.empty())
        return;
    const auto position = this->sends.begin() + which % this->sends.size();
    const Send send = *position;
    const bool listening = this->isAlive(send.daemon, send.incarnation);
    if (listening && this->processes[send.daemon].paused)
        return;
    this->sends.erase(position);
    Truth& truth = this->truths[send.key];
    const bool runs = kind == Kind::ServiceRuns || kind == Kind::ServiceRunsUnheard;
    if (runs) {
        ++truth.effects;
        truth.outcome = "outcome " + std::to_string(++this->outcomes);
        truth.digest = send.digest;
        RC_ASSERT(truth.effects == 1u);
    }
    if (kind == Kind::ServiceDidNotRun)
        --truth.live;
    if (!listening)
        return;
    KeyLedger& ledger = *this->processes[send.daemon].ledger;
    const Now time = this->nowOf(send.daemon);
    if (kind == Kind::ServiceRuns)
        this->take(send.daemon, ledger.finish(send.key, { 201, "text/plain", truth.outcome, false }, time));
    else if (kind == Kind::ServiceDidNotRun)
        this->take(send.daemon, ledger.release(send.key, Refusal(ErrorCode::EndpointUnreachable, Ran::No), time));
    else
        this->take(send.daemon, ledger.fail(send.key, time));
}

void World::take(std::size_t daemon, const LedgerOutputs& outputs)
{
    const std::uint64_t incarnation = this->processes[daemon].incarnation;
    for (const LedgerOutput& output : outputs) {
        std::visit(Overloaded {
                       [&](const AppendKeyRecords& append) { this->messages.push_back({ daemon, incarnation, append }); },
                       [&](const ReadKeyRecords& read) { this->messages.push_back({ daemon, incarnation, read }); },
                       [&](const RunAction& run) {
                           RC_ASSERT(this->open.contains(run.request));
                           Truth& truth = this->truths[run.key];
                           RC_ASSERT(truth.live == 0u);
                           ++truth.live;
                           this->ran.insert(run.request);
                           this->sends.push_back({ daemon, incarnation, run.key, this->open[run.request].digest });
                       },
                       [&](const ReturnOutcome& answer) {
                           RC_ASSERT(this->open.contains(answer.request));
                           this->checkOutcome(this->open[answer.request], answer.outcome);
                           this->open.erase(answer.request);
                       },
                       [&](const RefuseKeyedRequest& answer) {
                           RC_ASSERT(this->open.contains(answer.request));
                           if (answer.refusal.ran() == Ran::No && this->ran.contains(answer.request))
                               RC_ASSERT(answer.refusal.code() == ErrorCode::EndpointUnreachable);
                           this->checkRefusal(this->open[answer.request], answer.refusal);
                           this->open.erase(answer.request);
                       },
                   },
            output);
    }
}

void World::checkOutcome(const Asked& asked, const StoredOutcome& outcome) const
{
    const Truth& truth = this->truths.at(asked.key);
    RC_ASSERT(truth.effects == 1u);
    RC_ASSERT(truth.outcome == outcome.body);
    RC_ASSERT(truth.digest == asked.digest);
}

void World::checkRefusal(const Asked& asked, const Refusal& refusal) const
{
    if (refusal.ran() != Ran::No)
        return;
    const Truth& truth = this->truths.at(asked.key);
    // A caller that says "first use" answers for the requests that it sends meanwhile.
    const bool callerMixes = asked.firstUse && truth.asked > 1;
    const bool otherRan = refusal.code() == ErrorCode::KeyReused && truth.digest != asked.digest;
    if (callerMixes || otherRan)
        return;
    RC_ASSERT(truth.effects == 0u);
    RC_ASSERT(refusal.code() == ErrorCode::KeyReused || truth.live == 0u);
}

void World::apply(const Happening& happening)
{
    const std::size_t daemon = happening.which % daemonCount;
    Process& process = this->processes[daemon];
    switch (happening.kind) {
    case Kind::Ask:
        if (!process.paused)
            this->ask(daemon, happening);
        return;
    case Kind::Leave:
        return this->leave(happening);
    case Kind::Pass:
        return this->pass(happening.amount % 16 == 0 ? Duration(20s) : happening.amount % 4 == 0 ? Duration(1s)
                                                                                                 : Duration(20ms));
    case Kind::LogAnswers:
    case Kind::LogAnswerLost:
    case Kind::LogRefuses:
    case Kind::LogTakesLate:
        return this->logMessage(happening.kind, happening.amount);
    case Kind::LateRecordLands:
        if (!this->lateRecords.empty()) {
            this->log.insert(this->log.end(), this->lateRecords.front().begin(), this->lateRecords.front().end());
            this->lateRecords.pop_front();
        }
        return;
    case Kind::ServiceRuns:
    case Kind::ServiceRunsUnheard:
    case Kind::ServiceDidNotRun:
    case Kind::ServiceSilent:
        return this->service(happening.kind, happening.amount);
    case Kind::Pause:
        process.paused = true;
        return;
    case Kind::Resume:
        process.paused = false;
        return;
    case Kind::Crash:
        return this->crash(daemon);
    case Kind::Truncate:
        this->oldest = std::min<LogOffset>(this->log.size(), this->oldest + happening.amount % 8);
        return;
    case Kind::Outage:
        this->outage = !this->outage;
        return;
    case Kind::Last:
        return;
    }
}

// Ends all faults; then every request must get its answer.
void World::heal()
{
    this->outage = false;
    for (Process& process : this->processes)
        process.paused = false;
    for (int round = 0; round < 400; ++round) {
        while (!this->messages.empty())
            this->logMessage(Kind::LogAnswers, 0);
        while (!this->sends.empty())
            this->service(Kind::ServiceRuns, 0);
        this->pass(50ms);
    }
    RC_ASSERT(this->open.empty());
}

}
