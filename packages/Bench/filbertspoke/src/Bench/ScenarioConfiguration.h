#ifndef FILBERTSPOKE_SCENARIO_CONFIGURATION_H
#define FILBERTSPOKE_SCENARIO_CONFIGURATION_H

#include "Scenario.h"

#include <filbertspoke/Core>

namespace filbertspoke::bench {

/** \returns the log record that brings the scenario's configuration into force */
LogRecord configurationRecord(const Scenario&);

}

#endif
