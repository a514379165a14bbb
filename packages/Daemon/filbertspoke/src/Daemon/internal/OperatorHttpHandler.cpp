#include "OperatorHttpHandler.h"

#include <boost/json/value.hpp>

#include <string>
#include <utility>

namespace filbertspoke::internal {

namespace {

const std::string explainPrefix = "/v1/explain/";

HttpResponse makeResponse(unsigned status, std::string contentType, std::string body)
{
    return { status, { { "Content-Type", std::move(contentType) } }, std::move(body) };
}

}

HttpResponse OperatorHttpHandler::handle(const HttpRequest& request)
{
    const std::string path = targetPath(request);
    if (path == "/healthz")
        return makeResponse(200, "text/plain", "ok\n");
    if (path == "/readyz")
        return this->readiness();
    if (path == "/metrics") {
        this->metrics.update(this->router.status());
        return makeResponse(200, "text/plain; version=0.0.4", this->metrics.page());
    }
    if (path == "/v1/status")
        return makeResponse(200, "application/json", statusJson(this->router.status()));
    if (path.starts_with(explainPrefix))
        return this->explain(path.substr(explainPrefix.size()));
    return jsonResponse({ { "code", name(ErrorCode::UnknownPath) } }, 404);
}

HttpResponse OperatorHttpHandler::readiness() const
{
    const RouterStatus status = this->router.status();
    if (status.ready)
        return makeResponse(200, "text/plain", "ready\n");
    return makeResponse(503, "text/plain", status.draining ? "draining\n" : "no configuration in force\n");
}

HttpResponse OperatorHttpHandler::explain(const std::string& request) const
{
    const std::optional<RequestTrace> trace = this->router.explain(RequestId(request));
    if (!trace)
        return jsonResponse({ { "code", "unknown-request" }, { "requestId", request } }, 404);
    return makeResponse(200, "application/json", traceJson(*trace));
}

}
