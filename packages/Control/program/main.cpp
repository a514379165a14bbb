#include <filbertspoke/Control>

#include <chrono>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

namespace {

using namespace filbertspoke;

/** \brief Prints the outcome.
 * \returns the exit code of the process */
int printOutcome(const CommandOutcome& outcome)
{
    std::cout << outcome.output << std::flush;
    std::cerr << outcome.error << std::flush;
    return static_cast<int>(outcome.exitCode);
}

std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream stream(path);
    if (!stream)
        return std::nullopt;
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

}

int main(int argc, char** argv)
{
    const auto parsed = parseArguments(std::vector<std::string>(argv + 1, argv + argc));
    if (const auto* outcome = std::get_if<CommandOutcome>(&parsed))
        return printOutcome(*outcome);
    const auto& arguments = std::get<Arguments>(parsed);

    HttpTransport transport;
    CommandContext context { transport, {}, to_string(boost::uuids::random_generator()()), std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now()) };
    const std::string path = questionnairePath(arguments.command);
    if (!path.empty()) {
        const std::optional<std::string> text = readFile(path);
        if (!text)
            return printOutcome(failedOutcome(ExitCode::MalformedInput, path + ": cannot be read; pass a readable questionnaire file, for example examples/gearwell.questionnaire.yaml"));
        context.questionnaire = *text;
    }
    return printOutcome(runCommand(arguments, context));
}
