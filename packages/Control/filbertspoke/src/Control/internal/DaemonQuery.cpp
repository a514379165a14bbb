#include "DaemonQuery.h"

#include <boost/json.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace filbertspoke::internal {

namespace json = boost::json;

namespace {

constexpr unsigned statusNotFound = 404;
constexpr std::size_t indentWidth = 2;

std::string scalarText(const json::value& value)
{
    return value.is_string() ? json::value_to<std::string>(value) : json::serialize(value);
}

bool isNested(const json::value& value)
{
    return (value.is_object() && !value.get_object().empty()) || (value.is_array() && !value.get_array().empty());
}

void print(std::string& text, const json::value& value, std::size_t depth);

void printEntry(std::string& text, const std::string& label, const json::value& value, std::size_t depth)
{
    text += std::string(depth * indentWidth, ' ') + label;
    if (!isNested(value)) {
        text += " " + scalarText(value) + "\n";
        return;
    }
    text += "\n";
    print(text, value, depth + 1);
}

// Prints whatever a daemon answers, as indented lines of "name: value".
void print(std::string& text, const json::value& value, std::size_t depth)
{
    if (const json::object* object = value.if_object()) {
        for (const auto& member : *object)
            printEntry(text, std::string(member.key()) + ":", member.value(), depth);
        return;
    }
    if (const json::array* array = value.if_array()) {
        for (const json::value& element : *array)
            printEntry(text, "-", element, depth);
        return;
    }
    text += std::string(depth * indentWidth, ' ') + scalarText(value) + "\n";
}

CommandOutcome answered(const std::string& body, OutputFormat format)
{
    json::error_code error;
    const json::value value = json::parse(body, error);
    if (error)
        return failed(ExitCode::Unreachable, "The answer is not JSON; check that --daemon names a daemon's port for operators.");
    if (format == OutputFormat::Json)
        return { ExitCode::Done, json::serialize(value) + "\n", {} };
    std::string text;
    print(text, value, 0);
    return { ExitCode::Done, text, {} };
}

CommandOutcome query(const HttpAddress& daemon, const std::string& target, const std::string& notFound, OutputFormat format, const CommandContext& context)
{
    const HttpOutcome outcome = context.transport.exchange(daemon, { "GET", target, {}, {} });
    const std::string place = daemon.address + ":" + std::to_string(daemon.port);
    const auto* response = std::get_if<HttpResponse>(&outcome);
    if (!response)
        return failed(ExitCode::Unreachable, "The daemon at " + place + " can't be reached; check --daemon and that the daemon runs.");
    if (response->status == statusNotFound)
        return failed(ExitCode::NotFound, notFound);
    if (response->status != statusOk)
        return failed(ExitCode::Unreachable, "The daemon at " + place + " answered with status " + std::to_string(response->status) + "; check that --daemon names its port for operators.");
    return answered(response->body, format);
}

}

CommandOutcome showStatus(const StatusCommand& command, OutputFormat format, const CommandContext& context)
{
    return query(command.daemon, "/v1/status", "This server has no status; check that --daemon names a daemon's port for operators.", format, context);
}

CommandOutcome showExplanation(const ExplainCommand& command, OutputFormat format, const CommandContext& context)
{
    const std::string request = boost::urls::encode(command.request, boost::urls::unreserved_chars);
    return query(command.daemon, "/v1/explain/" + request, "The daemon doesn't know this request, or no longer; ask the other daemons.", format, context);
}

}
