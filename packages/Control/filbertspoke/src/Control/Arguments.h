#ifndef FILBERTSPOKE_ARGUMENTS_H
#define FILBERTSPOKE_ARGUMENTS_H

#include "Command.h"
#include "CommandOutcome.h"

#include <string>
#include <variant>
#include <vector>

namespace filbertspoke {

/** \brief The parsed command line: a command and the output format of its result. */
struct Arguments {
    Command command;
    OutputFormat output = OutputFormat::Text;

    bool operator==(const Arguments&) const = default;
};

/** \brief Parses the command line without the program name.
 *
 * \returns the command, or the outcome to print instead: the help text, or an error message for invalid arguments
 */
std::variant<Arguments, CommandOutcome> parseArguments(std::vector<std::string> arguments);

}

#endif
