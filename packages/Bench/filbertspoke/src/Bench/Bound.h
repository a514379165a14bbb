#ifndef FILBERTSPOKE_BOUND_H
#define FILBERTSPOKE_BOUND_H

#include "Scenario.h"

#include <functional>

namespace filbertspoke::bench {

/** \returns the most answer tokens a second that the engines which \a counts allows can produce: the
 * maximum flow through the ranges, each engine always working on full batches */
double throughputBound(const Scenario&, const std::function<bool(const EngineSpec&)>& counts);

}

#endif
