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

/** \brief Parses the text of a questionnaire.
 * \param path of the file, for messages
 * \returns the questionnaire, or MalformedInput with its problems */
std::variant<Questionnaire, CommandOutcome> readQuestionnaire(const std::string& path, const std::string& text, OutputFormat);

/** \returns the sentences as a bulleted list, one per line */
std::string formatList(const std::vector<std::string>&);

/** \brief Reads the configuration history from the log.
 * \param address of the log, for messages
 * \returns the history, or Unreachable if the log cannot be read or its records do not determine the configuration in force */
std::variant<ConfigurationHistory, CommandOutcome> readCurrentHistory(ConfigurationLog&, const HttpAddress&);

/** \brief Executes a DiffCommand.
 * \returns the differences, or a failure if the questionnaire or the log cannot be read */
CommandOutcome showDifference(const DiffCommand&, OutputFormat, const CommandContext&);

}

#endif
