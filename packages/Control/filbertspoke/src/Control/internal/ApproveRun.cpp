#include "ApproveRun.h"
#include "QuestionnaireFile.h"

#include <algorithm>

#include <boost/json.hpp>

namespace filbertspoke::internal {

namespace json = boost::json;

namespace {

constexpr int confirmationAttempts = 6; // reads of the log that search for the appended change

const Approval* approvalOf(const AuditEntry& entry)
{
    if (const auto* accepted = std::get_if<ChangeAccepted>(&entry.outcome))
        return &accepted->approval;
    if (const auto* refused = std::get_if<ChangeRefused>(&entry.outcome))
        return &refused->approval;
    return nullptr;
}

const AuditEntry* findChange(const ConfigurationHistory& history, const std::string& change)
{
    const auto entry = std::find_if(history.entries.begin(), history.entries.end(), [&](const AuditEntry& candidate) {
        const Approval* approval = approvalOf(candidate);
        return approval && approval->change == change;
    });
    return entry == history.entries.end() ? nullptr : &*entry;
}

const Approval* findRevision(const ConfigurationHistory& history, LogOffset revision)
{
    const auto entry = std::find_if(history.entries.begin(), history.entries.end(), [&](const AuditEntry& candidate) { return candidate.offset == revision; });
    return entry == history.entries.end() ? nullptr : approvalOf(*entry);
}

std::string revisionText(const std::optional<LogOffset>& revision)
{
    return revision ? "revision " + std::to_string(*revision) : std::string("no revision");
}

}

CommandOutcome ApproveRun::run()
{
    const auto parsed = readQuestionnaire(this->command.questionnaire, this->context.questionnaire, this->format);
    if (const auto* failure = std::get_if<CommandOutcome>(&parsed))
        return *failure;
    const auto read = readCurrentHistory(this->log, this->command.log);
    if (const auto* failure = std::get_if<CommandOutcome>(&read))
        return *failure;
    const auto& history = std::get<ConfigurationHistory>(read);
    const auto& questionnaire = std::get<Questionnaire>(parsed);

    Approval approval;
    approval.change = this->context.change;
    approval.author = this->command.author;
    approval.approver = this->command.approver;
    approval.at = this->context.now;
    approval.answers = this->context.questionnaire;
    const ScopeRevision* current = history.fold.findScope(questionnaire.team());
    std::optional<LogOffset> base = this->command.base;
    if (!base && current)
        base = current->revision;
    const ConfigurationChange change = makeChange(questionnaire, std::move(approval), base);
    if (std::optional<CommandOutcome> decided = this->checkBeforeAppend(history, change))
        return *decided;
    return this->appendAndConfirm(change);
}

// Predicts how the daemons would decide on the change, without appending it.
// \returns the outcome if the change is already in force or would be refused, otherwise nothing
std::optional<CommandOutcome> ApproveRun::checkBeforeAppend(const ConfigurationHistory& history, const ConfigurationChange& change) const
{
    const ScopeRevision* current = history.fold.findScope(change.approval.scope);
    if (current && current->approval.hash == change.approval.hash)
        return this->accepted(current->revision, current->approval.hash, true);
    ConfigurationFold preview = history.fold;
    const LogOffset offset = std::max(history.next, preview.next());
    const std::vector<AuditEntry> entries = preview.apply({ std::string(configurationStream), offset, configurationRecordJson(change) });
    const auto* refusal = entries.empty() ? nullptr : std::get_if<ChangeRefused>(&entries.back().outcome);
    if (!refusal)
        return std::nullopt;
    return this->refused(*refusal, history);
}

CommandOutcome ApproveRun::appendAndConfirm(const ConfigurationChange& change)
{
    const AppendResult appended = this->log.append(change);
    if (appended == AppendResult::NotAppended)
        return failedOutcome(ExitCode::Unreachable, "The log did not accept the record; check --log and that the platform is up, then run the command again. Nothing was changed.");
    for (int attempt = 0; attempt < confirmationAttempts; ++attempt) {
        if (attempt > 0)
            this->context.transport.waitBeforeRetry();
        const Result<ConfigurationHistory> history = this->log.readHistory();
        if (!history)
            continue;
        if (const AuditEntry* entry = findChange(*history, this->context.change))
            return this->describeOutcome(*entry, *history);
    }
    return failedOutcome(ExitCode::OutcomeUnknown, "The change may have been appended, but this could not be confirmed from the log yet. Run filbertspokectl audit, then this command again: it appends nothing if the change is in force, and a second change on the same base is refused.");
}

CommandOutcome ApproveRun::describeOutcome(const AuditEntry& entry, const ConfigurationHistory& history) const
{
    if (const auto* accepted = std::get_if<ChangeAccepted>(&entry.outcome))
        return this->accepted(entry.offset, accepted->approval.hash, false);
    return this->refused(std::get<ChangeRefused>(entry.outcome), history);
}

CommandOutcome ApproveRun::accepted(LogOffset revision, const std::string& hash, bool alreadyInForce) const
{
    if (this->format == OutputFormat::Json) {
        const json::object object = { { "outcome", alreadyInForce ? "already-in-force" : "accepted" }, { "revision", revision }, { "hash", hash } };
        return { ExitCode::Done, json::serialize(object) + "\n", {} };
    }
    const std::string number = std::to_string(revision);
    if (alreadyInForce)
        return { ExitCode::Done, "Already in force as revision " + number + "; nothing was appended.\n", {} };
    return { ExitCode::Done, "Accepted as revision " + number + "; each daemon activates it when it reads the log.\nNext: filbertspokectl audit shows when each daemon activated it.\n", {} };
}

CommandOutcome ApproveRun::refused(const ChangeRefused& refusal, const ConfigurationHistory& history) const
{
    const Approval* winner = refusal.winner ? findRevision(history, *refusal.winner) : nullptr;
    if (this->format == OutputFormat::Json) {
        json::object object = { { "outcome", "refused" }, { "reason", name(refusal.reason) } };
        if (refusal.winner)
            object["winner"] = *refusal.winner;
        if (winner)
            object["winnerAuthor"] = winner->author;
        return { ExitCode::Refused, json::serialize(object) + "\n", {} };
    }
    switch (refusal.reason) {
    case ErrorCode::StaleBase:
        return failedOutcome(ExitCode::Refused, "Refused: the change is based on " + revisionText(refusal.base) + ", but " + revisionText(refusal.winner) + (winner ? " by " + winner->author + ", approved by " + winner->approver + "," : "") + " is in force. Run filbertspokectl diff, review the changes again and approve with the new base.");
    case ErrorCode::ApprovalMissing:
        return failedOutcome(ExitCode::Refused, "Refused: author and approver must be two persons; name both with --author and --approver.");
    case ErrorCode::NameTaken:
        return failedOutcome(ExitCode::Refused, "Refused: another team's configuration already uses the name of one of these models, services or client accounts; run filbertspokectl audit to see which team, and choose another name.");
    default:
        return failedOutcome(ExitCode::Refused, "Refused: " + std::string(name(refusal.reason)) + ". Run filbertspokectl audit to see the record.");
    }
}

}
