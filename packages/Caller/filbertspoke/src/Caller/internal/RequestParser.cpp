#include "RequestParser.h"

#include <boost/json.hpp>
#include <boost/url/parse.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace filbertspoke::internal {

namespace {

namespace http = boost::beast::http;
namespace json = boost::json;

constexpr std::string_view completionsPath = "/v1/completions";
constexpr std::string_view keysPath = "/v1/idempotency-keys";
constexpr std::string_view servicesPrefix = "/services/";
constexpr std::string_view accountHeader = "Filbertspoke-Account";
constexpr std::string_view deadlineHeader = "Filbertspoke-Deadline-Ms";
constexpr std::string_view keyHeader = "Idempotency-Key";
constexpr std::string_view firstUseHeader = "Idempotency-Key-First-Use";
constexpr std::string_view lastEventHeader = "Last-Event-ID";
constexpr std::uint64_t maximumDeadlineMs = 24ull * 60 * 60 * 1000;

Refusal malformed(std::string detail)
{
    return Refusal(ErrorCode::MalformedRequest, Ran::No).withDetail(std::move(detail));
}

std::string_view header(const HttpRequest& request, std::string_view headerName)
{
    const auto value = request[boost::beast::string_view(headerName.data(), headerName.size())];
    return { value.data(), value.size() };
}

/** \brief Reads the headers common to all requests into the event: the client account and the deadline. */
template <typename Received>
std::optional<Refusal> readCommonHeaders(const HttpRequest& request, Received& event)
{
    event.account = AccountId(std::string(header(request, accountHeader)));
    if (event.account.empty())
        return Refusal(ErrorCode::UnknownAccount, Ran::No).withDetail("the header Filbertspoke-Account is missing");
    const std::string_view deadline = header(request, deadlineHeader);
    if (deadline.empty())
        return std::nullopt;
    const std::optional<std::uint64_t> milliseconds = parseNumber<std::uint64_t>(deadline);
    if (!milliseconds || *milliseconds == 0 || *milliseconds > maximumDeadlineMs)
        return malformed("the header Filbertspoke-Deadline-Ms must be a whole number from 1 to 86400000");
    event.deadline = std::chrono::milliseconds(*milliseconds);
    return std::nullopt;
}

std::optional<Refusal> readString(const json::object& body, std::string_view field, std::string& target)
{
    const json::value* value = body.if_contains(field);
    if (!value || !value->is_string())
        return malformed("the field \"" + std::string(field) + "\" must be a string");
    target.assign(value->as_string());
    return std::nullopt;
}

std::optional<Refusal> readMaximumTokens(const json::object& body, std::uint32_t& target)
{
    const json::value* value = body.if_contains("max_tokens");
    boost::system::error_code error;
    const auto number = value ? value->to_number<std::uint32_t>(error) : 0;
    if (!value || error || number == 0)
        return malformed("the field \"max_tokens\" must be a whole number from 1");
    target = number;
    return std::nullopt;
}

std::optional<Refusal> readOptions(const json::object& body, CompletionReceived& event)
{
    if (const json::value* stream = body.if_contains("stream")) {
        if (!stream->is_bool())
            return malformed("the field \"stream\" must be true or false");
        event.stream = stream->as_bool();
    }
    if (const json::value* priority = body.if_contains("priority")) {
        boost::system::error_code error;
        event.priority = priority->to_number<std::int32_t>(error);
        if (error)
            return malformed("the field \"priority\" must be a whole number");
    }
    return std::nullopt;
}

/** \brief Reads the tokens that a resuming caller already has, from index 0 to Last-Event-ID. */
std::optional<Refusal> readReceivedTokens(const HttpRequest& request, const json::object& body, CompletionReceived& event)
{
    const std::string_view lastEvent = header(request, lastEventHeader);
    const json::value* received = body.if_contains("received");
    if (lastEvent.empty() && !received)
        return std::nullopt;
    const std::optional<std::uint64_t> last = parseNumber<std::uint64_t>(lastEvent);
    if (!last || !received || !received->is_array() || received->as_array().size() != *last + 1)
        return malformed("to resume, Last-Event-ID must be the index of the last token of the array \"received\"");
    for (const json::value& token : received->as_array()) {
        if (!token.is_string())
            return malformed("the field \"received\" must be an array of strings");
        event.received.emplace_back(token.as_string());
    }
    return std::nullopt;
}

ParsedRequest parseCompletion(const HttpRequest& request, const RequestId& id)
{
    if (request.method() != http::verb::post)
        return Refusal(ErrorCode::UnknownPath, Ran::No).withDetail("/v1/completions takes POST");
    CompletionReceived event;
    event.request = id;
    if (auto refusal = readCommonHeaders(request, event))
        return *refusal;

    boost::system::error_code error;
    const json::value parsed = json::parse(request.body(), error);
    if (error || !parsed.is_object())
        return malformed("the body must be a JSON object");
    const json::object& body = parsed.as_object();
    std::string model;
    if (auto refusal = readString(body, "model", model))
        return *refusal;
    event.model = ModelId(model);
    if (auto refusal = readString(body, "prompt", event.prompt))
        return *refusal;
    if (auto refusal = readMaximumTokens(body, event.maximumTokens))
        return *refusal;
    if (auto refusal = readOptions(body, event))
        return *refusal;
    if (auto refusal = readReceivedTokens(request, body, event))
        return *refusal;
    return event;
}

ParsedRequest parseKeyRequest(const HttpRequest& request, const RequestId& id)
{
    if (request.method() != http::verb::post)
        return Refusal(ErrorCode::UnknownPath, Ran::No).withDetail("/v1/idempotency-keys takes POST");
    KeyRequested event;
    event.request = id;
    if (auto refusal = readCommonHeaders(request, event))
        return *refusal;
    return event;
}

ParsedRequest parseCall(const HttpRequest& request, const RequestId& id, std::string_view target)
{
    CallReceived event;
    event.request = id;
    if (auto refusal = readCommonHeaders(request, event))
        return *refusal;
    const std::string_view serviceAndPath = target.substr(servicesPrefix.size());
    const std::size_t slash = serviceAndPath.find('/');
    event.call.service = ServiceId(std::string(serviceAndPath.substr(0, slash)));
    event.call.path = slash == std::string_view::npos ? "/" : std::string(serviceAndPath.substr(slash));
    event.call.method = std::string(request.method_string());
    event.call.contentType = std::string(request[http::field::content_type]);
    event.call.body = request.body();
    if (request.find(boost::beast::string_view(keyHeader.data(), keyHeader.size())) != request.end())
        event.idempotencyKey = std::string(header(request, keyHeader));
    event.firstUse = header(request, firstUseHeader) == "true";
    return event;
}

}

ParsedRequest parseRequest(const HttpRequest& request, const RequestId& id)
{
    const std::string_view target(request.target().data(), request.target().size());
    const auto url = boost::urls::parse_origin_form({ target.data(), target.size() });
    if (!url)
        return malformed("the request target is not a path");
    const std::string path = std::string(url->encoded_path());
    // A path with dot segments could resolve to a route other than the one whose rules were checked.
    for (const auto segment : url->segments()) {
        if (segment == ".." || segment == ".")
            return malformed("the path must not hold \".\" or \"..\"");
    }
    if (path == completionsPath)
        return parseCompletion(request, id);
    if (path == keysPath)
        return parseKeyRequest(request, id);
    if (path.starts_with(servicesPrefix) && path.size() > servicesPrefix.size())
        return parseCall(request, id, target);
    return Refusal(ErrorCode::UnknownPath, Ran::No).withDetail("known are /v1/completions, /v1/idempotency-keys and /services/{service}/{path}");
}

}
