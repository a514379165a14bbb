#ifndef FILBERTSPOKE_STATUS_JSON_H
#define FILBERTSPOKE_STATUS_JSON_H

#include <filbertspoke/Router>

#include <string>

namespace filbertspoke {

/** \returns the status as JSON text, which `filbertspokectl status` shows */
std::string statusJson(const RouterStatus&);

/** \returns the trace of a request as JSON text, which `filbertspokectl explain` shows */
std::string traceJson(const RequestTrace&);

}

#endif
