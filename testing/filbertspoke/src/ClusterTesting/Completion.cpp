#include "Completion.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <sstream>

namespace filbertspoke {

namespace {

constexpr std::string_view idPrefix = "id: ";
constexpr std::string_view dataPrefix = "data: ";

std::string stringField(const std::string& body, const std::string& name)
{
    boost::json::error_code error;
    const boost::json::value parsed = boost::json::parse(body, error);
    const auto* object = parsed.if_object();
    const auto* value = object != nullptr ? object->if_contains(name) : nullptr;
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

}

unsigned PendingExchange::status() const
{
    const auto* response = this->outcome ? std::get_if<HttpResponse>(&*this->outcome) : nullptr;
    return response != nullptr ? response->status : 0;
}

std::string PendingExchange::body() const
{
    const auto* response = this->outcome ? std::get_if<HttpResponse>(&*this->outcome) : nullptr;
    return response != nullptr ? response->body : std::string();
}

std::string PendingExchange::header(const std::string& name) const
{
    const auto* response = this->outcome ? std::get_if<HttpResponse>(&*this->outcome) : nullptr;
    return response != nullptr ? std::string(findHeader(response->headers, name)) : std::string();
}

std::string PendingExchange::field(const std::string& name) const
{
    return stringField(this->body(), name);
}

StreamedCompletion readStream(const std::string& body, std::uint32_t firstIndex)
{
    StreamedCompletion completion;
    std::istringstream lines(body);
    std::string event;
    std::uint32_t next = firstIndex;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("event: "))
            event = line.substr(7);
        if (line.starts_with(idPrefix))
            completion.indexed = completion.indexed && line.substr(idPrefix.size()) == std::to_string(next++);
        if (line.starts_with(dataPrefix) && event.empty())
            completion.tokens.push_back(stringField(line.substr(dataPrefix.size()), "token"));
    }
    completion.whole = event == "done";
    return completion;
}

}
