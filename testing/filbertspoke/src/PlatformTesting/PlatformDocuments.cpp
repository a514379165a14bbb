#include <filbertspoke/PlatformTesting>

namespace filbertspoke {

std::string addressText(const HttpAddress& address)
{
    return address.address + ":" + std::to_string(address.port);
}

std::vector<RouteText> usualRoutes()
{
    return { { "chat", "/chat/", "stream", "llm", 2 }, { "book", "/book/", "non_idempotent", "app", 2 }, { "stock", "/stock/", "idempotent", "app", 2 } };
}

std::string callText(const CallText& call)
{
    return call.method + " " + call.target + " HTTP/1.1\r\nHost: h.example\r\n" + requestIdHeader() + ": " + call.id + "\r\nDeadline-Ms: " + std::to_string(call.limit.count())
        + "\r\nKey: " + call.key + "\r\nToken-Count: 10,10\r\n" + call.extraHeaders + (call.method == "POST" ? "Content-Length: " + std::to_string(call.body.size()) + "\r\n\r\n" + call.body : "\r\n");
}

ForwardedRequest readForwarded(const HttpRequest& request)
{
    const std::string lastEvent(findHeader(request.headers, "Last-Event-Id"));
    return { std::string(findHeader(request.headers, requestIdHeader())), std::string(findHeader(request.headers, "Tenant")), !findHeader(request.headers, "Key").empty(),
        !findHeader(request.headers, "Hop-Count").empty(), lastEvent.empty() ? 0 : std::stoi(lastEvent) };
}

std::string requestIdHeader()
{
    return "Attempt-Id";
}

std::string configurationText(int version, const std::vector<RouteText>& routes)
{
    std::string text = R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)";
    for (const RouteText& route : routes) {
        text += &route == &routes.front() ? "" : ",";
        text += R"({"Name":")" + route.name + R"(","Host":"h.example","TimeoutMs":5000,"TargetLatencyMs":500,"PathPrefix":")" + route.prefix
            + R"(","Kind":")" + route.kind + R"(","Service":")" + route.service + R"(","Attempts":)" + std::to_string(route.attempts)
            + (route.priority ? R"(,"Priority":)" + std::to_string(*route.priority) : "")
            + (route.kind == "stream" ? R"(,"GapTargetMs":200,"StreamResume":true})" : "}");
    }
    const std::string engine = R"({"Slots":8,"KvTokenBytes":8000,"Stride":1,"step_ms":1,"per_seq_ms":0.001,"context_per_k":0.001,"read_per_s":100000.0,"usual":{"prompt":10,"answer":10},"Layers":8,"LayerMb":10.0,"ActBytes":100,"PipeMbps":1000.0,"Models":[{"Name":"m","LoadS":1}],"Kinds":[{"Name":"l4","Megabytes":1000.0,"pace":1.0,"ReadFactor":1.0}]})";
    return text + R"(],"Services":[{"Name":"llm","Engine":)" + engine + R"(},{"Name":"app"}],"Tenants":[{"Name":"gold","ApiKeys":["key-1"]}]})";
}

std::string endpointText(const EndpointText& endpoint)
{
    std::string text = R"({"Service":")" + std::string(endpoint.engine ? "llm" : "app") + R"(","Address":")" + addressText(endpoint.address) + R"(","Zone":")" + endpoint.domain
        + R"(","Slots":6,"State":")" + endpoint.state + R"(","CallSeq":)" + std::to_string(endpoint.heartbeat) + R"(,"born":)" + std::to_string(endpoint.startedAtMs);
    if (endpoint.engine)
        text += R"(,"Kind":"l4","Layers":{"From":)" + std::to_string(endpoint.layers.first()) + R"(,"To":)" + std::to_string(endpoint.layers.last()) + R"(,"Version":1})";
    return text + "}";
}

std::string settingsText(const GatewayText& gateway)
{
    std::string seeds;
    for (const HttpAddress& seed : gateway.seeds)
        seeds += (seeds.empty() ? "\"" : ", \"") + addressText(seed) + "\"";
    return "daemon: " + gateway.name + "\nfailureDomain: " + gateway.domain + "\ncallers: " + addressText(gateway.callers) + "\nreadiness: " + addressText(gateway.readiness)
        + "\npeers: " + addressText(gateway.peers) + "\nseeds: [" + seeds + "]\nstore: " + addressText(gateway.store)
        + (gateway.handover ? "\nhandover: " + addressText(*gateway.handover) : "") + "\nretryBudget:\n    ratio: " + std::to_string(gateway.retryRatio) + "\n    reserve: " + std::to_string(gateway.retryReserve) + "\nstopTimeoutMs: " + std::to_string(gateway.stopTimeout.count()) + "\n"
        + (gateway.requestMemoryMb ? "requestMemoryMb: " + std::to_string(*gateway.requestMemoryMb) + "\n" : "");
}

}
