#ifndef FILBERTSPOKE_SCENARIOS_H
#define FILBERTSPOKE_SCENARIOS_H

#include "Scenario.h"

#include <vector>

namespace filbertspoke::bench {

/** \returns every scenario, in the order of the table */
std::vector<Scenario> allScenarios();

}

#endif
