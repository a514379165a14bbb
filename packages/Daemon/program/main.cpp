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
constexpr int exitMissingOption = 106; // exit code of CLI11 for a missing required option

/** \brief Blocks or unblocks the signals that request a stop. */
void maskStopSignals(int how)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    ::pthread_sigmask(how, &signals, nullptr);
}

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
        maskStopSignals(SIG_UNBLOCK);
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
        maskStopSignals(SIG_UNBLOCK);
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
        std::cerr << file << ": cannot be read; pass a readable file with --settings\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

/** \brief Parses the settings file with \a parse and passes the result to \a run, unless \a checkOnly is set.
 * \returns the exit code of the process */
template <typename Parse, typename Run>
int parseAndRun(const std::string& file, bool checkOnly, Parse parse, Run run)
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
    // By default SIGHUP would terminate the process. It requests a reload of the settings, so there is nothing to do for it until they
    // have been read; the gateway installs its own handler then.
    std::signal(SIGHUP, SIG_IGN);
    // A stop that is requested before the daemon can carry it out stays pending until then.
    maskStopSignals(SIG_BLOCK);
    CLI::App app("filbertspoked: routes requests to engine pipelines and to plain services", "filbertspoked");
    std::string file;
    bool checkOnly = false;
    app.add_option("--settings", file, "YAML file with this daemon's settings; see docs/INTERFACES.md");
    app.add_flag("--check", checkOnly, "check the settings and exit: 0 when they are valid, 2 when not");
    CLI::App* gateway = app.add_subcommand("gateway", "forward complete requests to endpoints run by the users' platform");
    std::string gatewayFile;
    gateway->add_option("--settings", gatewayFile, "YAML file with this gateway's settings; see docs/INTERFACES.md")->envname("FILBERTSPOKE_SETTINGS")->required();
    gateway->add_flag("--check", checkOnly, "check the settings and exit: 0 when they are valid, 2 when not");
    CLI11_PARSE(app, argc, argv);

    if (gateway->parsed())
        return parseAndRun(gatewayFile, checkOnly, parseGatewaySettings, runGateway);
    if (file.empty()) {
        std::cerr << "--settings is required\nRun with --help for more information.\n";
        return exitMissingOption;
    }
    return parseAndRun(file, checkOnly, parseSettings, runDaemon);
}
