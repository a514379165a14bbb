#ifndef FILBERTSPOKE_STREAM_PLAN_H
#define FILBERTSPOKE_STREAM_PLAN_H

#include "ForwardTask.h"

#include <filbertspoke/Gateway>

#include <optional>

namespace filbertspoke {

/** \returns the best chain for the task's generation on the engines that its attempts allow, or nothing when none has
 * room */
std::optional<LayerChain> planStream(const ForwardTask&, const AttemptHistory&);

}

#endif
