#ifndef FILBERTSPOKE_EVALUATION_H
#define FILBERTSPOKE_EVALUATION_H

#include "Result.h"
#include "World.h"

namespace filbertspoke::bench {

/** \returns what the recorder of a trial that is over shows */
Result evaluate(const World&, Policy, std::uint64_t seed, TimePoint loadStart);

}

#endif
