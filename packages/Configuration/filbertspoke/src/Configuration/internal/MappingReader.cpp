#include "MappingReader.h"

#include <filbertspoke/Core>

#include <algorithm>
#include <cmath>
#include <sstream>

#include <arpa/inet.h>

namespace filbertspoke::internal {

namespace {

constexpr std::size_t maximumIdentifierLength = 64;

std::uint32_t lineNumber(const YAML::Mark& mark)
{
    return mark.line < 0 ? 1 : static_cast<std::uint32_t>(mark.line) + 1;
}

bool isIdentifier(std::string_view text)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyz0123456789-._";
    return !text.empty() && text.size() <= maximumIdentifierLength && text.find_first_not_of(allowed) == std::string_view::npos;
}

bool isIpAddress(const std::string& text)
{
    in_addr version4 {};
    in6_addr version6 {};
    return inet_pton(AF_INET, text.c_str(), &version4) == 1 || inet_pton(AF_INET6, text.c_str(), &version6) == 1;
}

template <typename Number>
std::string rangeMessage(Number minimum, Number maximum)
{
    std::ostringstream sentence;
    sentence << "must be from " << minimum << " to " << maximum;
    return sentence.str();
}

std::string joined(const std::vector<std::string_view>& words)
{
    std::string text;
    for (const std::string_view word : words) {
        if (!text.empty())
            text += ", ";
        text += word;
    }
    return text;
}

}

MappingReader::MappingReader(YAML::Node node, std::string path, std::uint32_t line, std::vector<DocumentProblem>& problems)
    : node(std::move(node))
    , path(std::move(path))
    , line(line)
    , problems(&problems)
{
    if (!this->node.IsDefined()) {
        this->unusable = true;
        return;
    }
    if (this->node.IsMap()) {
        this->reportDuplicateKeys();
        return;
    }
    problems.push_back({ line, this->path, ProblemReason::WrongType, "must be a mapping of keys to values" });
    this->unusable = true;
}

void MappingReader::reportDuplicateKeys()
{
    std::set<std::string> seen;
    for (const auto& entry : this->node) {
        if (!entry.first.IsScalar() || seen.insert(entry.first.Scalar()).second)
            continue;
        const std::string& key = entry.first.Scalar();
        this->problems->push_back({ lineNumber(entry.first.Mark()), this->pathOf(key), ProblemReason::DuplicateKey, "is given twice; remove one of them" });
    }
}

std::string MappingReader::pathOf(const std::string& key) const
{
    return this->path.empty() ? key : this->path + "." + key;
}

std::uint32_t MappingReader::lineOf(const std::string& key) const
{
    if (this->unusable)
        return this->line;
    for (const auto& entry : this->node) {
        if (entry.first.IsScalar() && entry.first.Scalar() == key)
            return lineNumber(entry.first.Mark());
    }
    return this->line;
}

void MappingReader::addProblem(const std::string& key, ProblemReason reason, std::string sentence)
{
    if (!this->unusable)
        this->problems->push_back({ this->lineOf(key), this->pathOf(key), reason, std::move(sentence) });
}

bool MappingReader::has(const std::string& key)
{
    this->requestedKeys.insert(key);
    return this->find(key, false).IsDefined();
}

YAML::Node MappingReader::find(const std::string& key, bool required)
{
    this->requestedKeys.insert(key);
    if (!this->unusable) {
        for (const auto& entry : this->node) {
            if (entry.first.IsScalar() && entry.first.Scalar() == key)
                return entry.second;
        }
    }
    if (required)
        this->addProblem(key, ProblemReason::MissingKey, "is missing and has no default");
    return YAML::Node(YAML::NodeType::Undefined);
}

std::optional<std::string> MappingReader::scalar(const std::string& key, bool required, std::string_view expected)
{
    const YAML::Node value = this->find(key, required);
    if (!value.IsDefined())
        return std::nullopt;
    if (value.IsScalar() && !value.Scalar().empty())
        return value.Scalar();
    this->addProblem(key, ProblemReason::WrongType, "must be " + std::string(expected));
    return std::nullopt;
}

std::string MappingReader::text(const std::string& key, std::optional<std::string> fallback)
{
    const std::optional<std::string> value = this->scalar(key, !fallback, "a string");
    return value.value_or(fallback.value_or(std::string()));
}

std::string MappingReader::identifier(const std::string& key)
{
    const std::optional<std::string> value = this->scalar(key, true, "a name");
    if (value && !isIdentifier(*value))
        this->addProblem(key, ProblemReason::OutOfRange, "must be 1 to 64 lower-case letters, digits, '-', '.' or '_'");
    return value.value_or(std::string());
}

std::string MappingReader::ipAddress(const std::string& key)
{
    const std::optional<std::string> value = this->scalar(key, true, "an IP address");
    if (value && !isIpAddress(*value))
        this->addProblem(key, ProblemReason::OutOfRange, "must be an IP address such as 10.0.0.1, not a host name");
    return value.value_or(std::string());
}

