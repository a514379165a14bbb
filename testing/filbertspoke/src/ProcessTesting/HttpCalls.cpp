#include "HttpCalls.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <chrono>
#include <optional>
#include <stdexcept>

namespace filbertspoke {

namespace {

constexpr std::chrono::seconds hangLimit { 30 };
constexpr std::chrono::milliseconds turn { 20 };

}

bool runUntil(boost::asio::io_context& context, const std::function<bool()>& condition)
{
    const auto limit = std::chrono::steady_clock::now() + hangLimit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > limit)
            return false;
        context.restart();
        context.run_one_for(turn);
    }
    return true;
}

HttpOutcome exchange(boost::asio::io_context& context, const HttpAddress& address, const HttpRequest& request)
{
    HttpConnection connection(context, address, {});
    std::optional<HttpOutcome> outcome;
    connection.exchange(request, hangLimit, [&](HttpOutcome result) { outcome = std::move(result); });
    runUntil(context, [&] { return outcome.has_value(); });
    return outcome.value_or(HttpFailure { std::make_error_code(std::errc::timed_out), true });
}

HttpOutcome exchange(const HttpAddress& address, const HttpRequest& request)
{
    boost::asio::io_context context;
    return exchange(context, address, request);
}

boost::json::value callJson(boost::asio::io_context& context, const HttpAddress& address, const std::string& method, const std::string& target, const boost::json::value& body)
{
    HttpRequest request { method, target, { { "Content-Type", "application/json" } }, {} };
    if (!body.is_null())
        request.body = boost::json::serialize(body);
    const HttpOutcome outcome = exchange(context, address, request);
    const auto* response = std::get_if<HttpResponse>(&outcome);
    if (response == nullptr)
        throw std::runtime_error("no answer to " + method + " " + target);
    boost::json::error_code error;
    return boost::json::parse(response->body, error);
}

boost::json::value callJson(const HttpAddress& address, const std::string& method, const std::string& target, const boost::json::value& body)
{
    boost::asio::io_context context;
    return callJson(context, address, method, target, body);
}

}
