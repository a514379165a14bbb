#ifndef FILBERTSPOKE_CHANGE_DESCRIPTION_H
#define FILBERTSPOKE_CHANGE_DESCRIPTION_H

#include "Configuration.h"

#include <string>
#include <vector>

namespace filbertspoke {

/** \brief Tells in words what differs between two configurations.
 *
 * \param old null when nothing is in force yet
 * \returns one sentence for each difference; none when the two are equal
 */
std::vector<std::string> describeChange(const Configuration* old, const Configuration& changed);

}

#endif
