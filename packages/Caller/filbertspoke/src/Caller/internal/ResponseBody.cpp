#include "ResponseBody.h"

#include <boost/json.hpp>

#include <sstream>

namespace filbertspoke::internal {

namespace json = boost::json;

std::string refusalBody(const RequestId& request, const Refusal& refusal)
{
    json::object body;
    body["code"] = name(refusal.code());
    body["ran"] = name(refusal.ran());
    body["requestId"] = request.str();
    if (refusal.retryAfter())
        body["retryAfterMs"] = std::chrono::ceil<std::chrono::milliseconds>(*refusal.retryAfter()).count();
    if (!refusal.detail().empty())
        body["detail"] = refusal.detail();
    return json::serialize(body);
}

std::string completionBody(const RequestId& request, const std::vector<std::string>& tokens, const std::string& finishReason)
{
    std::string text;
    json::array list;
    for (const std::string& token : tokens) {
        text += text.empty() ? token : " " + token;
        list.emplace_back(token);
    }
    json::object body;
    body["requestId"] = request.str();
    body["text"] = text;
    body["tokens"] = std::move(list);
    body["finishReason"] = finishReason;
    return json::serialize(body);
}

std::string tokenEvent(std::uint32_t index, const std::string& text)
{
    std::ostringstream event;
    event << "id: " << index << "\ndata: " << json::serialize(json::object { { "token", text } }) << "\n\n";
    return event.str();
}

std::string doneEvent(const RequestId& request, const std::string& finishReason)
{
    const json::object data { { "requestId", request.str() }, { "finishReason", finishReason } };
    return "event: done\ndata: " + json::serialize(data) + "\n\n";
}

std::string errorEvent(const RequestId& request, const Refusal& refusal)
{
    return "event: error\ndata: " + refusalBody(request, refusal) + "\n\n";
}

std::string retryAfterSeconds(Duration delay)
{
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(delay).count());
}

}
