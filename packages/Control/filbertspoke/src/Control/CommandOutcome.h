#ifndef FILBERTSPOKE_COMMAND_OUTCOME_H
#define FILBERTSPOKE_COMMAND_OUTCOME_H

#include <string>
#include <utility>

namespace filbertspoke {

/** \brief Exit codes of filbertspokectl; docs/OPERATORS.md lists them. */
enum class ExitCode {
    Done = 0,
    MalformedInput = 2, ///< the arguments or the questionnaire are invalid
    Refused = 3, ///< a rule forbids the change: for example, another change was accepted first, or an approval is missing
    Unreachable = 4, ///< the log or the daemon sent no usable response; nothing was changed
    OutcomeUnknown = 5, ///< a change may have been appended; whether it was accepted is not known
    NotFound = 6, ///< the daemon does not know the request
};

/** \brief Output and exit code of a command. */
struct CommandOutcome {
    ExitCode exitCode = ExitCode::Done;
    std::string output; ///< text for standard output, including newlines
    std::string error; ///< text for standard error: what failed and what to do next, including newlines

    bool operator==(const CommandOutcome&) const = default;
};

/** \returns an outcome with \a code and a one-line error message for the operator */
inline CommandOutcome failedOutcome(ExitCode code, std::string message)
{
    return { code, {}, std::move(message) + "\n" };
}

}

#endif
