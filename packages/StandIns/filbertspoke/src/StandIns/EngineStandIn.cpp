#include "EngineStandIn.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

#include <algorithm>
#include <charconv>
#include <exception>
#include <utility>

namespace filbertspoke {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds stallCheck { 2 };
constexpr std::size_t activationDigits = 16;
constexpr std::size_t maximumRunsKept = 200'000;

std::string text(const json::object& object, std::string_view name)
{
    return std::string(object.at(name).as_string());
}

std::uint32_t number(const json::object& object, std::string_view name)
{
    return object.at(name).to_number<std::uint32_t>();
}

LayerRange layersOf(const json::object& object)
{
    const json::array& layers = object.at("layers").as_array();
    return { layers.at(0).to_number<std::uint32_t>(), layers.at(1).to_number<std::uint32_t>() };
}

json::array toJson(const LayerRange& layers)
{
    return { layers.first(), layers.last() };
}

std::string encode(const std::vector<ReferenceModel::Activation>& activations)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string data;
    data.reserve(activations.size() * activationDigits);
    for (ReferenceModel::Activation activation : activations) {
        for (int shift = 60; shift >= 0; shift -= 4)
            data += digits[(activation >> shift) & 0xf];
    }
    return data;
}

std::vector<ReferenceModel::Activation> decode(std::string_view data)
{
    std::vector<ReferenceModel::Activation> activations(data.size() / activationDigits);
    for (std::size_t index = 0; index < activations.size(); ++index) {
        const char* start = data.data() + index * activationDigits;
        std::from_chars(start, start + activationDigits, activations[index], 16);
    }
    return activations;
}

}

EngineStandIn::EngineStandIn(asio::io_context& context, const HttpAddress& address, EngineOptions engineOptions)
    : context(context)
    , options(std::move(engineOptions))
    , model(this->options.role.model, this->options.role.version)
    , slotFree(this->options.slots)
    , server(context, address, [this](HttpRequest request) { return this->answer(std::move(request)); })
{
}

EngineStandIn::Answer EngineStandIn::answer(HttpRequest request)
{
    std::optional<HttpResponse> response;
    try {
        const std::string path = targetPath(request);
        if (path == "/v1/steps")
            co_return co_await this->runSteps(std::move(request.body));
        if (path == "/control/runs")
            co_return jsonResponse(this->runs);
        const json::value parsed = request.body.empty() ? json::object() : json::parse(request.body);
        const json::object& body = parsed.as_object();
        if (path == "/control")
            co_return this->control(body);
        while (this->stalled) {
            asio::steady_timer check(this->context, stallCheck);
            co_await check.async_wait(asTuple);
        }
        if (path == "/v1/status") {
            response = this->status();
        } else if (path == "/v1/cancel") {
            this->caches.erase(text(body, "request"));
            response = jsonResponse(json::object());
        } else if (path == "/v1/cache/export") {
            response = this->exportCache(body);
        } else if (path == "/v1/cache/import") {
            response = this->importCache(body);
        } else if (path == "/v1/orders") {
            response = this->order(body);
        } else {
            response = jsonResponse({ { "error", "unknown-path" } }, 404);
        }
    } catch (const std::exception& exception) {
        response = jsonResponse({ { "error", exception.what() } }, 400);
    }
    co_return response;
}

EngineStandIn::Answer EngineStandIn::runSteps(std::string body)
{
    const json::value message = json::parse(body);
    const json::array& steps = message.at("steps").as_array();
    this->inProgress += static_cast<std::uint32_t>(steps.size());
    co_await this->waitForTurn(steps);
    this->inProgress -= static_cast<std::uint32_t>(steps.size());
    json::array receipts;
    for (const json::value& step : steps)
        receipts.push_back(this->receipt(step.as_object()));
    co_return jsonResponse({ { "receipts", std::move(receipts) } });
}

asio::awaitable<void> EngineStandIn::waitForTurn(const json::array& steps)
{
    if (this->options.delay.count() > 0) {
        Clock::time_point end;
        for (const json::value& step : steps) {
            auto slot = std::min_element(this->slotFree.begin(), this->slotFree.end());
            *slot = std::max(*slot, Clock::now()) + this->options.delay * number(step.as_object(), "count");
            end = std::max(end, *slot);
        }
        asio::steady_timer timer(this->context, end);
        co_await timer.async_wait(asTuple);
    }
    while (this->stalled) {
        asio::steady_timer check(this->context, stallCheck);
        co_await check.async_wait(asTuple);
    }
}

json::object EngineStandIn::receipt(const json::object& step)
{
    const Outcome outcome = this->run(step);
    json::object receipt;
    for (const auto* field : { "request", "generation", "sequence", "model", "version", "layers", "position", "count" })
        receipt[field] = step.at(field);
    if (this->lie == Lie::EchoOtherLayers)
        receipt["layers"] = toJson({ this->options.role.layers.first(), this->options.role.layers.last() + 1 });
    if (outcome.status == StepStatus::Ok && this->runs.size() < maximumRunsKept)
        this->runs.push_back(receipt);
    receipt["status"] = std::string(name(outcome.status));
    receipt["output"] = outcome.output;
    return receipt;
}