std::uint64_t MappingReader::integer(const std::string& key, std::uint64_t minimum, std::uint64_t maximum, std::optional<std::uint64_t> fallback)
{
    const std::optional<std::string> value = this->scalar(key, !fallback, "a whole number");
    if (!value)
        return fallback.value_or(minimum);
    const std::optional<std::uint64_t> parsed = parseNumber<std::uint64_t>(*value);
    if (!parsed)
        this->addProblem(key, ProblemReason::WrongType, "must be a whole number without a unit");
    else if (*parsed < minimum || *parsed > maximum)
        this->addProblem(key, ProblemReason::OutOfRange, rangeMessage(minimum, maximum));
    else
        return *parsed;
    return minimum;
}

double MappingReader::number(const std::string& key, double minimum, double maximum, std::optional<double> fallback)
{
    const std::optional<std::string> value = this->scalar(key, !fallback, "a number");
    if (!value)
        return fallback.value_or(minimum);
    const std::optional<double> parsed = parseNumber<double>(*value);
    if (!parsed || !std::isfinite(*parsed))
        this->addProblem(key, ProblemReason::WrongType, "must be a number without a unit");
    else if (*parsed < minimum || *parsed > maximum)
        this->addProblem(key, ProblemReason::OutOfRange, rangeMessage(minimum, maximum));
    else
        return *parsed;
    return minimum;
}

bool MappingReader::boolean(const std::string& key, std::optional<bool> fallback)
{
    const std::optional<std::string> value = this->scalar(key, !fallback, "yes or no");
    if (!value)
        return fallback.value_or(false);
    if (*value == "yes" || *value == "true")
        return true;
    if (*value != "no" && *value != "false")
        this->addProblem(key, ProblemReason::WrongType, "must be yes or no");
    return false;
}

std::size_t MappingReader::choice(const std::string& key, const std::vector<std::string_view>& choices, std::optional<std::size_t> fallback)
{
    const std::optional<std::string> value = this->scalar(key, !fallback, "one of " + joined(choices));
    if (!value)
        return fallback.value_or(0);
    const auto found = std::find(choices.begin(), choices.end(), *value);
    if (found != choices.end())
        return static_cast<std::size_t>(found - choices.begin());
    this->addProblem(key, ProblemReason::OutOfRange, "must be one of " + joined(choices));
    return 0;
}

MappingReader MappingReader::section(const std::string& key, bool required)
{
    return MappingReader(this->find(key, required), this->pathOf(key), this->lineOf(key), *this->problems);
}

std::vector<MappingReader> MappingReader::sections(const std::string& key, bool required)
{
    std::vector<MappingReader> readers;
    const YAML::Node list = this->find(key, required);
    if (!list.IsDefined())
        return readers;
    if (!list.IsSequence()) {
        this->addProblem(key, ProblemReason::WrongType, "must be a list with '- ' before each entry");
        return readers;
    }
    for (std::size_t index = 0; index < list.size(); ++index)
        readers.emplace_back(list[index], this->pathOf(key) + "[" + std::to_string(index + 1) + "]", lineNumber(list[index].Mark()), *this->problems);
    return readers;
}

std::vector<std::string> MappingReader::texts(const std::string& key, bool required)
{
    std::vector<std::string> values;
    const YAML::Node list = this->find(key, required);
    if (!list.IsDefined())
        return values;
    if (!list.IsSequence()) {
        this->addProblem(key, ProblemReason::WrongType, "must be a list with '- ' before each entry");
        return values;
    }
    for (const YAML::Node& entry : list) {
        if (entry.IsScalar() && !entry.Scalar().empty())
            values.push_back(entry.Scalar());
        else
            this->addProblem(key, ProblemReason::WrongType, "must contain only strings");
    }
    return values;
}

void MappingReader::reportUnknownKeys()
{
    if (this->unusable)
        return;
    const std::vector<std::string_view> known(this->requestedKeys.begin(), this->requestedKeys.end());
    for (const auto& entry : this->node) {
        const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : std::string("?");
        if (!this->requestedKeys.contains(key))
            this->addProblem(key, ProblemReason::UnknownKey, "is not known here; known keys are " + joined(known));
    }
}

std::optional<YAML::Node> parseDocument(std::string_view yaml, std::vector<DocumentProblem>& problems)
{
    try {
        return YAML::Load(std::string(yaml));
    } catch (const YAML::Exception& error) {
        problems.push_back({ lineNumber(error.mark), {}, ProblemReason::MalformedYaml, "is not YAML: " + error.msg });
        return std::nullopt;
    }
}

void sortProblems(std::vector<DocumentProblem>& problems)
{
    std::stable_sort(problems.begin(), problems.end(), [](const DocumentProblem& left, const DocumentProblem& right) {
        return left.line < right.line;
    });
}

}
