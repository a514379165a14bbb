#ifndef FILBERTSPOKE_STREAM_PLAN_H
#define FILBERTSPOKE_STREAM_PLAN_H

#include "ForwardTask.h"

#include <filbertspoke/Gateway>

#include <optional>

namespace filbertspoke {

/** \brief Plans a chain of engines for the task's generation, without the engines that its previous attempts exclude.
 * \returns the best chain, or nothing when no chain has free capacity */
std::optional<LayerChain> planStream(const ForwardTask&, const AttemptHistory&);

}

#endif