EngineStandIn::Outcome EngineStandIn::run(const json::object& step)
{
    const EngineRole& role = this->options.role;
    if (text(step, "model") != role.model.str() || text(step, "version") != role.version)
        return { StepStatus::WrongVersion, {} };
    if (layersOf(step) != role.layers)
        return { StepStatus::WrongLayers, {} };
    if (this->failures > 0) {
        --this->failures;
        return { StepStatus::Failed, {} };
    }
    const std::string request = text(step, "request");
    if (this->draining && !this->caches.contains(request))
        return { StepStatus::Draining, {} };
    std::vector<LayerCache>& cache = this->caches[request];
    cache.resize(role.layers.size());
    const std::uint32_t position = number(step, "position");
    if (position > cache.front().size())
        return { StepStatus::CacheMissing, {} };
    std::vector<ReferenceModel::Activation> activations = this->inputs(step, position);
    if (activations.size() != number(step, "count"))
        return { StepStatus::Failed, {} };
    for (std::uint32_t layer = role.layers.first(); layer < role.layers.last(); ++layer) {
        LayerCache& layerCache = cache[layer - role.layers.first()];
        layerCache.resize(position);
        for (ReferenceModel::Activation& activation : activations) {
            layerCache.push_back(this->model.extendCache(layer, layerCache.empty() ? 0 : layerCache.back(), activation));
            if (this->lie != Lie::SkipLayer || layer + 1 != role.layers.last())
                activation = this->model.runLayer(layer, activation, layerCache.back());
        }
    }
    const bool lastStage = role.layers.last() == this->options.modelLayers;
    return { StepStatus::Ok, lastStage ? this->model.token(activations.back()) : encode(activations) };
}

std::vector<ReferenceModel::Activation> EngineStandIn::inputs(const json::object& step, std::uint32_t position) const
{
    const std::string input = text(step, "input");
    if (this->options.role.layers.first() > 0)
        return decode(input);
    std::vector<ReferenceModel::Activation> activations;
    const json::value tokens = json::parse(input);
    for (const json::value& token : tokens.as_array())
        activations.push_back(this->model.embed(token.as_string(), position++));
    return activations;
}

HttpResponse EngineStandIn::status() const
{
    const std::uint32_t running = std::min(this->inProgress, this->options.slots);
    const double microseconds = static_cast<double>(this->options.delay.count());
    return jsonResponse({
        { "queued", this->inProgress - running },
        { "running", running },
        { "tokensPerSecond", microseconds > 0 ? 1e6 * this->options.slots / microseconds : 0 },
        { "draining", this->draining },
        { "model", this->options.role.model.str() },
        { "version", this->options.role.version },
        { "layers", toJson(this->options.role.layers) },
    });
}

HttpResponse EngineStandIn::exportCache(const json::object& body) const
{
    const auto cached = this->caches.find(text(body, "request"));
    if (cached == this->caches.end())
        return jsonResponse({ { "error", "cache-missing" } }, 404);
    json::array layers;
    for (const LayerCache& layer : cached->second)
        layers.push_back(json::string(encode(layer)));
    return jsonResponse({
        { "request", cached->first },
        { "model", this->options.role.model.str() },
        { "version", this->options.role.version },
        { "layers", toJson(this->options.role.layers) },
        { "cache", std::move(layers) },
    });
}

HttpResponse EngineStandIn::importCache(const json::object& body)
{
    const EngineRole role { ModelId(text(body, "model")), text(body, "version"), layersOf(body) };
    const json::array& layers = body.at("cache").as_array();
    if (role != this->options.role || layers.size() != role.layers.size())
        return jsonResponse({ { "error", "wrong-layers" } }, 409);
    std::vector<LayerCache>& cache = this->caches[text(body, "request")];
    cache.clear();
    for (const json::value& layer : layers)
        cache.push_back(decode(layer.as_string()));
    return jsonResponse(json::object());
}

HttpResponse EngineStandIn::order(const json::object& body)
{
    const auto number = body.at("fencing").to_number<std::uint64_t>();
    if (this->options.checksFencing && number < this->fencing)
        return jsonResponse({ { "error", "old-fencing-number" }, { "fencing", this->fencing } }, 409);
    this->fencing = std::max(this->fencing, number);
    if (const auto* value = body.if_contains("draining"))
        this->draining = value->as_bool();
    if (const auto* value = body.if_contains("role"))
        this->changeRole(value->as_object());
    return jsonResponse({ { "fencing", this->fencing } });
}

void EngineStandIn::changeRole(const json::object& role)
{
    this->options.role = { ModelId(text(role, "model")), text(role, "version"), layersOf(role) };
    this->model = ReferenceModel(this->options.role.model, this->options.role.version);
    this->caches.clear();
}

HttpResponse EngineStandIn::control(const json::object& order)
{
    if (const auto* value = order.if_contains("delayUs"))
        this->options.delay = std::chrono::microseconds(value->to_number<std::int64_t>());
    if (const auto* value = order.if_contains("stalled"))
        this->stalled = value->as_bool();
    if (const auto* value = order.if_contains("draining"))
        this->draining = value->as_bool();
    if (const auto* value = order.if_contains("failNext"))
        this->failures = value->to_number<std::uint32_t>();
    if (const auto* value = order.if_contains("dropCaches"); value && value->as_bool())
        this->caches.clear();
    if (const auto* value = order.if_contains("lie"))
        this->lie = *value == "echo" ? Lie::EchoOtherLayers : *value == "skip" ? Lie::SkipLayer
                                                                               : Lie::None;
    return jsonResponse(json::object());
}

}
