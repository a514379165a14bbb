#ifndef FILBERTSPOKE_RUN_COMMAND_H
#define FILBERTSPOKE_RUN_COMMAND_H

#include "Arguments.h"
#include "CommandOutcome.h"
#include "Transport.h"

#include <filbertspoke/Core>

#include <string>

namespace filbertspoke {

/** \brief What a command takes from the process that runs it. */
struct CommandContext {
    Transport& transport;
    std::string questionnaire; ///< text of the file that the command names; empty for commands without
    std::string change; ///< UUID for a change that the command appends
    WallTime now;
};

/** \brief Carries out a command. */
CommandOutcome runCommand(const Arguments&, const CommandContext&);

/** \returns the path of the questionnaire that a command reads, empty when it reads none */
std::string questionnairePath(const Command&);

}

#endif
