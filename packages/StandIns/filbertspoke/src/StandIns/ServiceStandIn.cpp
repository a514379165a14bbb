#include "ServiceStandIn.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>

#include <exception>
#include <functional>
#include <utility>

namespace filbertspoke {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view stockPrefix = "/stock/";
constexpr std::size_t stockLevels = 20;

bool takeOne(std::uint32_t& count)
{
    if (count == 0)
        return false;
    --count;
    return true;
}

HttpResponse notRun(unsigned status, std::string_view code)
{
    HttpResponse response = jsonResponse({ { "error", code } }, status);
    response.headers.push_back({ "Filbertspoke-Ran", "no" });
    return response;
}

}

ServiceStandIn::ServiceStandIn(asio::io_context& context, const HttpAddress& address)
    : context(context)
    , server(context, address, [this](HttpRequest request) { return this->answer(std::move(request)); })
{
}

ServiceStandIn::Answer ServiceStandIn::answer(HttpRequest request)
{
    std::optional<HttpResponse> response;
    try {
        const std::string path = targetPath(request);
        if (path == "/v1/status") {
            response = jsonResponse({ { "queued", 0 }, { "running", this->inProgress }, { "draining", this->draining } });
        } else if (path == "/control/runs") {
            response = jsonResponse(this->runs);
        } else if (path == "/control") {
            this->control(json::parse(request.body).as_object());
            response = jsonResponse(json::object());
        } else {
            ++this->inProgress;
            response = co_await this->call(std::move(request));
            --this->inProgress;
        }
    } catch (const std::exception& exception) {
        response = jsonResponse({ { "error", exception.what() } }, 400);
    }
    co_return response;
}

ServiceStandIn::Answer ServiceStandIn::call(HttpRequest request)
{
    const std::string path = targetPath(request);
    if (this->draining)
        co_return notRun(503, "draining");
    if (takeOne(this->failuresBeforeRun))
        co_return std::nullopt;
    const bool lookup = request.method == "GET" && path.starts_with(stockPrefix);
    if (!lookup && request.method != "POST")
        co_return notRun(404, "unknown-path");
    HttpResponse response = this->run(request);
    if (this->delay.count() > 0) {
        asio::steady_timer timer(this->context, this->delay);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (takeOne(this->failuresAfterRun))
        co_return std::nullopt;
    co_return response;
}

HttpResponse ServiceStandIn::run(const HttpRequest& request)
{
    const std::string path = targetPath(request);
    this->runs.push_back({
        { "method", request.method },
        { "path", path },
        { "body", request.body },
        { "request", findHeader(request.headers, "Filbertspoke-Request") },
    });
    if (request.method == "GET")
        return jsonResponse({ { "part", path.substr(stockPrefix.size()) }, { "inStock", std::hash<std::string> {}(path) % stockLevels } });
    return jsonResponse({ { "path", path }, { "number", this->runs.size() }, { "accepted", request.body } }, 201);
}

void ServiceStandIn::control(const json::object& order)
{
    if (const auto* value = order.if_contains("delayMs"))
        this->delay = std::chrono::milliseconds(value->to_number<std::int64_t>());
    if (const auto* value = order.if_contains("draining"))
        this->draining = value->as_bool();
    if (const auto* value = order.if_contains("failBeforeRun"))
        this->failuresBeforeRun = value->to_number<std::uint32_t>();
    if (const auto* value = order.if_contains("failAfterRun"))
        this->failuresAfterRun = value->to_number<std::uint32_t>();
}

}
