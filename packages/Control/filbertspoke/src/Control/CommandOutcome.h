#ifndef FILBERTSPOKE_COMMAND_OUTCOME_H
#define FILBERTSPOKE_COMMAND_OUTCOME_H

#include <string>
#include <utility>

namespace filbertspoke {

/** \brief Exit codes of filbertspokectl; docs/OPERATORS.md lists them. */
enum class ExitCode {
    Done = 0,
    MalformedInput = 2, ///< the arguments or the questionnaire
    Refused = 3, ///< another change won, or an approval is missing
    Unreachable = 4, ///< the log or the daemon gave no usable answer; nothing was changed
    OutcomeUnknown = 5, ///< a change may have been appended
    NotFound = 6, ///< the daemon doesn't know the request
};

/** \brief What a command prints and how the process ends. */
struct CommandOutcome {
    ExitCode exitCode = ExitCode::Done;
    std::string output; ///< for the standard output, with its line ends
    std::string error; ///< for the standard error: what went wrong and what to do next

    bool operator==(const CommandOutcome&) const = default;
};

/** \returns a failed outcome with one line for the operator */
inline CommandOutcome failed(ExitCode code, std::string sentence)
{
    return { code, {}, std::move(sentence) + "\n" };
}

}

#endif
