#include "Arguments.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <memory>
#include <sstream>

#include <CLI/CLI.hpp>

namespace filbertspoke {

namespace {

constexpr const char* description = "Checks, approves and audits the configuration of filbertspoke, and queries the state of daemons.";

constexpr const char* footer = R"(Examples:
  filbertspokectl generate examples/gearwell.questionnaire.yaml
  filbertspokectl diff examples/gearwell.questionnaire.yaml --log 10.0.0.9:9001
  filbertspokectl approve examples/gearwell.questionnaire.yaml --author hanna --approver dawit --log 10.0.0.9:9001
  filbertspokectl audit --log 10.0.0.9:9001 --output json
  filbertspokectl status --daemon 10.0.1.1:8082
  filbertspokectl explain 0190c7e2-7a2b-7c55-9d5b-3f6f2b1f6a01 --daemon 10.0.1.1:8082

Exit codes: 0 done, 2 invalid arguments or questionnaire, 3 refused, 4 log or daemon unreachable
(nothing changed), 5 outcome unknown (a change may have been appended), 6 unknown request.)";

// Parses "10.0.0.9:9001" or "[::1]:9001" into \a address.
// \returns what is wrong with the text, empty if it is valid
std::string parseAddress(const std::string& text, HttpAddress& address)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return "must be ADDRESS:PORT, for example 10.0.0.9:9001";
    address.address = text.substr(0, colon);
    if (address.address.front() == '[' && address.address.back() == ']')
        address.address = address.address.substr(1, address.address.size() - 2);
    const char* end = text.data() + text.size();
    const auto [last, error] = std::from_chars(text.data() + colon + 1, end, address.port);
    if (error != std::errc() || last != end || address.port == 0)
        return "must end with a port from 1 to 65535";
    return {};
}

// Option values of the subcommands. CLI11 fills them in while it parses; the command is built from them afterwards.
struct OptionValues {
    Arguments result;
    std::string questionnaire;
    std::string author;
    std::string approver;
    std::optional<LogOffset> base;
    std::string scope;
    std::string request;
    HttpAddress address;
};

void addAddress(CLI::App& subcommand, OptionValues& values, const std::string& name, const std::string& help)
{
    const auto parse = [&values](const std::string& text) {
        const std::string problem = parseAddress(text, values.address);
        if (!problem.empty())
            throw CLI::ValidationError(text, problem);
    };
    subcommand.add_option_function<std::string>(name, parse, help)->required()->type_name("ADDRESS:PORT");
}

void addQuestionnaire(CLI::App& subcommand, OptionValues& values)
{
    subcommand.add_option("questionnaire", values.questionnaire, "YAML file with the team's answers")->required();
}

CLI::App* addSubcommand(CLI::App& app, OptionValues& values, const std::string& name, const std::string& help, std::function<Command()> command)
{
    CLI::App* subcommand = app.add_subcommand(name, help);
    subcommand->callback([&values, command = std::move(command)] { values.result.command = command(); });
    return subcommand;
}

void addConfigurationCommands(CLI::App& app, OptionValues& values)
{
    CLI::App* generate = addSubcommand(app, values, "generate", "Check a questionnaire and show the configuration generated from it",
        [&values] { return GenerateCommand { values.questionnaire }; });
    addQuestionnaire(*generate, values);

    CLI::App* diff = addSubcommand(app, values, "diff", "Show what a questionnaire would change in the configuration in force",
        [&values] { return DiffCommand { values.questionnaire, values.address }; });
    addQuestionnaire(*diff, values);
    addAddress(*diff, values, "--log", "Address of the platform's log");

    CLI::App* approve = addSubcommand(app, values, "approve", "Put a questionnaire into force",
        [&values] { return ApproveCommand { values.questionnaire, values.address, values.author, values.approver, values.base }; });
    addQuestionnaire(*approve, values);
    approve->add_option("--author", values.author, "Who answered the questionnaire")->required();
    approve->add_option("--approver", values.approver, "Who approves it; must differ from the author")->required();
    approve->add_option("--base", values.base, "Revision that the approver reviewed with diff; the change is refused if another one is in force");
    addAddress(*approve, values, "--log", "Address of the platform's log");

    CLI::App* audit = addSubcommand(app, values, "audit", "List changes with their authors, refused changes with the reason, and when each daemon activated a revision",
        [&values] { return AuditCommand { values.address, values.scope }; });
    audit->add_option("--scope", values.scope, "Only changes of this team");
    addAddress(*audit, values, "--log", "Address of the platform's log");
}

void addDaemonCommands(CLI::App& app, OptionValues& values)
{
    CLI::App* status = addSubcommand(app, values, "status", "Show a daemon's endpoints, revision, peers, queues and limits",
        [&values] { return StatusCommand { values.address }; });
    addAddress(*status, values, "--daemon", "Operator address of the daemon");

    CLI::App* explain = addSubcommand(app, values, "explain", "Show why a daemon routed or refused a request as it did",
        [&values] { return ExplainCommand { values.address, values.request }; });
    explain->add_option("request", values.request, "Request id from the response")->required();
    addAddress(*explain, values, "--daemon", "Operator address of the daemon");
}

}

std::variant<Arguments, CommandOutcome> parseArguments(std::vector<std::string> arguments)
{
    CLI::App app(description, "filbertspokectl");
    OptionValues values;
    app.require_subcommand(1);
    app.fallthrough();
    app.footer(footer);
    const std::vector<std::pair<std::string, OutputFormat>> formats = { { "text", OutputFormat::Text }, { "json", OutputFormat::Json } };
    app.add_option("--output", values.result.output, "How results are printed")->transform(CLI::CheckedTransformer(formats))->type_name("text|json")->default_str("text");
    addConfigurationCommands(app, values);
    addDaemonCommands(app, values);
    try {
        std::reverse(arguments.begin(), arguments.end());
        app.parse(arguments);
    } catch (const CLI::ParseError& error) {
        std::ostringstream output;
        std::ostringstream errors;
        const int code = app.exit(error, output, errors);
        return CommandOutcome { code == 0 ? ExitCode::Done : ExitCode::MalformedInput, output.str(), errors.str() };
    }
    return values.result;
}

}
