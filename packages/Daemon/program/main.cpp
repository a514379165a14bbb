#include <filbertspoke/Daemon>
#include <filbertspoke/Observability>

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

namespace {

using namespace filbertspoke;

constexpr int exitFailure = 1;
constexpr int exitMalformedSettings = 2;

void printProblems(const std::string& file, const std::vector<DocumentProblem>& problems)
{
    for (const DocumentProblem& problem : problems)
        std::cerr << file << ':' << problem.line << ": " << problem.key << ": " << problem.sentence << '\n';
}

int runDaemon(const Settings& settings)
{
    LogWriter::open(std::cout, std::string(name(settings.logLevel())), settings.daemon());
    try {
        Daemon daemon(settings);
        daemon.run();
    } catch (const std::exception& error) {
        LogWriter::write({ WriteLog::Level::Error, "failed", { { "reason", error.what() } } });
        return exitFailure;
    }
    return EXIT_SUCCESS;
}

}

int main(int argc, char** argv)
{
    CLI::App app("filbertspoked: routes requests to pipelines of engines and to plain services", "filbertspoked");
    std::string file;
    bool checkOnly = false;
    app.add_option("--settings", file, "YAML file with this daemon's settings; see docs/INTERFACES.md")->required();
    app.add_flag("--check", checkOnly, "check the settings and exit: 0 when they are valid, 2 when not");
    CLI11_PARSE(app, argc, argv);

    std::ifstream stream(file);
    if (!stream) {
        std::cerr << file << ": can't be read; name a readable file with --settings\n";
        return exitMalformedSettings;
    }
    std::ostringstream text;
    text << stream.rdbuf();
    const auto parsed = parseSettings(text.str());
    if (const auto* problems = std::get_if<std::vector<DocumentProblem>>(&parsed)) {
        printProblems(file, *problems);
        return exitMalformedSettings;
    }
    if (checkOnly) {
        std::cout << file << ": valid\n";
        return EXIT_SUCCESS;
    }
    return runDaemon(std::get<Settings>(parsed));
}
