#include "ConfigurationRecord.h"
#include "ConfigurationJson.h"

#include <boost/json.hpp>

namespace filbertspoke {

namespace json = boost::json;

namespace {

constexpr std::string_view changeKind = "change";
constexpr std::string_view checkpointKind = "checkpoint";
constexpr std::string_view inForceKind = "in-force";

std::string readText(const json::object& object, std::string_view key)
{
    return json::value_to<std::string>(object.at(key));
}

LogOffset readOffset(const json::object& object, std::string_view key)
{
    return object.at(key).to_number<LogOffset>();
}

WallTime readTime(const json::object& object)
{
    return WallTime(Duration(object.at("at").to_number<std::int64_t>()));
}

std::int64_t timeJson(WallTime time)
{
    return time.time_since_epoch().count();
}

json::object approvalJson(const Approval& approval)
{
    return {
        { "change", approval.change },
        { "scope", approval.scope },
        { "author", approval.author },
        { "approver", approval.approver },
        { "at", timeJson(approval.at) },
        { "generator", approval.generator },
        { "answers", approval.answers },
        { "hash", approval.hash },
    };
}

Approval readApproval(const json::object& object)
{
    Approval approval;
    approval.change = readText(object, "change");
    approval.scope = readText(object, "scope");
    approval.author = readText(object, "author");
    approval.approver = readText(object, "approver");
    approval.at = readTime(object);
    approval.generator = object.at("generator").to_number<std::uint32_t>();
    approval.answers = readText(object, "answers");
    approval.hash = readText(object, "hash");
    return approval;
}

json::object snapshotObject(const ConfigurationSnapshot& snapshot)
{
    json::array scopes;
    for (const ScopeRevision& scope : snapshot.scopes)
        scopes.push_back({ { "revision", scope.revision }, { "approval", approvalJson(scope.approval) } });
    return { { "next", snapshot.next }, { "scopes", std::move(scopes) } };
}

ConfigurationSnapshot readSnapshot(const json::object& object)
{
    ConfigurationSnapshot snapshot;
    snapshot.next = readOffset(object, "next");
    for (const json::value& entry : object.at("scopes").as_array()) {
        const json::object& scope = entry.as_object();
        snapshot.scopes.push_back({ readOffset(scope, "revision"), readApproval(scope.at("approval").as_object()) });
    }
    return snapshot;
}

json::object header(std::string_view kind)
{
    return { { "kind", kind }, { "version", configurationRecordVersion } };
}

json::object recordObject(const ConfigurationChange& change)
{
    json::object object = header(changeKind);
    object["base"] = change.base ? json::value(*change.base) : json::value(nullptr);
    object["approval"] = approvalJson(change.approval);
    object["configuration"] = change.configuration;
    return object;
}

json::object recordObject(const ConfigurationCheckpoint& checkpoint)
{
    json::object object = header(checkpointKind);
    object["daemon"] = checkpoint.daemon.str();
    object["at"] = timeJson(checkpoint.at);
    object["snapshot"] = snapshotObject(checkpoint.snapshot);
    return object;
}

json::object recordObject(const InForceReport& report)
{
    json::array taken;
    for (const RevisionInForce& revision : report.taken)
        taken.push_back({ { "revision", revision.revision }, { "at", timeJson(revision.at) } });
    json::object object = header(inForceKind);
    object["daemon"] = report.daemon.str();
    object["taken"] = std::move(taken);
    return object;
}

ConfigurationChange readChange(const json::object& object)
{
    ConfigurationChange change;
    change.approval = readApproval(object.at("approval").as_object());
    if (!object.at("base").is_null())
        change.base = readOffset(object, "base");
    change.configuration = readText(object, "configuration");
    return change;
}

ConfigurationCheckpoint readCheckpoint(const json::object& object)
{
    return { DaemonId(readText(object, "daemon")), readTime(object), readSnapshot(object.at("snapshot").as_object()) };
}

InForceReport readInForceReport(const json::object& object)
{
    InForceReport report;
    report.daemon = DaemonId(readText(object, "daemon"));
    for (const json::value& entry : object.at("taken").as_array())
        report.taken.push_back({ readOffset(entry.as_object(), "revision"), readTime(entry.as_object()) });
    return report;
}

Result<ConfigurationRecord> readRecord(const json::object& object)
{
    if (object.at("version").to_number<std::uint32_t>() > configurationRecordVersion)
        return make_error_code(ErrorCode::UnsupportedVersion);
    const std::string kind = readText(object, "kind");
    if (kind == changeKind)
        return ConfigurationRecord(readChange(object));
    if (kind == checkpointKind)
        return ConfigurationRecord(readCheckpoint(object));
    if (kind == inForceKind)
        return ConfigurationRecord(readInForceReport(object));
    return make_error_code(ErrorCode::MalformedRecord);
}

}

std::string configurationRecordJson(const ConfigurationRecord& record)
{
    return json::serialize(std::visit([](const auto& content) { return recordObject(content); }, record));
}

Result<ConfigurationRecord> parseConfigurationRecord(std::string_view payload)
{
    try {
        return readRecord(json::parse(payload).as_object());
    } catch (const std::exception&) {
        return make_error_code(ErrorCode::MalformedRecord);
    }
}

std::string snapshotJson(const ConfigurationSnapshot& snapshot)
{
    return json::serialize(snapshotObject(snapshot));
}

Result<ConfigurationSnapshot> parseSnapshot(std::string_view text)
{
    try {
        return readSnapshot(json::parse(text).as_object());
    } catch (const std::exception&) {
        return make_error_code(ErrorCode::MalformedRecord);
    }
}

ConfigurationChange makeChange(const Questionnaire& questionnaire, Approval approval, std::optional<LogOffset> base)
{
    const Configuration configuration = generate(questionnaire);
    approval.scope = questionnaire.team();
    approval.generator = generatorVersion;
    approval.hash = configurationHash(configuration);
    return { std::move(approval), base, configurationJson(configuration) };
}

}
