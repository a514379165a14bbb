#ifndef FILBERTSPOKE_CHANGE_DESCRIPTION_H
#define FILBERTSPOKE_CHANGE_DESCRIPTION_H

#include "Configuration.h"

#include <string>
#include <vector>

namespace filbertspoke {

/** \brief Describes the differences between two configurations.
 *
 * \param old null when no configuration is in force yet
 * \returns one sentence per difference; empty when the two are equal
 */
std::vector<std::string> describeChange(const Configuration* old, const Configuration& changed);

}

#endif
