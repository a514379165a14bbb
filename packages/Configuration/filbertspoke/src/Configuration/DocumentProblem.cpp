#include "DocumentProblem.h"

namespace filbertspoke {

std::string_view name(ProblemReason reason)
{
    switch (reason) {
    case ProblemReason::MalformedYaml:
        return "malformed-yaml";
    case ProblemReason::UnknownKey:
        return "unknown-key";
    case ProblemReason::DuplicateKey:
        return "duplicate-key";
    case ProblemReason::MissingKey:
        return "missing-key";
    case ProblemReason::WrongType:
        return "wrong-type";
    case ProblemReason::OutOfRange:
        return "out-of-range";
    case ProblemReason::Contradiction:
        return "contradiction";
    }
    return "unknown-reason";
}

std::string describe(const DocumentProblem& problem)
{
    std::string text = "line " + std::to_string(problem.line) + ": ";
    if (!problem.key.empty())
        text += problem.key + ": ";
    text += problem.sentence + " (";
    text += name(problem.reason);
    return text + ")";
}

}
