#ifndef FILBERTSPOKE_RANDOM_H
#define FILBERTSPOKE_RANDOM_H

#include <random>

namespace filbertspoke {

/** \brief The random number generator; its owner seeds it, which makes runs reproducible. */
using Random = std::mt19937_64;

}

#endif
