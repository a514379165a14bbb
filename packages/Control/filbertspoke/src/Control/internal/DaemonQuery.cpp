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

// Prints any JSON value as indented lines of the form "name: value"; array elements start with "-".
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

CommandOutcome formatResponse(const std::string& body, OutputFormat format)
{
    json::error_code error;
    const json::value value = json::parse(body, error);
    if (error)
        return failedOutcome(ExitCode::Unreachable, "The response is not JSON; check that --daemon is the operator address of a daemon.");
    if (format == OutputFormat::Json)
        return { ExitCode::Done, json::serialize(value) + "\n", {} };
    std::string text;
    print(text, value, 0);
    return { ExitCode::Done, text, {} };
}

CommandOutcome queryDaemon(const HttpAddress& daemon, const std::string& target, const std::string& notFoundMessage, OutputFormat format, const CommandContext& context)
{
    const HttpOutcome outcome = context.transport.exchange(daemon, { "GET", target, {}, {} });
    const std::string address = daemon.address + ":" + std::to_string(daemon.port);
    const auto* response = std::get_if<HttpResponse>(&outcome);
    if (!response)
        return failedOutcome(ExitCode::Unreachable, "The daemon at " + address + " cannot be reached; check --daemon and that the daemon is running.");
    if (response->status == statusNotFound)
        return failedOutcome(ExitCode::NotFound, notFoundMessage);
    if (response->status != statusOk)
        return failedOutcome(ExitCode::Unreachable, "The daemon at " + address + " responded with status " + std::to_string(response->status) + "; check that --daemon is its operator address.");
    return formatResponse(response->body, format);
}

}

CommandOutcome showStatus(const StatusCommand& command, OutputFormat format, const CommandContext& context)
{
    return queryDaemon(command.daemon, "/v1/status", "This server provides no status; check that --daemon is the operator address of a daemon.", format, context);
}

CommandOutcome showExplanation(const ExplainCommand& command, OutputFormat format, const CommandContext& context)
{
    const std::string request = boost::urls::encode(command.request, boost::urls::unreserved_chars);
    return queryDaemon(command.daemon, "/v1/explain/" + request, "The daemon does not know this request or no longer holds its trace; ask the other daemons.", format, context);
}

}
