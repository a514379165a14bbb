#ifndef FILBERTSPOKE_STATUS_JSON_H
#define FILBERTSPOKE_STATUS_JSON_H

#include <filbertspoke/Router>

#include <string>

namespace filbertspoke {

/** \returns the JSON text that `filbertspokectl status` shows */
std::string statusJson(const RouterStatus&);

/** \returns the JSON text that `filbertspokectl explain` shows */
std::string traceJson(const RequestTrace&);

}

#endif
