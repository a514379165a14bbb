#ifndef FILBERTSPOKE_INTERNAL_QUESTIONNAIRE_FILE_H
#define FILBERTSPOKE_INTERNAL_QUESTIONNAIRE_FILE_H

#include "../Command.h"
#include "../CommandOutcome.h"
#include "../ConfigurationLog.h"
#include "../RunCommand.h"

#include <filbertspoke/Configuration>

#include <string>
#include <variant>
#include <vector>

namespace filbertspoke::internal {

/** \brief Reads a questionnaire's text; its problems become the failed outcome. */
std::variant<Questionnaire, CommandOutcome> readQuestionnaire(const std::string& path, const std::string& text, OutputFormat);

/** \returns one line for each sentence, with a mark in front */
std::string listSentences(const std::vector<std::string>&);

/** \brief Reads the log; a history that can't be built on becomes the failed outcome. */
std::variant<ConfigurationHistory, CommandOutcome> readCurrentHistory(ConfigurationLog&, const HttpAddress&);

/** \brief Carries out DiffCommand. */
CommandOutcome showDifference(const DiffCommand&, OutputFormat, const CommandContext&);

}

#endif
