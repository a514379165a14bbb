#include <filbertspoke/Daemon>
#include <filbertspoke/Observability>
#include <filbertspoke/PlatformAdapter>

#include <CLI/CLI.hpp>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include <unistd.h>

namespace {

using namespace filbertspoke;

constexpr int exitFailure = 1;
constexpr int exitMalformedSettings = 2;
constexpr int exitMissingOption = 106; // as CLI11 ends for a required option

void printProblems(const std::string& file, const std::vector<DocumentProblem>& problems)
{
    for (const DocumentProblem& problem : problems)
        std::cerr << file << ':' << problem.line << ": " << problem.key << ": " << problem.sentence << '\n';
}

int runDaemon(const Settings& settings, const SettingsFile&)
{
    LogWriter::open(STDOUT_FILENO, std::string(name(settings.logLevel())), settings.daemon());
    try {
        Daemon daemon(settings);
        daemon.run();
    } catch (const std::exception& error) {
        LogWriter::write({ WriteLog::Level::Error, "failed", { { "reason", error.what() } } });
        return exitFailure;
    }
    return EXIT_SUCCESS;
}

int runGateway(const GatewaySettings& settings, const SettingsFile& file)
{
    LogWriter::open(STDOUT_FILENO, std::string(name(settings.logLevel)), settings.daemon);
    try {
        GatewayDaemon daemon(settings, { std::make_shared<PlatformCallerCodec>(), std::make_shared<PlatformEngineCodec>(), std::make_shared<PlatformStoreCodec>() }, file);
        daemon.run();
    } catch (const std::exception& error) {
        LogWriter::write({ WriteLog::Level::Error, "failed", { { "reason", error.what() } } });
        return exitFailure;
    }
    return EXIT_SUCCESS;
}

std::optional<std::string> readFile(const std::string& file)
{
    std::ifstream stream(file);
    if (!stream) {
        std::cerr << file << ": can't be read; name a readable file with --settings\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

/** \brief Reads the settings with \a parse and, unless they are only to be checked, goes on with \a run. */
template <typename Parse, typename Run>
int checkAndRun(const std::string& file, bool checkOnly, Parse parse, Run run)
{
    const auto text = readFile(file);
    if (!text)
        return exitMalformedSettings;
    const auto parsed = parse(*text);
    if (const auto* problems = std::get_if<std::vector<DocumentProblem>>(&parsed)) {
        printProblems(file, *problems);
        return exitMalformedSettings;
    }
    if (checkOnly) {
        std::cout << file << ": valid\n";
        return EXIT_SUCCESS;
    }
    return run(std::get<0>(parsed), SettingsFile { file, *text });
}

}

int main(int argc, char** argv)
{
    // A hangup before the settings are read says nothing new; the gateway takes the signal over when it has read them.
    std::signal(SIGHUP, SIG_IGN);
    CLI::App app("filbertspoked: routes requests to pipelines of engines and to plain services", "filbertspoked");
    std::string file;
    bool checkOnly = false;
    app.add_option("--settings", file, "YAML file with this daemon's settings; see docs/INTERFACES.md");
    app.add_flag("--check", checkOnly, "check the settings and exit: 0 when they are valid, 2 when not");
    CLI::App* gateway = app.add_subcommand("gateway", "forward requests whole to endpoints that the users' platform runs");
    std::string gatewayFile;
    gateway->add_option("--settings", gatewayFile, "YAML file with this gateway's settings; see docs/INTERFACES.md")->envname("FILBERTSPOKE_SETTINGS")->required();
    gateway->add_flag("--check", checkOnly, "check the settings and exit: 0 when they are valid, 2 when not");
    CLI11_PARSE(app, argc, argv);

    if (gateway->parsed())
        return checkAndRun(gatewayFile, checkOnly, parseGatewaySettings, runGateway);
    if (file.empty()) {
        std::cerr << "--settings is required\nRun with --help for more information.\n";
        return exitMissingOption;
    }
    return checkAndRun(file, checkOnly, parseSettings, runDaemon);
}
