#include "ConfigurationHandler.h"

#include <algorithm>
#include <utility>

namespace filbertspoke::internal {

namespace {

using namespace std::chrono_literals;

constexpr Duration askPeerInterval = 1s;

ReadRecords readFrom(LogOffset offset)
{
    return { std::string(configurationStream), offset };
}

std::string offsetText(LogOffset offset)
{
    return std::to_string(offset);
}

}

void ConfigurationHandler::start(const Now& now, Actions& actions)
{
    this->askPeerAt = now.monotonic() + askPeerInterval;
    actions.push_back(readFrom(0));
}

void ConfigurationHandler::handle(const RecordsRead& event, const Now& now, Actions& actions)
{
    if (event.stream != configurationStream)
        return;
    this->logReachable = true;
    this->warnOfReplacedLog(event, actions);
    this->fold.truncate(event.oldest);
    if (this->hasGapInReading(event)) {
        actions.push_back(readFrom(this->fold.next()));
        return;
    }
    for (const LogRecord& record : event.records)
        this->take(this->fold.apply(record), now, actions);
    if (this->fold.next() >= event.next || (event.records.empty() && this->fold.current()))
        this->caughtUp = true;
    this->bringIntoForce(now, actions);
    this->checkpoints.logRead(event.oldest, event.next, now.monotonic());
    this->appendCheckpointWhenDue(now, actions);
}

// Records that the log still holds but that were not delivered are read once more, and only once.
bool ConfigurationHandler::hasGapInReading(const RecordsRead& event)
{
    const LogOffset next = this->fold.next();
    if (event.records.empty() || next == 0 || event.records.front().offset <= next || this->readAgainFrom == next)
        return false;
    this->readAgainFrom = next;
    return true;
}

void ConfigurationHandler::warnOfReplacedLog(const RecordsRead& event, Actions& actions)
{
    if (event.next >= this->fold.appliedTo() || this->replacedLogReported)
        return;
    this->replacedLogReported = true;
    actions.push_back(WriteLog { WriteLog::Level::Error, "configuration-log-replaced", { { "next", offsetText(event.next) }, { "expected", offsetText(this->fold.appliedTo()) } } });
    actions.push_back(internal::count("configuration_log_replaced_total"));
}

void ConfigurationHandler::take(const std::vector<AuditEntry>& entries, const Now& now, Actions& actions)
{
    for (const AuditEntry& entry : entries) {
        this->count(entry, actions);
        if (this->caughtUp)
            this->write(entry, actions);
        const auto* read = std::get_if<CheckpointRead>(&entry.outcome);
        if (read && (read->use == CheckpointUse::Adopted || read->use == CheckpointUse::NotNeeded))
            this->checkpoints.seen(read->next, now.monotonic());
    }
}

void ConfigurationHandler::count(const AuditEntry& entry, Actions& actions) const
{
    const std::string kind = std::visit(Overloaded {
                                            [](const ChangeAccepted&) { return std::string("accepted"); },
                                            [](const ChangeRefused& refused) { return std::string(name(refused.reason)); },
                                            [](const ChangeUndecided&) { return std::string("undecided"); },
                                            [](const CheckpointRead& read) { return "checkpoint-" + std::string(name(read.use)); },
                                            [](const RecordSkipped& skipped) { return std::string(name(skipped.reason)); } },
        entry.outcome);
    actions.push_back(internal::count("configuration_records_total", kind));
}

void ConfigurationHandler::write(const AuditEntry& entry, Actions& actions) const
{
    const auto* read = std::get_if<CheckpointRead>(&entry.outcome);
    const bool expected = std::holds_alternative<ChangeAccepted>(entry.outcome) || (read && read->use != CheckpointUse::Disagrees && read->use != CheckpointUse::Invalid);
    const WriteLog::Level level = expected ? WriteLog::Level::Info : WriteLog::Level::Warning;
    actions.push_back(WriteLog { level, "configuration-record", { { "offset", offsetText(entry.offset) }, { "outcome", describe(entry) } } });
}

void ConfigurationHandler::bringIntoForce(const Now& now, Actions& actions)
{
    const std::map<std::string, LogOffset> revisions = this->fold.revisions();
    if (!this->fold.inForce() || revisions == this->revisionsInForce)
        return;
    for (const auto& [scope, revision] : revisions) {
        const auto before = this->revisionsInForce.find(scope);
        if (before != this->revisionsInForce.end() && before->second == revision)
            continue;
        this->reporter.take(revision, now);
        actions.push_back(WriteLog { WriteLog::Level::Info, "configuration-in-force", { { "revision", offsetText(revision) }, { "scope", scope }, { "hash", this->fold.findScope(scope)->approval.hash } } });
    }
    this->revisionsInForce = revisions;
    this->context.configuration = this->fold.inForce();
}

void ConfigurationHandler::handle(const ReadFailed& event, const Now&, Actions&)
{
    if (event.stream == configurationStream)
        this->logReachable = false;
}

bool ConfigurationHandler::canAppendCheckpoint() const
{
    return this->logReachable && this->fold.current() && !this->revisionsInForce.empty();
}

void ConfigurationHandler::appendCheckpointWhenDue(const Now& now, Actions& actions)
{
    if (!this->canAppendCheckpoint() || !this->checkpoints.takeDue(now.monotonic()))
        return;
    const std::optional<ConfigurationSnapshot> snapshot = this->fold.snapshot();
    if (!snapshot)
        return;
    const ConfigurationCheckpoint checkpoint { this->context.identity.id, now.wall(), *snapshot };
    actions.push_back(AppendRecords { this->context.nextAppend++, std::string(configurationStream), { configurationRecordJson(checkpoint) } });
}

void ConfigurationHandler::appendReportWhenDue(const Now& now, Actions& actions)
{
    std::vector<RevisionInForce> taken = this->reporter.takeDue(now.monotonic());
    if (taken.empty())
        return;
    this->reportAppend = this->context.nextAppend++;
    const InForceReport report { this->context.identity.id, std::move(taken) };
    actions.push_back(AppendRecords { *this->reportAppend, std::string(inForceStream), { configurationRecordJson(report) } });
}

void ConfigurationHandler::handle(const RecordsAppended& event, const Now&, Actions&)
{
    if (event.append != this->reportAppend)
        return;
    this->reportAppend.reset();
    this->reporter.appended();
}

void ConfigurationHandler::handle(const AppendFailed& event, const Now& now, Actions&)
{
    if (event.append != this->reportAppend)
        return;
    this->reportAppend.reset();
    this->reporter.failed(now.monotonic());
}

void ConfigurationHandler::handle(const HostsListed& event, const Now&, Actions&)
{
    const auto daemons = std::count_if(event.hosts.begin(), event.hosts.end(), [](const ListedHost& host) { return std::holds_alternative<ListedDaemon>(host.member); });
    this->reporter.setDaemons(static_cast<std::size_t>(daemons));
}

bool ConfigurationHandler::needsPeer() const
{
    return !this->logReachable || !this->fold.current();
}

void ConfigurationHandler::askPeerWhenDue(const PeerDirectory& peers, const Now& now, Actions& actions)
{
    if (!this->needsPeer() || !this->askPeerAt || now.monotonic() < *this->askPeerAt)
        return;
    this->askPeerAt = now.monotonic() + askPeerInterval;
    std::optional<ListedDaemon> furthest;
    LogOffset revision = this->context.configuration ? this->context.configuration->revision : 0;
    for (const ListedDaemon& peer : peers.peersIn(MemberState::Alive)) {
        const PeerStatus* status = peers.status(peer.id);
        if (!status || status->configurationRevision <= revision)
            continue;
        revision = status->configurationRevision;
        furthest = peer;
    }
    if (furthest)
        actions.push_back(SendToPeer { *furthest, RecordsRequest { std::string(configurationStream), this->fold.appliedTo() } });
}

void ConfigurationHandler::handle(const PeerMessageReceived& event, const PeerDirectory& peers, const Now& now, Actions& actions)
{
    if (const auto* request = std::get_if<RecordsRequest>(&event.message))
        this->answer(*request, event.from, peers, now, actions);
    if (const auto* transfer = std::get_if<RecordsTransfer>(&event.message))
        this->take(*transfer, now, actions);
    this->askPeerWhenDue(peers, now, actions);
}

// The records before the snapshot travel as one checkpoint, which stands for all of them.
void ConfigurationHandler::answer(const RecordsRequest& request, const DaemonId& from, const PeerDirectory& peers, const Now& now, Actions& actions) const
{
    const ListedDaemon* peer = peers.find(from);
    if (request.stream != configurationStream || !peer)
        return;
    std::optional<ConfigurationSnapshot> snapshot = this->fold.snapshot();
    if (!snapshot || snapshot->next <= request.from)
        return;
    const LogOffset next = snapshot->next;
    const ConfigurationCheckpoint checkpoint { this->context.identity.id, now.wall(), std::move(*snapshot) };
    LogRecord record { request.stream, next, configurationRecordJson(checkpoint) };
    actions.push_back(SendToPeer { *peer, RecordsTransfer { request.stream, next, next, { std::move(record) } } });
}

void ConfigurationHandler::take(const RecordsTransfer& transfer, const Now& now, Actions& actions)
{
    if (transfer.stream != configurationStream || transfer.records.size() != 1)
        return;
    const Result<ConfigurationRecord> record = parseConfigurationRecord(transfer.records.front().payload);
    const auto* checkpoint = record ? std::get_if<ConfigurationCheckpoint>(&*record) : nullptr;
    if (!checkpoint) {
        actions.push_back(internal::count("configuration_transfers_total", "malformed-record"));
        return;
    }
    const Result<std::vector<AuditEntry>> adopted = this->fold.adopt(checkpoint->snapshot);
    actions.push_back(internal::count("configuration_transfers_total", adopted ? "adopted" : adopted.error().message()));
    if (!adopted)
        return;
    this->take(*adopted, now, actions);
    this->bringIntoForce(now, actions);
}

void ConfigurationHandler::handle(const Tick&, const PeerDirectory& peers, const Now& now, Actions& actions)
{
    this->appendCheckpointWhenDue(now, actions);
    this->appendReportWhenDue(now, actions);
    this->askPeerWhenDue(peers, now, actions);
}

std::optional<TimePoint> ConfigurationHandler::nextWake() const
{
    std::optional<TimePoint> wake = this->reporter.nextWake();
    if (this->canAppendCheckpoint())
        wake = earlier(wake, this->checkpoints.nextWake());
    if (this->needsPeer())
        wake = earlier(wake, this->askPeerAt);
    return wake;
}

}
