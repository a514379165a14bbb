#ifndef FILBERTSPOKE_DOCUMENT_PROBLEM_H
#define FILBERTSPOKE_DOCUMENT_PROBLEM_H

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace filbertspoke {

/** \brief What is wrong with a key of a YAML document. */
enum class ProblemReason {
    MalformedYaml, ///< the text is not YAML; the reader stops there
    UnknownKey,
    DuplicateKey,
    MissingKey,
    WrongType,
    OutOfRange,
    Contradiction, ///< the value is sound, but not beside another one
};

/** \returns the reason in lower-case words with hyphens, for example "unknown-key" */
std::string_view name(ProblemReason);

/** \brief One thing that a person has to mend in settings or in a questionnaire. */
struct DocumentProblem {
    std::uint32_t line = 0; ///< from 1; where the key stands, or the mapping that lacks it
    std::string key; ///< path from the root, for example "limits.drainMs" or "services[2].name"
    ProblemReason reason = ProblemReason::MalformedYaml;
    std::string sentence; ///< what is wrong and what to write instead

    auto operator<=>(const DocumentProblem&) const = default;
};

/** \returns the problem as one line of text, "line 3: limits.drainMs: ... (out-of-range)" */
std::string describe(const DocumentProblem&);

}

#endif
