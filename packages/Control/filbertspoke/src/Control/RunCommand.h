#ifndef FILBERTSPOKE_RUN_COMMAND_H
#define FILBERTSPOKE_RUN_COMMAND_H

#include "Arguments.h"
#include "CommandOutcome.h"
#include "Transport.h"

#include <filbertspoke/Core>

#include <string>

namespace filbertspoke {

/** \brief Inputs of a command that the calling process provides. */
struct CommandContext {
    Transport& transport;
    std::string questionnaire; ///< content of the command's questionnaire file; empty for commands that read none
    std::string change; ///< UUID that identifies the change which the command appends
    WallTime now;
};

/** \brief Executes a command.
 * \returns its output and exit code */
CommandOutcome runCommand(const Arguments&, const CommandContext&);

/** \returns the path of the questionnaire file that the command reads; empty if it reads none */
std::string questionnairePath(const Command&);

}

#endif
