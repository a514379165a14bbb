#include "AuditReport.h"
#include "../ConfigurationLog.h"

#include <algorithm>

#include <boost/json.hpp>

namespace filbertspoke::internal {

namespace json = boost::json;

namespace {

// Checkpoints and skipped records belong to no scope; they are listed for every scope.
bool belongsTo(const AuditEntry& entry, const std::string& scope)
{
    if (scope.empty())
        return true;
    return std::visit(Overloaded {
                          [&](const ChangeAccepted& change) { return change.approval.scope == scope; },
                          [&](const ChangeRefused& change) { return change.approval.scope == scope; },
                          [&](const ChangeUndecided& change) { return change.approval.scope == scope; },
                          [](const CheckpointRead&) { return true; },
                          [](const RecordSkipped&) { return true; } },
        entry.outcome);
}

bool isAccepted(const AuditEntry& entry)
{
    return std::holds_alternative<ChangeAccepted>(entry.outcome);
}

json::object timesJson(const std::map<DaemonId, WallTime>& times)
{
    json::object object;
    for (const auto& [daemon, at] : times)
        object[daemon.str()] = describe(at);
    return object;
}

std::string timesText(const std::map<DaemonId, WallTime>& times)
{
    std::string text;
    for (const auto& [daemon, at] : times)
        text += "    in force at " + daemon.str() + " since " + describe(at) + "\n";
    return text;
}

std::string reportJson(const ConfigurationHistory& history, const InForceTimes& times, const std::string& scope)
{
    json::array entries;
    for (const AuditEntry& entry : history.entries) {
        if (!belongsTo(entry, scope))
            continue;
        json::object object = json::parse(auditEntryJson(entry)).as_object();
        const auto taken = times.find(entry.offset);
        if (isAccepted(entry))
            object["inForce"] = taken == times.end() ? json::object() : timesJson(taken->second);
        entries.push_back(std::move(object));
    }
    const json::object report = { { "oldest", history.oldest }, { "next", history.next }, { "current", history.fold.current() }, { "entries", std::move(entries) } };
    return json::serialize(report) + "\n";
}

std::string reportText(const ConfigurationHistory& history, const InForceTimes& times, const std::string& scope)
{
    std::string text;
    if (history.oldest > 0)
        text += "The log no longer holds records before offset " + std::to_string(history.oldest) + ".\n";
    for (const AuditEntry& entry : history.entries) {
        if (!belongsTo(entry, scope))
            continue;
        text += describe(entry) + "\n";
        const auto taken = times.find(entry.offset);
        if (isAccepted(entry) && taken != times.end())
            text += timesText(taken->second);
    }
    if (!history.fold.current())
        text += "The log holds no usable checkpoint yet, so the changes above cannot be decided; running daemons append one automatically.\n";
    else if (!history.fold.inForce())
        text += "No configuration is in force.\n";
    else
        text += "In force: revision " + std::to_string(history.fold.inForce()->revision) + ".\n";
    return text;
}

}

CommandOutcome showAudit(const AuditCommand& command, OutputFormat format, const CommandContext& context)
{
    ConfigurationLog log(context.transport, command.log);
    const Result<ConfigurationHistory> history = log.readHistory();
    const Result<InForceTimes> times = log.readInForceTimes();
    if (!history || !times)
        return failedOutcome(ExitCode::Unreachable, "The log at " + command.log.address + ":" + std::to_string(command.log.port) + " cannot be read; check --log and that the platform is up, then try again.");
    return { ExitCode::Done, format == OutputFormat::Json ? reportJson(*history, *times, command.scope) : reportText(*history, *times, command.scope), {} };
}

}
