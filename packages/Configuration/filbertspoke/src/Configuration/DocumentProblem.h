#ifndef FILBERTSPOKE_DOCUMENT_PROBLEM_H
#define FILBERTSPOKE_DOCUMENT_PROBLEM_H

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace filbertspoke {

/** \brief Kind of error at a key of a YAML document. */
enum class ProblemReason {
    MalformedYaml, ///< the text is not valid YAML; no further errors are looked for
    UnknownKey,
    DuplicateKey,
    MissingKey,
    WrongType,
    OutOfRange,
    Contradiction, ///< the value is valid by itself but conflicts with another value
};

/** \returns the reason in lower-case words with hyphens, for example "unknown-key" */
std::string_view name(ProblemReason);

/** \brief One error in settings or in a questionnaire. */
struct DocumentProblem {
    std::uint32_t line = 0; ///< line number from 1 of the key, or of the mapping in which it is missing
    std::string key; ///< path from the root, for example "limits.drainMs" or "services[2].name"
    ProblemReason reason = ProblemReason::MalformedYaml;
    std::string sentence; ///< message that says what is wrong and what is valid instead

    auto operator<=>(const DocumentProblem&) const = default;
};

/** \returns the problem as one line of text, "line 3: limits.drainMs: ... (out-of-range)" */
std::string describe(const DocumentProblem&);

}

#endif
