#ifndef FILBERTSPOKE_OPERATOR_HTTP_HANDLER_H
#define FILBERTSPOKE_OPERATOR_HTTP_HANDLER_H

#include <filbertspoke/Http>
#include <filbertspoke/Observability>
#include <filbertspoke/Router>

namespace filbertspoke::internal {

/** \brief Serves the operators' HTTP interface: health, readiness, metrics, status and request traces. */
class OperatorHttpHandler {
public:
    OperatorHttpHandler(const Router& router, Metrics& metrics)
        : router(router)
        , metrics(metrics)
    {
    }

    /** \returns the response for the requested path; for an unknown path or request, status 404 with an error code in the body */
    HttpResponse handle(const HttpRequest&);

private:
    HttpResponse explain(const std::string& request) const;
    HttpResponse readiness() const;

    const Router& router;
    Metrics& metrics;
};

}

#endif
