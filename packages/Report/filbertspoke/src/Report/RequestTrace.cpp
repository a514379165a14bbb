#include <filbertspoke/Report>

#include <algorithm>
#include <variant>

namespace filbertspoke::report {

void RequestTrace::add(std::string_view text)
{
    // Most lines are about other requests and need no parsing.
    if (text.find(this->request) == std::string_view::npos)
        return;
    const ParsedLine parsed = parseLogLine(text);
    const auto* line = std::get_if<LogLine>(&parsed);
    if (line && line->field("request") == this->request)
        this->found.push_back(*line);
}

std::vector<LogLine> RequestTrace::inOrder() const
{
    std::vector<LogLine> sorted = this->found;
    std::stable_sort(sorted.begin(), sorted.end(), [](const LogLine& a, const LogLine& b) { return a.instant() < b.instant(); });
    return sorted;
}

}
