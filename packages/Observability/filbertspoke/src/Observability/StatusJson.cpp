#include <filbertspoke/Observability>

#include <boost/json.hpp>

#include <utility>

namespace filbertspoke {

namespace {

namespace json = boost::json;

json::object roleJson(const EndpointRole& role)
{
    return std::visit(Overloaded {
                          [](const EngineRole& engine) {
                              return json::object { { "model", engine.model.str() }, { "version", engine.version }, { "layers", { engine.layers.first(), engine.layers.last() } } };
                          },
                          [](const ServiceRole& service) { return json::object { { "service", service.service.str() } }; } },
        role);
}

json::object endpointJson(const EndpointStatus& status)
{
    json::object object;
    object["id"] = status.endpoint.id().str();
    object["failureDomain"] = status.endpoint.failureDomain().str();
    object["address"] = status.endpoint.address() + ":" + std::to_string(status.endpoint.port());
    object["role"] = roleJson(status.endpoint.role());
    object["takesNewWork"] = status.takesNewWork;
    object["inProgress"] = status.inProgress;
    object["queued"] = status.queued;
    return object;
}

}

std::string statusJson(const RouterStatus& status)
{
    json::object object;
    object["daemon"] = status.identity.id.str();
    object["failureDomain"] = status.identity.failureDomain.str();
    object["incarnation"] = status.identity.incarnation;
    object["ready"] = status.ready;
    object["draining"] = status.draining;
    object["configurationRevision"] = status.configurationRevision ? json::value(*status.configurationRevision) : json::value(nullptr);
    object["requestsInProgress"] = status.requestsInProgress;
    object["requestsQueued"] = status.requestsQueued;
    json::array endpoints;
    for (const EndpointStatus& endpoint : status.endpoints)
        endpoints.push_back(endpointJson(endpoint));
    object["endpoints"] = std::move(endpoints);
    json::array peers;
    for (const PeerView& peer : status.peers)
        peers.push_back(json::object { { "id", peer.id.str() }, { "state", peer.state } });
    object["peers"] = std::move(peers);
    return json::serialize(object);
}

std::string traceJson(const RequestTrace& trace)
{
    json::array entries;
    for (const TraceEntry& entry : trace.entries) {
        const auto microseconds = entry.time.time_since_epoch().count();
        entries.push_back(json::object { { "timeUs", microseconds }, { "decision", entry.decision }, { "reason", entry.reason } });
    }
    return json::serialize(json::object { { "requestId", trace.request.str() }, { "decisions", std::move(entries) } });
}

}
