#include "AuditEntry.h"

#include <iomanip>
#include <sstream>

#include <boost/json.hpp>

namespace filbertspoke {

namespace json = boost::json;

namespace {

std::string baseText(const std::optional<LogOffset>& base)
{
    return base ? "on revision " + std::to_string(*base) : std::string("as the first revision");
}

std::string approvalText(const Approval& approval)
{
    return approval.scope + " by " + approval.author + ", approved by " + approval.approver + " at " + describe(approval.at);
}

std::string reasonText(const ChangeRefused& refused)
{
    std::string text(name(refused.reason));
    if (!refused.winner)
        return text;
    if (refused.reason == ErrorCode::ChangeRepeated)
        return text + ", it stands as revision " + std::to_string(*refused.winner);
    return text + ", revision " + std::to_string(*refused.winner) + " won";
}

struct DescribeOutcome {
    std::string operator()(const ChangeAccepted& accepted) const
    {
        return "accepted: " + approvalText(accepted.approval) + ", " + baseText(accepted.base);
    }
    std::string operator()(const ChangeRefused& refused) const
    {
        return "refused (" + reasonText(refused) + "): " + approvalText(refused.approval) + ", " + baseText(refused.base);
    }
    std::string operator()(const ChangeUndecided& undecided) const
    {
        return "not decided (the log no longer holds what came before): " + approvalText(undecided.approval);
    }
    std::string operator()(const CheckpointRead& read) const
    {
        return "checkpoint by " + read.daemon.str() + " of all records before " + std::to_string(read.next) + ": " + std::string(name(read.use));
    }
    std::string operator()(const RecordSkipped& skipped) const
    {
        return "skipped: " + std::string(name(skipped.reason));
    }
};

json::object changeObject(std::string_view outcome, const Approval& approval, const std::optional<LogOffset>& base)
{
    return {
        { "outcome", outcome },
        { "change", approval.change },
        { "scope", approval.scope },
        { "base", base ? json::value(*base) : json::value(nullptr) },
        { "author", approval.author },
        { "approver", approval.approver },
        { "at", describe(approval.at) },
        { "hash", approval.hash },
        { "answers", approval.answers },
    };
}

struct OutcomeObject {
    json::object operator()(const ChangeAccepted& accepted) const
    {
        return changeObject("accepted", accepted.approval, accepted.base);
    }
    json::object operator()(const ChangeRefused& refused) const
    {
        json::object object = changeObject("refused", refused.approval, refused.base);
        object["reason"] = name(refused.reason);
        if (refused.winner)
            object["winner"] = *refused.winner;
        return object;
    }
    json::object operator()(const ChangeUndecided& undecided) const
    {
        return changeObject("undecided", undecided.approval, undecided.base);
    }
    json::object operator()(const CheckpointRead& read) const
    {
        return { { "outcome", "checkpoint" }, { "daemon", read.daemon.str() }, { "next", read.next }, { "use", name(read.use) } };
    }
    json::object operator()(const RecordSkipped& skipped) const
    {
        return { { "outcome", "skipped" }, { "reason", name(skipped.reason) } };
    }
};

}

std::string_view name(CheckpointUse use)
{
    switch (use) {
    case CheckpointUse::Adopted:
        return "adopted";
    case CheckpointUse::NotNeeded:
        return "not-needed";
    case CheckpointUse::TooOld:
        return "too-old";
    case CheckpointUse::Disagrees:
        return "disagrees";
    case CheckpointUse::Invalid:
        return "invalid";
    }
    return "unknown";
}

std::string describe(const AuditEntry& entry)
{
    return "offset " + std::to_string(entry.offset) + " " + std::visit(DescribeOutcome(), entry.outcome);
}

std::string auditEntryJson(const AuditEntry& entry)
{
    json::object object = std::visit(OutcomeObject(), entry.outcome);
    object["offset"] = entry.offset;
    return json::serialize(object);
}

std::string describe(WallTime time)
{
    const auto wholeSeconds = std::chrono::floor<std::chrono::seconds>(time);
    const auto milliseconds = std::chrono::floor<std::chrono::milliseconds>(time - wholeSeconds);
    const std::time_t seconds = wholeSeconds.time_since_epoch().count();
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::ostringstream text;
    text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%S") << '.' << std::setw(3) << std::setfill('0') << milliseconds.count() << 'Z';
    return text.str();
}

}
