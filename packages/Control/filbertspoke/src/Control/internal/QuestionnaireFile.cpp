#include "QuestionnaireFile.h"

#include <boost/json.hpp>

namespace filbertspoke::internal {

namespace json = boost::json;

namespace {

std::string problemsJson(const std::string& path, const std::vector<QuestionnaireProblem>& problems)
{
    json::array list;
    for (const QuestionnaireProblem& problem : problems)
        list.push_back({ { "line", problem.line }, { "key", problem.key }, { "reason", name(problem.reason) }, { "sentence", problem.sentence } });
    return json::serialize(json::object { { "questionnaire", path }, { "problems", std::move(list) } }) + "\n";
}

std::string problemsText(const std::string& path, const std::vector<QuestionnaireProblem>& problems)
{
    std::string text;
    for (const QuestionnaireProblem& problem : problems)
        text += path + ": " + describe(problem) + "\n";
    return text + "Correct these lines and run the command again; nothing was changed.\n";
}

std::string differenceJson(const std::string& scope, const ScopeRevision* current, const Configuration& changed, const std::vector<std::string>& sentences)
{
    json::array differences;
    for (const std::string& sentence : sentences)
        differences.push_back(json::value(sentence));
    const json::object object = {
        { "scope", scope },
        { "base", current ? json::value(current->revision) : json::value(nullptr) },
        { "hash", configurationHash(changed) },
        { "differences", std::move(differences) },
    };
    return json::serialize(object) + "\n";
}

}

std::variant<Questionnaire, CommandOutcome> readQuestionnaire(const std::string& path, const std::string& text, OutputFormat format)
{
    const auto parsed = parseQuestionnaire(text);
    if (const auto* questionnaire = std::get_if<Questionnaire>(&parsed))
        return *questionnaire;
    const auto& problems = std::get<std::vector<QuestionnaireProblem>>(parsed);
    return CommandOutcome { ExitCode::MalformedInput, {}, format == OutputFormat::Json ? problemsJson(path, problems) : problemsText(path, problems) };
}

std::string formatList(const std::vector<std::string>& sentences)
{
    std::string text;
    for (const std::string& sentence : sentences)
        text += "  - " + sentence + "\n";
    return text;
}

std::variant<ConfigurationHistory, CommandOutcome> readCurrentHistory(ConfigurationLog& log, const HttpAddress& address)
{
    Result<ConfigurationHistory> history = log.readHistory();
    if (!history)
        return failedOutcome(ExitCode::Unreachable, "The log at " + address.address + ":" + std::to_string(address.port) + " cannot be read; check --log and that the platform is up, then try again. Nothing was changed.");
    if (!history->fold.current())
        return failedOutcome(ExitCode::Unreachable, "The log was truncated and holds no usable checkpoint; running daemons append one automatically. Try again in a minute. Nothing was changed.");
    if (!history->fold.snapshot())
        return failedOutcome(ExitCode::Unreachable, "The log contains records of a newer version; use the filbertspokectl of that version. Nothing was changed.");
    return std::move(*history);
}

CommandOutcome showDifference(const DiffCommand& command, OutputFormat format, const CommandContext& context)
{
    const auto parsed = readQuestionnaire(command.questionnaire, context.questionnaire, format);
    if (const auto* failure = std::get_if<CommandOutcome>(&parsed))
        return *failure;
    ConfigurationLog log(context.transport, command.log);
    const auto read = readCurrentHistory(log, command.log);
    if (const auto* failure = std::get_if<CommandOutcome>(&read))
        return *failure;
    const ConfigurationFold& fold = std::get<ConfigurationHistory>(read).fold;
    const std::string& scope = std::get<Questionnaire>(parsed).team();
    const Configuration changed = generate(std::get<Questionnaire>(parsed));
    const ScopeRevision* current = fold.findScope(scope);
    const std::vector<std::string> sentences = describeChange(fold.findScopeConfiguration(scope), changed);
    if (format == OutputFormat::Json)
        return { ExitCode::Done, differenceJson(scope, current, changed, sentences), {} };
    if (sentences.empty())
        return { ExitCode::Done, "No difference: team " + scope + " has this configuration in force as revision " + std::to_string(current->revision) + ".\n", {} };
    std::string output = current
        ? "Changes to revision " + std::to_string(current->revision) + " of team " + scope + " (by " + current->approval.author + ", approved by " + current->approval.approver + "):\n"
        : "First configuration of team " + scope + ":\n";
    output += formatList(sentences);
    output += "Next: filbertspokectl approve " + command.questionnaire + " --author NAME --approver NAME" + (current ? " --base " + std::to_string(current->revision) : "") + " --log " + command.log.address + ":" + std::to_string(command.log.port) + "\n";
    return { ExitCode::Done, output, {} };
}

}
