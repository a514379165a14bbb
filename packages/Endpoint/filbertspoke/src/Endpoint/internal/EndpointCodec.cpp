#include "EndpointCodec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <exception>
#include <utility>

namespace filbertspoke::internal {

namespace json = boost::json;

namespace {

std::string text(const json::object& object, std::string_view name)
{
    return std::string(object.at(name).as_string());
}

template <typename Number>
Number number(const json::object& object, std::string_view name)
{
    return object.at(name).to_number<Number>();
}

LayerRange decodeLayers(const json::object& object)
{
    const json::array& layers = object.at("layers").as_array();
    return { layers.at(0).to_number<std::uint32_t>(), layers.at(1).to_number<std::uint32_t>() };
}

json::object encodeStep(const Step& step)
{
    return {
        { "request", step.request().str() },
        { "generation", step.generation() },
        { "sequence", step.sequence() },
        { "model", step.model().str() },
        { "version", step.version() },
        { "layers", { step.layers().first(), step.layers().last() } },
        { "position", step.position() },
        { "count", step.count() },
        { "input", step.input() },
    };
}

Step decodeReceiptStep(const json::object& receipt)
{
    return Step::Builder(RequestId(text(receipt, "request")))
        .generation(number<std::uint32_t>(receipt, "generation"))
        .sequence(number<std::uint64_t>(receipt, "sequence"))
        .model(ModelId(text(receipt, "model")), text(receipt, "version"))
        .layers(decodeLayers(receipt))
        .positions(number<std::uint32_t>(receipt, "position"), number<std::uint32_t>(receipt, "count"))
        .build();
}

StepStatus decodeStepStatus(std::string_view text)
{
    for (int value = 0; value < static_cast<int>(StepStatus::Failed); ++value) {
        const auto status = static_cast<StepStatus>(value);
        if (name(status) == text)
            return status;
    }
    return StepStatus::Failed;
}

}

std::string encodeSteps(const std::vector<Step>& steps)
{
    json::array frame;
    for (const Step& step : steps)
        frame.push_back(encodeStep(step));
    return json::serialize(json::object { { "steps", std::move(frame) } });
}

// Boost.JSON throws an exception when a field is missing or has another type.
Result<std::vector<StepReceipt>> decodeReceipts(const std::string& body)
{
    try {
        const json::value message = json::parse(body);
        std::vector<StepReceipt> receipts;
        for (const json::value& value : message.at("receipts").as_array()) {
            const json::object& receipt = value.as_object();
            receipts.emplace_back(decodeReceiptStep(receipt), decodeStepStatus(text(receipt, "status")), text(receipt, "output"));
        }
        return receipts;
    } catch (const std::exception&) {
        return make_error_code(ErrorCode::MalformedMessage);
    }
}

std::string encodeCancellation(const RequestId& request)
{
    return json::serialize(json::object { { "request", request.str() } });
}

Result<EndpointReported> decodeStatus(const EndpointId& endpoint, const std::string& body)
{
    try {
        const json::value message = json::parse(body);
        const json::object& status = message.as_object();
        EndpointReported reported;
        reported.endpoint = endpoint;
        reported.load.queued = number<std::uint32_t>(status, "queued");
        reported.load.running = number<std::uint32_t>(status, "running");
        if (status.contains("tokensPerSecond"))
            reported.load.tokensPerSecond = number<double>(status, "tokensPerSecond");
        if (const json::value* draining = status.if_contains("draining"))
            reported.load.draining = draining->as_bool();
        if (status.contains("model"))
            reported.engine = EngineRole { ModelId(text(status, "model")), text(status, "version"), decodeLayers(status) };
        return reported;
    } catch (const std::exception&) {
        return make_error_code(ErrorCode::MalformedMessage);
    }
}

HttpRequest encodeCall(const SendCall& send)
{
    HttpRequest request;
    request.method = send.call.method;
    request.target = send.call.path;
    request.body = send.call.body;
    request.headers = { { "Filbertspoke-Request", send.request.str() } };
    if (!send.call.contentType.empty())
        request.headers.push_back({ "Content-Type", send.call.contentType });
    return request;
}

CallAnswered decodeCallResponse(const EndpointId& endpoint, const RequestId& request, std::uint32_t attempt, HttpResponse response)
{
    const bool notRun = findHeader(response.headers, "Filbertspoke-Ran") == "no";
    const std::string contentType { findHeader(response.headers, "Content-Type") };
    return { endpoint, request, attempt, { response.status, contentType, std::move(response.body) }, notRun };
}

}
