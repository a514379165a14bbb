#include "ConfigurationFold.h"
#include "ConfigurationJson.h"

#include <algorithm>
#include <set>

namespace filbertspoke {

namespace {

// Generates the configuration from the answers of an approval; none when they are invalid or belong to another scope.
std::optional<Configuration> generateFrom(const Approval& approval)
{
    const auto parsed = parseQuestionnaire(approval.answers);
    const auto* questionnaire = std::get_if<Questionnaire>(&parsed);
    if (!questionnaire || questionnaire->team() != approval.scope)
        return std::nullopt;
    return generate(*questionnaire);
}

bool isApproved(const Approval& approval)
{
    return !approval.author.empty() && !approval.approver.empty() && approval.author != approval.approver;
}

template <typename Entries>
bool haveCommonId(const Entries& left, const Entries& right)
{
    return std::any_of(left.begin(), left.end(), [&](const auto& entry) {
        return std::any_of(right.begin(), right.end(), [&](const auto& other) { return entry.id == other.id; });
    });
}

AuditEntry undecidedEntry(const LogRecord& record)
{
    const Result<ConfigurationRecord> parsed = parseConfigurationRecord(record.payload);
    if (!parsed)
        return { record.offset, RecordSkipped { static_cast<ErrorCode>(parsed.error().value()) } };
    if (const auto* change = std::get_if<ConfigurationChange>(&*parsed))
        return { record.offset, ChangeUndecided { change->approval, change->base } };
    if (const auto* checkpoint = std::get_if<ConfigurationCheckpoint>(&*parsed))
        return { record.offset, CheckpointRead { checkpoint->daemon, checkpoint->snapshot.next, CheckpointUse::TooOld } };
    return { record.offset, RecordSkipped { ErrorCode::MalformedRecord } };
}

}

LogOffset ConfigurationFold::next() const
{
    return this->gap ? this->gap->readTo : this->applied;
}

void ConfigurationFold::truncate(LogOffset oldest)
{
    if (oldest > this->next())
        this->gap = Gap { oldest, oldest, {} };
}

std::vector<AuditEntry> ConfigurationFold::apply(const LogRecord& record)
{
    if (record.offset < this->next())
        return {};
    if (this->next() > 0)
        this->truncate(record.offset);
    if (this->gap)
        return this->applyWaiting(record);
    return { this->applyInOrder(record) };
}

std::vector<AuditEntry> ConfigurationFold::applyWaiting(const LogRecord& record)
{
    this->gap->waiting.push_back(record);
    this->gap->readTo = record.offset + 1;
    const Result<ConfigurationRecord> parsed = parseConfigurationRecord(record.payload);
    const auto* checkpoint = parsed ? std::get_if<ConfigurationCheckpoint>(&*parsed) : nullptr;
    if (!checkpoint || checkpoint->snapshot.next < this->gap->start || checkpoint->snapshot.next > record.offset)
        return {};
    std::optional<Scopes> restored = readScopes(checkpoint->snapshot);
    if (!restored || this->wouldRollBack(*restored))
        return {};
    std::vector<AuditEntry> entries = this->restore(checkpoint->snapshot.next, std::move(*restored));
    entries.back() = { record.offset, CheckpointRead { checkpoint->daemon, checkpoint->snapshot.next, CheckpointUse::Adopted } };
    return entries;
}

std::vector<AuditEntry> ConfigurationFold::waiting() const
{
    std::vector<AuditEntry> entries;
    if (!this->gap)
        return entries;
    entries.reserve(this->gap->waiting.size());
    for (const LogRecord& record : this->gap->waiting)
        entries.push_back(undecidedEntry(record));
    return entries;
}

// Replaces the state by a known one and applies the buffered records after it.
std::vector<AuditEntry> ConfigurationFold::restore(LogOffset next, Scopes restored)
{
    std::vector<LogRecord> waiting;
    if (this->gap)
        waiting = std::move(this->gap->waiting);
    this->gap.reset();
    this->applied = next;
    this->scopes = std::move(restored);
    this->unsupportedRecord.reset();
    std::vector<AuditEntry> entries = this->replay(waiting);
    this->merge();
    return entries;
}

std::vector<AuditEntry> ConfigurationFold::replay(const std::vector<LogRecord>& waiting)
{
    std::vector<AuditEntry> entries;
    entries.reserve(waiting.size());
    for (const LogRecord& record : waiting)
        entries.push_back(record.offset < this->applied ? undecidedEntry(record) : this->applyInOrder(record));
    return entries;
}

Result<std::vector<AuditEntry>> ConfigurationFold::adopt(const ConfigurationSnapshot& snapshot)
{
    if (snapshot.next <= this->applied)
        return make_error_code(ErrorCode::StaleBase);
    if (this->gap && snapshot.next < this->gap->start)
        return make_error_code(ErrorCode::LogTruncated);
    std::optional<Scopes> restored = readScopes(snapshot);
    if (!restored)
        return make_error_code(ErrorCode::HashMismatch);
    if (this->wouldRollBack(*restored))
        return make_error_code(ErrorCode::StaleBase);
    return this->restore(snapshot.next, std::move(*restored));
}

AuditEntry ConfigurationFold::applyInOrder(const LogRecord& record)
{
    this->applied = record.offset + 1;
    const Result<ConfigurationRecord> parsed = parseConfigurationRecord(record.payload);
    if (!parsed) {
        const auto reason = static_cast<ErrorCode>(parsed.error().value());
        if (reason == ErrorCode::UnsupportedVersion)
            this->unsupportedRecord = record.offset;
        return { record.offset, RecordSkipped { reason } };
    }
    return std::visit([&](const auto& content) { return this->applyRecord(record.offset, content); }, *parsed);
}

AuditEntry ConfigurationFold::applyRecord(LogOffset offset, const ConfigurationChange& change)
{
    if (change.approval.generator > generatorVersion) {
        this->unsupportedRecord = offset;
        return { offset, RecordSkipped { ErrorCode::UnsupportedVersion } };
    }
    std::variant<Configuration, ChangeRefused> evaluated = this->evaluate(change);
    if (auto* refused = std::get_if<ChangeRefused>(&evaluated))
        return { offset, std::move(*refused) };
    ScopeState state { { offset, change.approval }, std::get<Configuration>(std::move(evaluated)) };
    this->scopes.insert_or_assign(change.approval.scope, std::move(state));
    this->merge();
    return { offset, ChangeAccepted { change.approval, change.base } };
}

AuditEntry ConfigurationFold::applyRecord(LogOffset offset, const ConfigurationCheckpoint& checkpoint)
{
    const auto entry = [&](CheckpointUse use) { return AuditEntry { offset, CheckpointRead { checkpoint.daemon, checkpoint.snapshot.next, use } }; };
    if (checkpoint.snapshot.next > offset || !readScopes(checkpoint.snapshot))
        return entry(CheckpointUse::Invalid);
    return entry(this->unsupportedRecord || this->isConsistentWith(checkpoint.snapshot) ? CheckpointUse::NotNeeded : CheckpointUse::Disagrees);
}

AuditEntry ConfigurationFold::applyRecord(LogOffset offset, const InForceReport&)
{
    return { offset, RecordSkipped { ErrorCode::MalformedRecord } };
}

// Generates the configuration of a change, or returns the reason for refusing the change.
std::variant<Configuration, ChangeRefused> ConfigurationFold::evaluate(const ConfigurationChange& change) const
{
    const Approval& approval = change.approval;
    const auto refusal = [&](ErrorCode reason, std::optional<LogOffset> winner = std::nullopt) { return ChangeRefused { approval, change.base, reason, winner }; };
    if (!isApproved(approval))
        return refusal(ErrorCode::ApprovalMissing);
    const ScopeRevision* current = this->findScope(approval.scope);
    if (current && current->approval.change == approval.change)
        return refusal(ErrorCode::ChangeRepeated, current->revision);
    const std::optional<LogOffset> revision = current ? std::optional(current->revision) : std::nullopt;
    if (change.base != revision)
        return refusal(ErrorCode::StaleBase, revision);
    std::optional<Configuration> generated = generateFrom(approval);
    if (!generated)
        return refusal(ErrorCode::MalformedQuestionnaire);
    if (configurationJson(*generated) != change.configuration || configurationHash(*generated) != approval.hash)
        return refusal(ErrorCode::HashMismatch);
    if (this->usesNamesOfOtherScopes(approval.scope, *generated))
        return refusal(ErrorCode::NameTaken);
    return std::move(*generated);
}

// Whether the snapshot equals this state in every scope that has not changed after the snapshot.
bool ConfigurationFold::isConsistentWith(const ConfigurationSnapshot& snapshot) const
{
    const auto holds = [&](const ScopeRevision& remote) {
        const ScopeRevision* local = this->findScope(remote.approval.scope);
        return local && (local->revision >= snapshot.next || *local == remote);
    };
    if (!std::all_of(snapshot.scopes.begin(), snapshot.scopes.end(), holds))
        return false;
    return std::all_of(this->scopes.begin(), this->scopes.end(), [&](const auto& scope) {
        const ScopeRevision& local = scope.second.revision;
        return local.revision >= snapshot.next || std::find(snapshot.scopes.begin(), snapshot.scopes.end(), local) != snapshot.scopes.end();
    });
}

// Whether the restored state lacks a scope of this state or has it at an earlier revision. A later state has neither.
bool ConfigurationFold::wouldRollBack(const Scopes& restored) const
{
    return std::any_of(this->scopes.begin(), this->scopes.end(), [&](const auto& scope) {
        const auto later = restored.find(scope.first);
        return later == restored.end() || later->second.revision.revision < scope.second.revision.revision;
    });
}

bool ConfigurationFold::usesNamesOfOtherScopes(const std::string& scope, const Configuration& configuration) const
{
    return std::any_of(this->scopes.begin(), this->scopes.end(), [&](const auto& entry) {
        const Configuration& other = entry.second.configuration;
        return entry.first != scope
            && (haveCommonId(configuration.models(), other.models()) || haveCommonId(configuration.services(), other.services()) || haveCommonId(configuration.accounts(), other.accounts()));
    });
}

std::optional<ConfigurationFold::Scopes> ConfigurationFold::readScopes(const ConfigurationSnapshot& snapshot)
{
    Scopes restored;
    for (const ScopeRevision& scope : snapshot.scopes) {
        std::optional<Configuration> configuration = generateFrom(scope.approval);
        if (!configuration || configurationHash(*configuration) != scope.approval.hash || scope.revision >= snapshot.next)
            return std::nullopt;
        if (!restored.emplace(scope.approval.scope, ScopeState { scope, std::move(*configuration) }).second)
            return std::nullopt;
    }
    return restored;
}

std::optional<ConfigurationSnapshot> ConfigurationFold::snapshot() const
{
    if (this->unsupportedRecord)
        return std::nullopt;
    ConfigurationSnapshot snapshot;
    snapshot.next = this->applied;
    for (const auto& [scope, state] : this->scopes)
        snapshot.scopes.push_back(state.revision);
    return snapshot;
}

std::map<std::string, LogOffset> ConfigurationFold::revisions() const
{
    std::map<std::string, LogOffset> revisions;
    for (const auto& [scope, state] : this->scopes)
        revisions.emplace(scope, state.revision.revision);
    return revisions;
}

const ScopeRevision* ConfigurationFold::findScope(const std::string& scope) const
{
    const auto state = this->scopes.find(scope);
    return state == this->scopes.end() ? nullptr : &state->second.revision;
}

const Configuration* ConfigurationFold::findScopeConfiguration(const std::string& scope) const
{
    const auto state = this->scopes.find(scope);
    return state == this->scopes.end() ? nullptr : &state->second.configuration;
}

// Takes the organisation and the objective from the newest change and combines the other entries of all scopes.
void ConfigurationFold::merge()
{
    if (this->scopes.empty())
        return;
    const auto newest = std::max_element(this->scopes.begin(), this->scopes.end(), [](const auto& left, const auto& right) {
        return left.second.revision.revision < right.second.revision.revision;
    });
    Configuration::Builder builder;
    builder.organisation(newest->second.configuration.organisation());
    builder.objective(newest->second.configuration.objective());
    std::set<FailureDomainId> failureDomains;
    for (const auto& [scope, state] : this->scopes) {
        failureDomains.insert(state.configuration.failureDomains().begin(), state.configuration.failureDomains().end());
        for (const ModelConfiguration& model : state.configuration.models())
            builder.model(model);
        for (const ServiceConfiguration& service : state.configuration.services())
            builder.service(service);
        for (const AccountConfiguration& account : state.configuration.accounts())
            builder.account(account);
    }
    for (const FailureDomainId& domain : failureDomains)
        builder.failureDomain(domain);
    this->merged = std::make_shared<const ConfigurationInForce>(ConfigurationInForce { newest->second.revision.revision, builder.build() });
}

}
