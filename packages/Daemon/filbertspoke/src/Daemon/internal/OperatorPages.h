#ifndef FILBERTSPOKE_OPERATOR_PAGES_H
#define FILBERTSPOKE_OPERATOR_PAGES_H

#include <filbertspoke/Http>
#include <filbertspoke/Observability>
#include <filbertspoke/Router>

namespace filbertspoke::internal {

/** \brief What operators read over HTTP: metrics, health, status and the reasons of decisions. */
class OperatorPages {
public:
    OperatorPages(const Router& router, Metrics& metrics)
        : router(router)
        , metrics(metrics)
    {
    }

    /** \returns the page that the request asks for, or 404 with a typed body */
    HttpResponse answer(const HttpRequest&);

private:
    HttpResponse explain(const std::string& request) const;
    HttpResponse readiness() const;

    const Router& router;
    Metrics& metrics;
};

}

#endif
