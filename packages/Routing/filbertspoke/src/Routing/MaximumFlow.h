#ifndef FILBERTSPOKE_MAXIMUM_FLOW_H
#define FILBERTSPOKE_MAXIMUM_FLOW_H

#include <filbertspoke/Core>

#include <map>

namespace filbertspoke {

/** \brief Combined capacity of the engines of each layer range, in tokens a second. */
using RangeCapacities = std::map<LayerRange, double>;

/** \returns the maximum flow from the first layer boundary of \a whole to the last, in tokens a second:
 * each token passes through adjacent ranges, and ranges outside \a whole are ignored */
double maximumFlow(const RangeCapacities&, const LayerRange& whole);

}

#endif
