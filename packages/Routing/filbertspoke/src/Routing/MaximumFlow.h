#ifndef FILBERTSPOKE_MAXIMUM_FLOW_H
#define FILBERTSPOKE_MAXIMUM_FLOW_H

#include <filbertspoke/Core>

#include <map>

namespace filbertspoke {

/** \brief Tokens a second that all engines of a range can serve together. */
using RangeCapacities = std::map<LayerRange, double>;

/** \returns the most tokens a second that can pass all layers of \a whole, each token through ranges
 * that meet exactly: the maximum flow from the first layer boundary to the last */
double maximumFlow(const RangeCapacities&, const LayerRange& whole);

}

#endif
