#include <filbertspoke/PlatformTesting>

#include <boost/json.hpp>

#include <utility>

namespace filbertspoke {

namespace json = boost::json;

namespace {

ReplicaScript reply(unsigned status, const std::string& body = {})
{
    ReplicaScript script;
    script.pieces = { "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body };
    return script;
}

}

OrderedEngine::OrderedEngine(Changed changed)
    : changed(std::move(changed))
{
}

ReplicaScript OrderedEngine::answer(const HttpRequest& request)
{
    if (request.method != "POST") {
        json::object report { { "CallSeq", this->orders }, { "Busy", false }, { "Stalled", json::array() } };
        if (!this->held.empty())
            report["Layers"] = json::object { { "From", this->held.first() }, { "To", this->held.last() }, { "Version", 1 } };
        return reply(200, json::serialize(report));
    }
    const json::object order = json::parse(request.body).as_object();
    const LayerRange layers(order.at("From").to_number<std::uint32_t>(), order.at("To").to_number<std::uint32_t>());
    const Trouble met = std::exchange(this->trouble, Trouble::None);
    if (met != Trouble::None) {
        this->late = met == Trouble::Late ? layers : LayerRange();
        return { {}, {}, ReplicaScript::End::Silence };
    }
    if (order.at("Expected").to_number<std::uint64_t>() != this->orders) {
        ++this->mismatches;
        return reply(409);
    }
    this->hold(layers);
    return reply(202);
}

void OrderedEngine::carryOutLate()
{
    if (!this->late.empty())
        this->hold(std::exchange(this->late, LayerRange()));
}

void OrderedEngine::hold(const LayerRange& layers)
{
    ++this->orders;
    this->held = layers;
    this->changed(layers);
}

}
