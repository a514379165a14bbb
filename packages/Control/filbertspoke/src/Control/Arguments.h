#ifndef FILBERTSPOKE_ARGUMENTS_H
#define FILBERTSPOKE_ARGUMENTS_H

#include "Command.h"
#include "CommandOutcome.h"

#include <string>
#include <variant>
#include <vector>

namespace filbertspoke {

/** \brief A command with the way in which its result is printed. */
struct Arguments {
    Command command;
    OutputFormat output = OutputFormat::Text;

    bool operator==(const Arguments&) const = default;
};

/** \brief Reads the arguments after the program's name.
 *
 * \returns the command, or what to print instead: help, or what is wrong with the arguments
 */
std::variant<Arguments, CommandOutcome> parseArguments(std::vector<std::string> arguments);

}

#endif
