#ifndef FILBERTSPOKE_RANDOM_H
#define FILBERTSPOKE_RANDOM_H

#include <random>

namespace filbertspoke {

/** \brief The source of randomness; its owner seeds it, so that a run can be repeated. */
using Random = std::mt19937_64;

}

#endif
