#include "RunCommand.h"
#include "internal/ApproveRun.h"
#include "internal/AuditReport.h"
#include "internal/DaemonQuery.h"
#include "internal/QuestionnaireFile.h"

namespace filbertspoke {

namespace {

CommandOutcome generateConfiguration(const GenerateCommand& command, OutputFormat format, const CommandContext& context)
{
    const auto parsed = internal::readQuestionnaire(command.questionnaire, context.questionnaire, format);
    if (const auto* failure = std::get_if<CommandOutcome>(&parsed))
        return *failure;
    const Configuration configuration = generate(std::get<Questionnaire>(parsed));
    if (format == OutputFormat::Json)
        return { ExitCode::Done, configurationJson(configuration) + "\n", {} };
    std::string output = "Configuration of team " + std::get<Questionnaire>(parsed).team() + ", hash " + configurationHash(configuration) + ":\n";
    output += internal::formatList(describeChange(nullptr, configuration));
    output += "Next: filbertspokectl diff " + command.questionnaire + " --log ADDRESS:PORT\n";
    return { ExitCode::Done, output, {} };
}

}

CommandOutcome runCommand(const Arguments& arguments, const CommandContext& context)
{
    const OutputFormat format = arguments.output;
    return std::visit(Overloaded {
                          [&](const GenerateCommand& command) { return generateConfiguration(command, format, context); },
                          [&](const DiffCommand& command) { return internal::showDifference(command, format, context); },
                          [&](const ApproveCommand& command) { return internal::ApproveRun(command, format, context).run(); },
                          [&](const AuditCommand& command) { return internal::showAudit(command, format, context); },
                          [&](const StatusCommand& command) { return internal::showStatus(command, format, context); },
                          [&](const ExplainCommand& command) { return internal::showExplanation(command, format, context); } },
        arguments.command);
}

std::string questionnairePath(const Command& command)
{
    return std::visit(Overloaded {
                          [](const GenerateCommand& generate) { return generate.questionnaire; },
                          [](const DiffCommand& diff) { return diff.questionnaire; },
                          [](const ApproveCommand& approve) { return approve.questionnaire; },
                          [](const auto&) { return std::string(); } },
        command);
}

}
